#!/usr/bin/env bash
# One job of 4,500 tasks with checkpoints among small ones; TROUBLE=0 splits it.
set -uo pipefail
cd "$(dirname "$0")/../.."
export PYTHONPATH=$PWD/target/deps:$PWD
exec python3 -m review.6.case
