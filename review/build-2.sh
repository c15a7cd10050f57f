#!/usr/bin/env bash
# Stand-ins of the second review are Python and need only the libraries of target/deps,
# which the build of the deploy file installs.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps/aiohttp ] || { echo "run the build of deploy/system.toml first"; exit 1; }
PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c "
import review.harness2.callers
import review.harness2.platform
import review.harness2.processes
"
