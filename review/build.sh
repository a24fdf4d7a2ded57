#!/bin/sh
# The stand-ins of the scripts are Python programs in lib/ that need no build. Checks that this
# machine can run them and that the build line of deploy/system.toml has been run.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
test -x target/bin/rattanramp-gateway
