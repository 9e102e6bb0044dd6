#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH="$PWD/review/standins-3:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 review/11/case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
