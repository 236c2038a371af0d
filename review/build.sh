#!/bin/sh
# The stand-ins of the cases are Python files that need only the standard library: nothing to build.
# The project itself is built by the deploy file (target/deps).
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/common
