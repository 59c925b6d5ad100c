#!/usr/bin/env bash
# A cut of 12 s with a suspension of 4 s in it; TROUBLE=0 has neither.
set -uo pipefail
cd "$(dirname "$0")/../.."
export PYTHONPATH=$PWD/target/deps:$PWD
exec python3 -m review.8.case
