#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
PYTHONPATH="target/deps:review/standins:." PYTHONDONTWRITEBYTECODE=1 \
    TROUBLE="${TROUBLE:-1}" timeout -k 5 110 python3 "$case/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
