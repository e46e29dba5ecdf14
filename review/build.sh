#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python and need only
# the libraries that the deploy file's build has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q standins review
python3 -c 'import aiohttp, msgspec, standins.store'
