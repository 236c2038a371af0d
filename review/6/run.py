"""Channels of clients are reset while minions leave orders unanswered and carry them out late.

Rounds of jobs are sent to one of three edge nodes. A share of 0.54 of the channels of their POSTs is
reset 0.8 s later, and these clients send the jobs again after resendMs, to another node. TROUBLE=1: a
share of 0.5 of the calls /run-start and /run-stop gets no answer and is carried out 2 to 12 s later, for
3.6 s in each round. TROUBLE=0: all are answered.
"""

import asyncio
import os
import socket
import struct
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from minion import call  # noqa: E402
from small_site import HOST, SmallSite, job, new_id, overlaps, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_SHARE, LATE_FOR_S = 0.5, 3.6
RESEND_S = 1.3
END_S, JOBS, RESET_JOBS, TASKS, RUN_MS = 92.0, 24, 13, 4, 2300


async def play_job(site, number):
    """Send a job; reset the channel of most after 0.8 s, and send these again 1.3 s later."""
    headers = (f"Host: {HOST}", "X-Deadline: 6000")
    path, body = f"/pufi791/{new_id()}", job([(TASKS, RUN_MS, 3100)])
    opened = []
    await asyncio.sleep(0.01 * number)
    site.note(f"client: POST {path} to edge-1")
    post = asyncio.create_task(
        call(site.address("edge-1", "front"), "POST", path, body, headers, opened.append)
    )
    await asyncio.sleep(0.8)
    if post.done() or number >= RESET_JOBS:
        result = await asyncio.gather(post, return_exceptions=True)
        site.note(f"client: POST {path} answered {result[0]}")
        return
    site.note(f"the channel of POST {path} is reset")
    channel = opened[0].get_extra_info("socket")
    channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    opened[0].transport.abort()
    await asyncio.gather(post, return_exceptions=True)
    await asyncio.sleep(RESEND_S)
    edge = f"edge-{2 + number % 2}"
    site.note(f"client: POST {path} again, to {edge}")
    status = "no answer"
    try:
        async with asyncio.timeout(6):
            status, _ = await call(site.address(edge, "front"), "POST", path, body, headers)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    site.note(f"client: POST {path} answered {status}")


async def set_late_share(site, share):
    """Set the share of the orders that minions leave unanswered and carry out late."""
    site.note(f"minions leave a share of {share} of the orders unanswered")
    for name in site.names:
        if name.startswith("agent"):
            await call(site.address(name, "app"), "POST", "/admin", {"late_share": share})


async def play(site):
    await site.begin()
    while time.monotonic() < site.t0 + END_S:
        jobs = [asyncio.create_task(play_job(site, number)) for number in range(JOBS)]
        if TROUBLE:
            await set_late_share(site, LATE_SHARE)
            await asyncio.sleep(LATE_FOR_S)
            await set_late_share(site, 0.0)
        await asyncio.gather(*jobs)
        await asyncio.sleep(0.3)
    return overlaps(site.events())


if __name__ == "__main__":
    small_site = SmallSite(cores=1, edges=3, agents=11)
    sys.exit(run_case(small_site, play, "TWICE", HERE, TROUBLE))
