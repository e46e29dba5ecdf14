#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start; all are Python.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
import pathlib

import aiohttp

sources = [pathlib.Path('review/fleet2.py'), pathlib.Path('standins/store.py')]
for number in range(6, 11):
    sources += pathlib.Path('review', str(number)).glob('case.py')
for source in sources:
    ast.parse(source.read_text(), str(source))
print(f'{len(sources)} files are readable, aiohttp {aiohttp.__version__}')
PY
