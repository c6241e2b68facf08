#!/bin/sh
# The stand-ins of all cases are Python without dependencies: this only checks
# that they compile, and that the build of the deploy file has run.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
python3.11 - review/common/*.py review/[1-5]/*.py <<'EOF'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding='utf-8'), name, 'exec')
EOF
