#!/bin/sh
# The stand-ins of the scripts are Python programs; this compiles and imports them.
# They need the build of the deploy file (target/deps) and nothing else.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review/standins:." PYTHONDONTWRITEBYTECODE=1
python3 - <<'EOF'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import engine, trainer, wire, world  # noqa: E401
print("the stand-ins import")
EOF
