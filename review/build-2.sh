#!/usr/bin/env bash
# Checks and compiles the stand-ins and the scripts of cases 6 to 10. They are Python
# and use its standard library only; the hosts need the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in peers2.py 6/run.py 7/run.py 8/run.py; do
    python3 -m py_compile "$file"
done
