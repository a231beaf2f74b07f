#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the hosts. The stand-ins are
# Python files that need the standard library only; the hosts are built by the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_3.py
for case in 1[1-5]/case.py; do
    python3 -m py_compile "$case"
done
test -d ../target/deps
