#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are Python
# programs: their modules, those of the project among them, are compiled and loaded with
# the libraries that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
export PYTHONPATH
python3 -m compileall -q poplarrelay/standins review/harness_2.py review/runner_2.py
python3 -c "import harness_2, runner_2"
