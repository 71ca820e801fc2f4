#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.  They need no further package.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q crowpost review/*_2.py
for case in 6 7 8 9 10; do
    test ! -d "review/$case" || .venv/bin/python -m compileall -q "review/$case"
done
