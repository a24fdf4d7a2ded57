#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file.
# Their stand-ins are Python of the standard library, so there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/lib2/rig2.py
test -x target/bin/rattanramp-gateway
