#!/usr/bin/env bash
# Checks that the stand-ins of the second review can be imported; they need no library.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD/target/deps:$PWD
python3 -m compileall -q review/kit2
python3 -c "import review.kit2.store, review.kit2.executors, review.kit2.site"
