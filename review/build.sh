#!/bin/sh
# Checks that the stand-ins of the cases can run. They are Python modules of the standard library only, so nothing is compiled.
set -eu
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"'
PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile standins.py
for case in [1-5]; do
    if [ -f "$case/run.py" ]; then
        PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile "$case/run.py"
    fi
done
