#!/bin/sh
# The stand-ins of the cases are Python files that need the standard library only: there is nothing
# to build. The project itself is built by the deploy file (target/deps). Checks the version.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
