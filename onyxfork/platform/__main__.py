"""Command line of the platform's programs: ``python -m onyxfork.platform ROLE``."""

import gc
import signal
import sys

# SIGHUP announces changed settings, and its default action ends the process. A process that is
# still starting reads the settings later anyway, so it ignores the signal until then.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Objects allocated at start-up live as long as the process; garbage collection during start-up
# costs a tenth of the time to the first request.
gc.disable()

from onyxfork.platform.programs import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
