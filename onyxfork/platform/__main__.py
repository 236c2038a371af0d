"""Command line of the platform's programs: ``python -m onyxfork.platform ROLE``."""

import sys

from onyxfork.platform.programs import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
