#!/usr/bin/env bash
# Two cuts of 5.5 s with a suspension of 4 s between; TROUBLE=0 has none of them.
set -uo pipefail
cd "$(dirname "$0")/../.."
export PYTHONPATH=$PWD/target/deps:$PWD
exec python3 -m review.8.case
