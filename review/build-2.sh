#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python of the standard library alone, run by the `.venv` of
# the deploy file's build: it is enough that each file compiles there. Their byte code goes to a folder that is
# dropped again, so nothing is written beside them.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in "$root"/review/common2/*.py "$root"/review/[6-9]/*.py "$root"/review/10/*.py; do
    if [ -e "$file" ]; then
        PYTHONPYCACHEPREFIX="$folder" "$root/.venv/bin/python" -m py_compile "$file"
    fi
done
