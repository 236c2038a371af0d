"""Signals that reach a program while it starts."""

import subprocess
import sys

HANGUP_DURING_IMPORTS = """
import signal, sys

class HangUp:
    def find_spec(self, name, path=None, target=None):
        if name == "onyxfork.platform.programs":
            signal.raise_signal(signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
import onyxfork.platform.__main__
"""


def test_program_that_is_told_of_changed_settings_while_it_starts_goes_on():
    """Found by the soak, seed 4 of 20 s: SIGHUP within 0.2 s of a restart ended the entry."""
    ended = subprocess.run([sys.executable, "-c", HANGUP_DURING_IMPORTS], timeout=60, check=False)
    assert ended.returncode == 0
