#!/usr/bin/env bash
# Builds the stand-ins of the scripts: compiles them, and imports what they need.
# The libraries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD/target/deps:$PWD
python3 -m compileall -q standins review
python3 -c "import review.lib.bridge, review.lib.cloud, review.lib.executor, review.lib.late_proxy, review.lib.site, review.lib.store"
