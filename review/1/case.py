"""Workers are cut off for a moment, crash behind the cut and start again under their ids."""

import asyncio
import json
import random
import sys
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import rig as rigs  # noqa: E402

CUT_S, CRASH_AT_S, BACK_AT_S = 0.4, 0.1, 0.2  # of a cut: its length; when the minion goes and comes
CUTS, PAUSE_S = 12, 3.0
SYN_RETRY_S = 1.0  # a first packet that is lost is sent again after a second
JOBS_PER_S, TASKS, TASK_MS, CPU = 20, 4, 500, 2000


class CutMinion(rigs.Minion):
    """A minion behind a proxy that can drop everything between it and its machine's agent."""

    is_cut = False

    async def open_proxy(self):
        self.outer_port, self.app_port = self.app_port, self.rig.ports[3] + 1
        self.pairs = set()
        await asyncio.start_server(self.relay, self.host, self.outer_port)

    async def relay(self, reader, writer):
        """Carry one channel from the agent to the minion."""
        if self.is_cut:
            # Opened during the cut: its first packet comes again after a second; if the caller has
            # given up by then, nothing of it has reached the minion.
            closed = asyncio.create_task(wait_closed(reader))
            await asyncio.wait({closed}, timeout=SYN_RETRY_S)
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(self.host, self.app_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, to_writer)
        self.pairs.add(pair)
        try:
            await asyncio.wait(
                {asyncio.create_task(self.pump(reader, to_writer, pair)),
                 asyncio.create_task(self.pump(to_reader, writer, pair))},
                return_when=asyncio.FIRST_COMPLETED,
            )  # fmt: skip
        finally:
            if not self.is_cut:
                self.drop(pair)

    async def pump(self, reader, writer, pair):
        with suppress(OSError):
            while data := await reader.read(65536):
                if self.is_cut or pair not in self.pairs:
                    await asyncio.sleep(3600)
                writer.write(data)

    def drop(self, pair):
        self.pairs.discard(pair)
        for writer in pair:
            writer.transport.abort()

    async def cut(self):
        """Cut the minion off; meanwhile it crashes and begins another life."""
        self.rig.record(f"{self.name}: its minion is cut off")
        self.is_cut = True
        await asyncio.sleep(CRASH_AT_S)
        self.crash()
        await asyncio.sleep(BACK_AT_S - CRASH_AT_S)
        await self.begin()
        await asyncio.sleep(CUT_S - BACK_AT_S)
        self.is_cut = False
        for pair in list(self.pairs):  # the life that had these channels is gone: reset
            self.drop(pair)
        self.rig.record(f"{self.name}: the cut has healed")

    async def report(self):
        if self.is_cut:
            await asyncio.sleep(SYN_RETRY_S)
        return await super().report()


async def wait_closed(reader):
    with suppress(OSError):
        while await reader.read(65536):
            pass


async def case(rig):
    rng = random.Random(3)
    clients = set()

    async def client():
        job = f"{rng.getrandbits(64):016x}"
        step = {"count": TASKS, "cpu": CPU, "memMb": 64, "estimatedMs": TASK_MS}
        spec = json.dumps({"ms": TASK_MS, "cpu": CPU})
        for _ in range(3):
            entry = rng.choice(rig.names["entry"])
            status, _ = await rig.post(entry, job, [step], spec, 4000)
            if status not in (None, 502, 504):
                return
            await asyncio.sleep(rigs.RESEND_S)

    async def load():
        while True:
            task = asyncio.create_task(client())
            clients.add(task)
            task.add_done_callback(clients.discard)
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))

    loader = asyncio.create_task(load())
    for turn in range(CUTS):
        await asyncio.sleep(PAUSE_S)
        if rigs.TROUBLE:
            await rig.minions[turn % len(rig.minions)].cut()
    await asyncio.sleep(PAUSE_S)
    loader.cancel()
    await asyncio.sleep(5)
    found = rigs.find_twice(rig.runs, rig.record.now())
    for one, other, overlap_s in found:
        texts = [
            f"run {run.run} at {run.minion}/{run.lifetime}, {run.started:.4f} to {run.ended:.4f} s "
            f"({run.how})"
            for run in (one, other)
        ]
        rig.record(f"TWICE {one.task}: {texts[0]}; {texts[1]}; {overlap_s * 1000:.1f} ms")
    if not found:
        return []
    longest = max(overlap_s for *_, overlap_s in found)
    return [f"TWICE: {len(found)} tasks ran twice at the same time, for {longest:.3f} s at most"]


rigs.main(case, HERE, controls=1, entries=2, minions=6, minion_class=CutMinion)
