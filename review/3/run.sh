#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
timeout -k 4 115 python3 -S "review/$(basename "$(dirname "$(realpath "$0")")")/scenario.py"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
