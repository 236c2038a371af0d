"""Command line of the platform's programs: ``python -m onyxfork.platform ROLE``."""

import gc
import signal
import sys

# The signal for changed settings would end a process that still starts; it has yet to read them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# What start-up allocates stays for the life of the process; looking through it costs a tenth of the
# time to the first request.
gc.disable()

from onyxfork.platform.programs import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
