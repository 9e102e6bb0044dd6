#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: checks that they compile and that what
# they import is there after the build of deploy/system.toml. It needs no network.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/review/standins-3:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - review/standins-3/*.py review/1[1-5]/case.py <<'PYTHON'
import sys
from pathlib import Path

import rig  # noqa: F401

for name in sys.argv[1:]:
    compile(Path(name).read_bytes(), name, "exec")
    print(f"built {name}")
PYTHON
