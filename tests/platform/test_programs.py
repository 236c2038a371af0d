"""A program ends within its grace period after SIGTERM."""

import os
import signal
import subprocess
import sys

from onyxfork.addresses import Address
from onyxfork.platform.settings import SETTINGS_VARIABLE
from onyxfork.platform.standin.calls import control_settings, node_settings

GRACE_S = 1.0
HANGING_DISK = """
import os, signal, sys, threading, time

def hang(descriptor):
    if threading.current_thread() is not threading.main_thread():
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(3600)

os.fsync = hang
from onyxfork.platform.programs import main
sys.exit(main(["control"]))
"""


def test_control_ends_in_time_while_its_disk_hangs(tmp_path):
    """Guards against a control instance that waits for a hanging sync beyond its grace period."""
    host = "127.19.7.1"
    fields = node_settings("c1", "a", host, (7720, 7725), [f"{host}:8166"], True)
    operators = Address(host, 8166)
    text = control_settings(fields, operators, tmp_path / "data", GRACE_S, 1)
    (tmp_path / "settings.toml").write_text(text)
    environment = {**os.environ, SETTINGS_VARIABLE: str(tmp_path / "settings.toml")}
    completed = subprocess.run(
        [sys.executable, "-c", HANGING_DISK],
        env=environment,
        timeout=60,
        check=False,
        capture_output=True,
        text=True,
    )
    assert completed.returncode != -signal.SIGTERM
    assert "stop is overdue" in completed.stdout + completed.stderr
