#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
python3 review/3/case.py &
pid=$!
trap 'kill "$pid"' TERM INT
wait "$pid"
code=$?
if [ "$code" -eq 10 ]; then
    exit 1
elif [ "$code" -eq 0 ]; then
    exit 0
fi
wait "$pid" 2>/dev/null
exit 2
