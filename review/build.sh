#!/usr/bin/env bash
# The stand-ins are Python modules: checks that they and their libraries load.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." exec python3 -c "import review.harness"
