#!/bin/sh
# Runs the case in the folder that is given, from the root of the repository.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" exec python3 "review/$1/case.py"
