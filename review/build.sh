#!/bin/sh
# Builds what the scripts start: the stand-ins are Python on the deploy file's libraries.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file" >&2; exit 1; }
PYTHONPATH="$PWD/target/deps:$PWD" python3 -S -m compileall -q review
