#!/bin/sh
# Runs the case in the folder that is given, from the root of the repository.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
export PYTHONPATH
# An error of the interpreter must not look like a broken rule.
python3 -c "import harness_2, runner_2" || exit 2
exec python3 "review/$1/case.py"
