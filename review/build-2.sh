#!/bin/bash
# The cases 4 to 8 start the program of the deploy file and stand-ins written in Python
# (standard library only, 3.11 or newer), which need no build. This checks that they can run.
set -e
cd "$(dirname "$0")/.."
test -x target/release/forkshift || { echo "target/release/forkshift is missing: run the build of deploy/service.toml first"; exit 2; }
python3 - <<'PY'
import ast, glob, sys
import asyncio, tomllib
for path in glob.glob("review/standins-2/*.py") + glob.glob("review/[4-8]/*.py") + glob.glob("review/tried-2/*/*.py"):
    ast.parse(open(path).read(), path)
print("stand-ins: ready, Python", sys.version.split()[0])
PY
