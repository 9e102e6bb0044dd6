#!/bin/sh
# Builds what the scripts of the second review start: compiles their stand-ins and
# loads them with the libraries that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review/standins-2
export PYTHONPYCACHEPREFIX=target/review-2
python3 -m py_compile review/standins-2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py
python3 -c "import rig, trainer"
echo "the stand-ins of the second review are built"
