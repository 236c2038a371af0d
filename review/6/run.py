"""A job is cancelled through the edge node that doesn't hold its POST.

TROUBLE=1: the DELETE's channel to the node that holds the POST is reset before the request arrives
there, so the client sends it again and reaches the other node. TROUBLE=0: no channel is reset, the
DELETE arrives at the node that holds the POST.
"""

import asyncio
import os
import socket
import struct
import sys
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from minion import call  # noqa: E402
from small_site import HOST, SmallSite, job, new_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CANCEL_S, STOP_S = 3.0, 0.05
SLACK_S = 0.1


async def reset_channel(address):
    """Open a channel and reset it before the request is sent."""
    host, port = address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    channel = writer.get_extra_info("socket")
    channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def play(site):
    await site.begin()
    first, other = site.address("edge-1", "front"), site.address("edge-2", "front")
    headers = (f"Host: {HOST}", "X-Deadline: 15000")
    job_id = new_id()
    path = f"/lohu930/{job_id}"
    steps = [
        (2, 1800, 3100),
        (2, 1800, 3100, {"dependsOn": [0]}),
        (2, 1800, 3100, {"dependsOn": [1]}),
        (2, 1800, 3100, {"dependsOn": [2]}),
    ]
    site.note(f"client: POST {path} to edge-1, four steps of 2 tasks, each 1.8 s")
    post = asyncio.create_task(call(first, "POST", path, job(steps), headers))
    await asyncio.sleep(0.6)
    target, name = first, "edge-1"
    if TROUBLE:
        site.note("client: DELETE to edge-1, its channel is reset before the request is sent")
        await reset_channel(first)
        await asyncio.sleep(0.3)
        target, name = other, "edge-2"
    site.note(f"client: DELETE {path} to {name}")
    status, body = await call(target, "DELETE", path, None, (f"Host: {HOST}",))
    acked_at = asyncio.get_running_loop().time() - site.t0
    site.note(f"client: DELETE answered {status} {body}")
    status_2xx = 200 <= status < 300 or status == 410
    answer = await post
    site.note(f"client: POST answered {answer[0]} {answer[1]}")
    await asyncio.sleep(1.0)
    broken = []
    for row in site.events():
        if row["event"] == "start" and row["task"].startswith(job_id):
            if row["at"] > acked_at + CANCEL_S + SLACK_S:
                broken.append(f"{row['task']} started {row['at'] - acked_at:.2f} s after the ack")
        if row["event"] == "end" and row["task"].startswith(job_id):
            if row["at"] > acked_at + CANCEL_S + STOP_S + SLACK_S:
                broken.append(f"{row['task']} ended {row['how']} {row['at'] - acked_at:.2f} s after the ack")
    if not status_2xx:
        raise RuntimeError(f"the DELETE was answered {status}")
    return broken


def main():
    site = SmallSite(cores=1, edges=2, agents=2)
    try:
        broken = asyncio.run(asyncio.wait_for(play(site), 100))
    except Exception:
        traceback.print_exc()
        site.end(HERE / "record.txt")
        return 2
    for line in broken:
        site.note(f"UNASKED: {line}")
    site.note(f"trouble {int(TROUBLE)}: {'broken' if broken else 'held'}")
    site.end(HERE / "record.txt")
    print("\n".join(broken) or "held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
