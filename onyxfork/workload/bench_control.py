"""The benchmark of control: operators race and resend while instances fail.

Operators alter a few jobs on equal versions through whichever instance answers, and send some
commands again although they were answered. Followers note when each accepted change is in force
with them. Faults: the leader is killed repeatedly, an instance is cut off, an instance loses its
disk and another one dies after the repair, and in the end all restart.
"""

import asyncio
import time
from random import Random
from tempfile import TemporaryDirectory

import aiohttp
from attrs import define, field

from onyxfork.control.client import ControlClient
from onyxfork.errors import UnavailableError
from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing
from onyxfork.utils import SystemClock, owned_tasks
from onyxfork.utils.ids import new_id
from onyxfork.workload.deployment import BYGDELAG
from onyxfork.workload.embedded import ask_control
from onyxfork.workload.processes import loopback_address, run_processes
from onyxfork.workload.proxy import Rule

__all__ = ["run_bench_control", "ControlBench"]

FOLLOWERS = 20
OPERATORS = 20
RESEND_SHARE = 0.2
THINK_S = 0.15
REQUEST_TIMEOUT_S = 2.0
COUNTED_CHANGES = 1000


@define
class Accepted:
    """A change that an operator was told was accepted."""

    command: str
    key: str
    value: int
    version: int
    at: float


@define
class ControlBench:
    """One run of the benchmark."""

    cluster: object
    rng: Random
    accepted: list = field(factory=list)
    latencies: list = field(factory=list)
    conflicts: int = 0
    unknown: int = 0
    different_answers: int = 0
    value: int = 0
    followers: list = field(factory=list)
    in_force: dict = field(factory=dict)
    reverts: int = 0
    calm: bool = True
    calm_in_force: list = field(factory=list)
    stopping: bool = False

    def keys(self):
        """Return the jobs that operators race on."""
        deployment = self.cluster.deployment
        place = f"{deployment.organisation}/{deployment.service}"
        return [f"{place}/{job.name}" for job in deployment.jobs]

    # Operators

    async def operate(self):
        """Alter jobs until the run ends."""
        while not self.stopping:
            await asyncio.sleep(self.rng.expovariate(1 / THINK_S))
            key = self.rng.choice(self.keys())
            version = await self.version_of(key)
            if version is not None:
                await self.alter(key, version)

    async def version_of(self, key):
        """Return the version of a row, or None when nobody answers."""
        answer = await self.send(f"show jobs where key = {key}", None)
        if answer is None or not answer.get("rows"):
            return None
        return answer["rows"][0]["version"]

    async def alter(self, key, version):
        """Send one change, again under the same identifier while the answer is lost."""
        self.value += 1
        value = self.value
        text = f"alter job {key} set max_running={value} if version {version}"
        command = new_id(int(time.time() * 1000), self.rng)
        began = time.monotonic()
        answer = None
        while answer is None and not self.stopping:
            answer = await self.send(text, command)
        if answer is None:
            self.unknown += 1
            return
        now = time.monotonic()
        if self.calm:
            self.latencies.append(now - began)
        if answer["ok"]:
            version = answer["detail"]["version"]
            self.accepted.append(Accepted(command, key, value, version, now))
        else:
            self.conflicts += 1
        if self.rng.random() < RESEND_SHARE:
            await self.resend(text, command, answer)

    async def resend(self, text, command, first):
        """Send an answered command again; the answer must be the first one."""
        again = await self.send(text, command)
        if again is None:
            return
        same = ("ok", "code")
        if any(first.get(name) != again.get(name) for name in same) or (
            first["ok"] and first["detail"]["version"] != again["detail"]["version"]
        ):
            self.different_answers += 1

    async def send(self, text, command):
        """Send a statement to one instance; None when it does not answer with certainty."""
        url = self.rng.choice(self.cluster.control_urls())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                _, answer = await ask_control(self.cluster.session, url, text, command=command)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        return None if answer.get("code") in ("unavailable", "unknown") else answer

    # Followers

    def make_follower(self, number):
        """Return a client that notes when versions come into force with it."""
        name = f"node-{number}"

        def hello():
            zone = self.cluster.deployment.zones[0]
            return Hello(PROTOCOL_VERSION, "bygdelag", "entry", name, name, zone, time.monotonic())

        addresses = [
            loopback_address(port)
            for port in (self.proxy_port(n) for n in range(self.cluster.controls))
        ]
        client = ControlClient(addresses, hello, Timing(), SystemClock(), seed=number)
        seen = {}
        client.listeners.append(lambda changed: self.note(client, seen, changed))
        return client

    def proxy_port(self, number):
        """Return the port at which the proxy listens for a control instance."""
        return self.cluster.advertised_ports[f"control-{number + 1}"]

    def note(self, client, seen, changed):
        """Note the values that have come into force with one follower."""
        now = time.monotonic()
        times = self.in_force.setdefault(id(client), [])
        times.append((client.version, now))
        for table, key in changed:
            row = client.catalogue.tables[table].get(key)
            if table != "job" or row is None:
                continue
            order = seen.setdefault(key, [])
            if row.max_running in order[:-1]:
                self.reverts += 1
            if not order or order[-1] != row.max_running:
                order.append(row.max_running)

    def in_force_times(self, since=0.0, until=float("inf")):
        """Return seconds from acceptance until in force, for each change and follower."""
        found = []
        for times in self.in_force.values():
            position = 0
            for change in sorted(self.accepted, key=lambda one: one.version):
                while position < len(times) and times[position][0] < change.version:
                    position += 1
                if not since <= change.at <= until:
                    continue
                at = times[position][1] if position < len(times) else float("inf")
                found.append(max(0.0, at - change.at))
        return sorted(found)

    # Faults

    async def leader(self):
        """Return the name of the leading instance."""
        while True:
            answer = await self.send("show members where leader = true", None)
            if answer is not None and answer.get("rows"):
                return answer["rows"][0]["member"].split("#")[0]
            await asyncio.sleep(0.05)

    async def gap_after_kill(self):
        """Kill the leader and return the time until the next change is accepted."""
        name = await self.leader()
        self.cluster.kill(name)
        killed = time.monotonic()
        count = len(self.accepted)
        while not any(change.at > killed + 0.05 for change in self.accepted[count:]):
            await asyncio.sleep(0.01)
        gap = self.accepted[-1].at - killed
        await asyncio.sleep(1.0)
        self.cluster.start(name)
        return gap

    async def wait_for_voters(self):
        """Wait until every instance that runs votes and holds everything committed."""
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            answer = await self.send("show members where votes = true", None)
            rows = answer["rows"] if answer is not None else []
            if len(rows) == self.cluster.controls:
                return
            await asyncio.sleep(0.1)
        raise UnavailableError("the replaced instance did not get a vote")

    async def lose_disk_then_another(self):
        """Replace one instance with an empty disk, and kill another right after the repair."""
        leader = await self.leader()
        names = [f"control-{n + 1}" for n in range(self.cluster.controls)]
        lost, other = [name for name in names if name != leader][:2]
        self.cluster.lose_disk(lost)
        process = self.cluster.processes[lost]
        process.arguments = [one for one in process.arguments if one != "--bootstrap"]
        self.cluster.start(lost)
        await asyncio.sleep(1.0)
        await self.wait_for_voters()
        self.cluster.kill(other)
        await asyncio.sleep(4.0)
        self.cluster.start(other)

    async def restart_all(self):
        """Kill every instance, start them, and return the time until an operator is answered."""
        names = [f"control-{n + 1}" for n in range(self.cluster.controls)]
        for name in names:
            self.cluster.kill(name)
        began = time.monotonic()
        for name in names:
            self.cluster.start(name)
        while await self.send("show jobs", None) is None:
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def fill(self, count):
        """Make changes until there were `count`."""
        while len(self.accepted) < count:
            await asyncio.sleep(0.1)


async def run_bench_control(seed, controls=3, seconds=60.0, out=print):
    """Run the benchmark and return its figures.

    Parameters
    ----------
    seed : int
    controls : int
    seconds : float
        Of repeated kills of the leader, every 10 s.
    out : callable

    Returns
    -------
    dict
    """
    with TemporaryDirectory(prefix="onyxfork-control-") as folder:
        context = run_processes(BYGDELAG, folder, 1, entries=1, controls=controls)
        async with context as cluster, owned_tasks() as spawn:
            bench = ControlBench(cluster, Random(seed))
            for number in range(FOLLOWERS):
                client = bench.make_follower(number)
                bench.followers.append(client)
                spawn(client.run())
            await asyncio.gather(*(client.synced.wait() for client in bench.followers))
            operators = [spawn(bench.operate()) for _ in range(OPERATORS)]
            figures = await run_phases(bench, seconds, out)
            bench.stopping = True
            await asyncio.wait(operators, timeout=10.0)
            await asyncio.sleep(2.0)
            return {**figures, **await final_figures(bench)}


async def run_phases(bench, seconds, out):
    """Run the phases one after the other and return what each measured."""
    figures = {}
    out("calm for 8 s")
    began = time.monotonic()
    await asyncio.sleep(8.0)
    calm_until = time.monotonic() - 1.5
    bench.calm = False
    gaps = []
    for number in range(max(1, int(seconds // 10))):
        out(f"kill of the leader, number {number + 1}")
        turn = time.monotonic()
        gaps.append(await bench.gap_after_kill())
        await asyncio.sleep(max(0.0, 10.0 - (time.monotonic() - turn)))
    out("one instance is cut off silently for 8 s")
    cut = await bench.leader()
    bench.cluster.proxy.add(Rule("lose", cut, "all"))
    bench.cluster.proxy.add(Rule("lose", "all", cut))
    await asyncio.sleep(8.0)
    bench.cluster.proxy.heal()
    await asyncio.sleep(2.0)
    out("an instance loses its disk, another dies after the repair")
    await bench.lose_disk_then_another()
    await asyncio.sleep(2.0)
    out(f"until {COUNTED_CHANGES} changes, then a restart of all")
    await bench.fill(COUNTED_CHANGES)
    figures["restart_s"] = round(await bench.restart_all(), 3)
    await asyncio.sleep(3.0)
    figures["leader_loss_gap_s"] = round(max(gaps), 3)
    calm = bench.in_force_times(began, calm_until)
    figures["in_force_calm_max_s"] = round(calm[-1], 3) if calm else None
    return figures


async def final_figures(bench):
    """Compare what operators were told with what is in force at the end."""
    history = (await bench.cluster.ask("show history limit 100000"))[1]["rows"]
    commands = [row["command"] for row in history]
    versions = {row["command"]: row["version"] for row in history}
    lost = [one for one in bench.accepted if versions.get(one.command) != one.version]
    times = bench.in_force_times()
    latencies = sorted(bench.latencies)
    return {
        "changes_accepted": len(bench.accepted),
        "changes_lost": len(lost),
        "conflicts": bench.conflicts,
        "reverts": bench.reverts,
        "duplicate_effects": len(commands) - len(set(commands)) + bench.different_answers,
        "in_force_p50_s": round(times[len(times) // 2], 4),
        "in_force_max_s": round(times[-1], 3),
        "commit_p99_ms": round(1000 * latencies[int(len(latencies) * 0.99)], 2),
    }
