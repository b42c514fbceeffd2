#!/usr/bin/env bash
# Builds what the cases start beside the program of deploy/service.toml: the stand-ins, which
# are Python of the standard library and need no more than a check that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/world.py ?/case.py tried/*/case.py <<'PY'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PY
test -x ../target/release/forkshift || echo "the build of deploy/service.toml comes first" >&2
