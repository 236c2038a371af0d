"""Time after which no run of a former copy of a job goes on, when every process is punctual.

What a bound leaves is the delay that busy processes may have without two runs of one task at once.
"""

from attrs import fields

from onyxfork.direct.agent import RESUME_CHECK_MARGIN_S
from onyxfork.direct.arbiter import RESUME_TIMEOUT_S
from onyxfork.direct.dispatcher_news import LOST_AFTER_S
from onyxfork.direct.lease import MAX_CLOCK_DRIFT_FACTOR, STOP_MARGIN_S
from onyxfork.direct.settings import NODE_TIMING, DirectSettings
from onyxfork.messages.connection import UNREAD_GRACE_S

RESEND_AFTER_S = 1.3
"""When a caller sends a job again after its connection has broken."""

MIN_ALLOWANCE_S = 0.2
"""Delay of processes that each bound allows for."""

SESSION_END_S = RESUME_TIMEOUT_S + RESUME_CHECK_MARGIN_S + STOP_MARGIN_S
SILENCE_S = NODE_TIMING.silent_s + UNREAD_GRACE_S
LEASE_S = fields(DirectSettings).lease_ms.default / 1000 * MAX_CLOCK_DRIFT_FACTOR + STOP_MARGIN_S


# Guards against TWICE: a caller sends its job again while runs that its former entry ordered go on.
def test_runs_of_a_lost_entry_end_before_its_callers_send_their_jobs_again():
    silent_entry_s = SILENCE_S + SESSION_END_S
    assert max(silent_entry_s, LEASE_S) + MIN_ALLOWANCE_S <= RESEND_AFTER_S


# Guards against TWICE: an entry starts the tasks of a lost agent elsewhere while they go on there.
def test_runs_of_a_lost_agent_end_before_their_entry_starts_them_elsewhere():
    cut_off_agent_s = SILENCE_S + SESSION_END_S
    assert max(cut_off_agent_s, LEASE_S) + MIN_ALLOWANCE_S <= LOST_AFTER_S
