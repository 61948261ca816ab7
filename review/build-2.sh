#!/bin/sh
# The stand-ins of cases 4 to 8 are Python files that use what the deploy file's build has installed: nothing is compiled.
# This says whether all of them can be loaded. Run from anywhere, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD/review/standins-2" PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import cluster"
