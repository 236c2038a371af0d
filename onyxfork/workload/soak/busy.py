"""Processes that keep cores of the machine busy beside a soak."""

import subprocess
import sys
from contextlib import contextmanager

from onyxfork.errors import SettingsError

__all__ = ["run_busy_processes", "MAX_BUSY"]

MAX_BUSY = 6
"""Upper bound on the busy processes."""

BUSY_CODE = """
import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    sum(range(10_000))
"""


@contextmanager
def run_busy_processes(number, max_seconds):
    """Run busy processes while the context is open.

    Parameters
    ----------
    number : int
        At most `MAX_BUSY`.
    max_seconds : float
        When they end by themselves, in case they are not ended before.

    Raises
    ------
    SettingsError
        If there would be too many.
    """
    if not 0 <= number <= MAX_BUSY:
        raise SettingsError([f"busy: expected a number from 0 to {MAX_BUSY}"])
    command = [sys.executable, "-c", BUSY_CODE, str(max_seconds)]
    processes = []
    try:
        for _ in range(number):
            processes.append(subprocess.Popen(command, stdin=subprocess.DEVNULL))
        yield processes
    finally:
        for process in processes:
            process.kill()
            process.wait()
