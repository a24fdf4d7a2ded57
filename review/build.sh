#!/bin/sh
# The stand-ins of the scripts are Python programs in lib/ that need no build. Checks that this
# machine can run them.
set -e
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
