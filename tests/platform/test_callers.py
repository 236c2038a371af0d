"""Requests about a job whose POST is still open, at the entry that has it."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parents[1] / "direct"))
from test_http import DOCUMENT, ID, serving  # noqa: E402
from test_path import TIMEOUT_S, StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.messages import ConfigurationDocument  # noqa: E402
from onyxfork.platform.callers import CallerHandler  # noqa: E402

HEADERS = {"Host": "h.example", "X-Deadline": "8000"}
STEP = {"count": 2, "cpu": 1000, "estimatedMs": 5000}
OTHER_ID = "00000000000000b2"


# Guards against UNASKED: later steps of a cancelled job were started seconds after the answer.
async def test_cancelled_job_is_stopped_and_its_open_request_answered():
    worker = StandInWorker()
    job = {"spec": "x", "bestEffort": True, "steps": [STEP, {**STEP, "dependsOn": [0]}]}
    async with run_path(worker) as (entry, _):
        callers = CallerHandler(entry)
        document = {**DOCUMENT, "services": [{"name": "desk"}]}
        document["routes"] = [{**DOCUMENT["routes"][0], "service": "desk"}]
        callers.apply_document(ConfigurationDocument(3, json.dumps(document).encode()))
        async with serving(callers.handle) as send, asyncio.timeout(TIMEOUT_S):

            async def ask(method, job_id=ID):
                status, body, _ = await send(method, f"/p/{job_id}", **HEADERS)
                return status, body.get("state")

            posted = asyncio.create_task(send("POST", f"/p/{ID}", job, **HEADERS))
            await until(
                lambda: entry.dispatcher.jobs and entry.dispatcher.jobs[ID].may_have_started
            )
            assert await ask("GET") == (200, "running")
            assert await ask("DELETE", OTHER_ID) == (410, None)
            assert await ask("DELETE") == (200, "cancelled")
            status, body, _ = await posted
            assert (status, body) == (200, {"state": "cancelled"})
            await until(lambda: len(worker.stopped) == 2)
            await until(lambda: not entry.dispatcher.jobs)
            assert await ask("GET") == (410, None)
            assert await ask("DELETE") == (410, None)
            assert len(worker.started) == 2
