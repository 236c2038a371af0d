"""A program ends within its grace period after SIGTERM."""

import os
import signal
import subprocess
import sys

from onyxfork.addresses import Address
from onyxfork.platform.programs import EXIT_FAILED
from onyxfork.platform.settings import SETTINGS_VARIABLE
from onyxfork.platform.standin.calls import control_settings, entry_settings, node_settings

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
BUSY_LOOP = """
import os, signal, sys, threading
from onyxfork.direct.entry import DirectEntry

def keep_busy(entry, now):
    threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGTERM)).start()
    while True:
        pass

DirectEntry.tick = keep_busy
from onyxfork.platform.programs import main
sys.exit(main(["entry"]))
"""


def run_script(script, settings_path):
    """Run a script with a settings file until it ends by itself."""
    return subprocess.run(
        [sys.executable, "-c", script],
        env={**os.environ, SETTINGS_VARIABLE: str(settings_path)},
        timeout=60,
        check=False,
        capture_output=True,
        text=True,
    )


def test_control_ends_in_time_while_its_disk_hangs(tmp_path):
    """Guards against a control instance that waits for a hanging sync beyond its grace period."""
    host = f"127.19.{os.getpid() % 250 + 1}.1"
    fields = node_settings("c1", "a", host, (7720, 7725), [f"{host}:8166"], True)
    operators = Address(host, 8166)
    text = control_settings(fields, operators, tmp_path / "data", GRACE_S, 1)
    (tmp_path / "settings.toml").write_text(text)
    completed = run_script(HANGING_DISK, tmp_path / "settings.toml")
    assert completed.returncode != -signal.SIGTERM
    assert "stop is overdue" in completed.stdout + completed.stderr


def test_entry_ends_in_time_while_its_event_loop_is_busy(tmp_path):
    """Guards against a grace period that counts only from when the event loop sees the signal."""
    host = f"127.20.{os.getpid() % 250 + 1}.1"
    fields = node_settings("e1", "a", host, (7720, 7725), [f"{host}:8166"], True)
    text = entry_settings(fields, Address(host, 8161), Address(host, 8167), GRACE_S)
    (tmp_path / "settings.toml").write_text(text)
    completed = run_script(BUSY_LOOP, tmp_path / "settings.toml")
    assert completed.returncode == EXIT_FAILED
    assert "stop is overdue" in completed.stdout + completed.stderr
