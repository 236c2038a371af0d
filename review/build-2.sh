#!/bin/sh
# Builds what the scripts of cases 6 and later start. The stand-ins need the standard library only,
# so this checks that the interpreter can compile them.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.py [0-9]*/run.py; do
    case $file in 1/*|2/*|3/*|4/*|5/*) continue ;; esac
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
