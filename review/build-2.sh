#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python of the standard library, compiled in advance.
here=$(cd "$(dirname "$0")" && pwd)
for folder in "$here/kit-2" "$here"/[6-9] "$here/10"; do
    [ -d "$folder" ] || continue
    "$here/../.venv/bin/python" -m compileall -q "$folder" || exit 1
done
