#!/bin/sh
# Prepares the stand-ins that the scripts of cases 11 to 15 start. They are Python
# modules; their libraries come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:."
exec python3 -c "import standins.executor, standins.row_store, review.kit3.site"
