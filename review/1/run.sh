#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD/review/standins" PYTHONDONTWRITEBYTECODE=1
python3 -c "import deployment" || exit 2
timeout -k 2 117 python3 review/1/case.py &
case_process=$!
trap 'kill "$case_process"; wait "$case_process"; exit 2' TERM INT
wait "$case_process"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
exit "$code"
