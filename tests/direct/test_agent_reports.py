"""Reports of an agent to entries that connect, as all do after a loss of power."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_worker  # noqa: E402
from test_path import StandInWorker, make_settings  # noqa: E402

from onyxfork.direct.agent import DirectAgent  # noqa: E402
from onyxfork.direct.messages import Resume, WorkerStatus  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.utils import SystemClock  # noqa: E402


class StandInConnection:
    """Connection of an entry that keeps what is sent."""

    latest_echo = 0.0

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


async def test_entry_gets_a_report_as_soon_as_it_has_connected():
    """An entry without reports refuses jobs or lets them wait, although workers are free. The delay
    that joins several changes into one report must not apply."""
    agent = DirectAgent(
        make_settings("s1"), StandInWorker(), SystemClock(), Telemetry("agent", "s1", "a")
    )
    agent.arbiter.apply_worker_report(make_worker(), agent.clock.now())
    connection = StandInConnection()
    session = agent.arbiter.connect("e1", "i1", connection)
    agent.on_message(session, connection, Resume([], "127.0.0.1:7720"))
    reports = [message for message in connection.sent if isinstance(message, WorkerStatus)]
    assert [report.state for report in reports] == ["ready"]
