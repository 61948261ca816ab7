#!/usr/bin/env bash
# The stand-ins are Python modules that run as they are; this only shows that they and their library can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD/review/standins" PYTHONDONTWRITEBYTECODE=1 python3 -c "import deployment"
