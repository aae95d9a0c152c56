#!/usr/bin/env bash
# Compiles the stand-ins of the cases, the project's own too, and imports them once.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q poplarrelay/standins poplarrelay/testing review
python3 -c "import poplarrelay.standins.users.runner, poplarrelay.testing.entry_site"
