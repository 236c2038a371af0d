"""The benchmark of control: concurrent operators change rows while instances fail.

Operators alter a few jobs, each change conditional on the version just read, through randomly
chosen instances, and send some commands again although they were answered. Followers record when
each accepted change is in force at them. Faults: the leader is killed repeatedly, an instance is
cut off, an instance loses its disk and another one is killed after the repair, and in the end all
instances restart.
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
"""Clients in this process that follow the configuration as entries do."""
OPERATORS = 20
RESEND_SHARE = 0.2
"""Share of answered commands that are sent again."""
MEAN_THINK_TIME_S = 0.15
REQUEST_TIMEOUT_S = 2.0
MIN_ACCEPTED_CHANGES = 1000
"""Lower bound of the accepted changes before all instances are restarted."""


@define
class AcceptedChange:
    """A change that control reported to the operator as accepted.

    Parameters
    ----------
    command : str
        Identifier of the command.
    key : str
        Key of the job.
    value : int
        New `max_running` of the job.
    version : int
        Version of the configuration that contains the change.
    accepted_at : float
        Monotonic seconds at which the answer arrived.
    """

    command: str
    key: str
    value: int
    version: int
    accepted_at: float


@define
class ControlBench:
    """State of one run of the benchmark.

    Parameters
    ----------
    cluster : ProcessCluster
    rng : Random
    accepted : list of AcceptedChange
    latencies : list of float
        Seconds from the first request to the answer of each change before the first fault.
    conflicts : int
        Number of changes that control refused, such as those with a stale version.
    unanswered : int
        Number of changes without an answer when the run ended.
    different_answers : int
        Number of commands whose second answer differed from the first.
    last_value : int
        Last value written; each change writes another value.
    followers : list of ControlClient
    in_force_by_follower : dict of int to list of (int, float)
        Maps the `id` of a follower to the versions that it received, each with the monotonic
        seconds at which the follower applied it.
    reverts : int
        Number of times that a follower saw an earlier value again.
    is_calm : bool
        Whether no fault has been injected yet.
    calm_in_force : list
        Unused.
    stopping : bool
    """

    cluster: object
    rng: Random
    accepted: list = field(factory=list)
    latencies: list = field(factory=list)
    conflicts: int = 0
    unanswered: int = 0
    different_answers: int = 0
    last_value: int = 0
    followers: list = field(factory=list)
    in_force_by_follower: dict = field(factory=dict)
    reverts: int = 0
    is_calm: bool = True
    calm_in_force: list = field(factory=list)
    stopping: bool = False

    def keys(self):
        """Return the keys of the jobs that operators alter."""
        deployment = self.cluster.deployment
        place = f"{deployment.organisation}/{deployment.service}"
        return [f"{place}/{job.name}" for job in deployment.jobs]

    # Operators

    async def run_operator(self):
        """Alter randomly chosen jobs until the run ends."""
        while not self.stopping:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_THINK_TIME_S))
            key = self.rng.choice(self.keys())
            version = await self.query_version(key)
            if version is not None:
                await self.alter_job(key, version)

    async def query_version(self, key):
        """Return the version of a job, or None when the instance does not answer."""
        answer = await self.send_statement(f"show jobs where key = {key}", None)
        if answer is None or not answer.get("rows"):
            return None
        return answer["rows"][0]["version"]

    async def alter_job(self, key, version):
        """Send one change, and retry it under the same identifier until it is answered."""
        self.last_value += 1
        value = self.last_value
        text = f"alter job {key} set max_running={value} if version {version}"
        command = new_id(int(time.time() * 1000), self.rng)
        began = time.monotonic()
        answer = None
        while answer is None and not self.stopping:
            answer = await self.send_statement(text, command)
        if answer is None:
            self.unanswered += 1
            return
        now = time.monotonic()
        if self.is_calm:
            self.latencies.append(now - began)
        if answer["ok"]:
            version = answer["detail"]["version"]
            self.accepted.append(AcceptedChange(command, key, value, version, now))
        else:
            self.conflicts += 1
        if self.rng.random() < RESEND_SHARE:
            await self.resend(text, command, answer)

    async def resend(self, text, command, first):
        """Send an answered command again and count an answer that differs from the first."""
        again = await self.send_statement(text, command)
        if again is None:
            return
        compared = ("ok", "code")
        if any(first.get(name) != again.get(name) for name in compared) or (
            first["ok"] and first["detail"]["version"] != again["detail"]["version"]
        ):
            self.different_answers += 1

    async def send_statement(self, text, command):
        """Send a statement to a random instance; return None if its outcome is unknown."""
        url = self.rng.choice(self.cluster.control_urls())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                _, answer = await ask_control(self.cluster.session, url, text, command=command)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        return None if answer.get("code") in ("unavailable", "unknown") else answer

    # Followers

    def make_follower(self, number):
        """Return a client that follows control and records when it applies each version."""
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
        client.listeners.append(lambda changed: self.record_in_force(client, seen, changed))
        return client

    def proxy_port(self, number):
        """Return the proxy's port that forwards to a control instance."""
        return self.cluster.advertised_ports[f"control-{number + 1}"]

    def record_in_force(self, client, seen, changed):
        """Record the version and the values that one follower applied, and count reverts."""
        now = time.monotonic()
        times = self.in_force_by_follower.setdefault(id(client), [])
        times.append((client.version, now))
        for table, key in changed:
            row = client.catalogue.tables[table].get(key)
            if table != "job" or row is None:
                continue
            values = seen.setdefault(key, [])
            if row.max_running in values[:-1]:
                self.reverts += 1
            if not values or values[-1] != row.max_running:
                values.append(row.max_running)

    def in_force_times(self, since=0.0, until=float("inf")):
        """Return sorted seconds from acceptance until in force, for each change and follower.

        Only changes accepted from `since` to `until`, in monotonic seconds, are included. The time
        is infinite for a change that a follower never received.
        """
        delays_s = []
        for times in self.in_force_by_follower.values():
            position = 0
            for change in sorted(self.accepted, key=lambda accepted: accepted.version):
                while position < len(times) and times[position][0] < change.version:
                    position += 1
                if not since <= change.accepted_at <= until:
                    continue
                in_force_at = times[position][1] if position < len(times) else float("inf")
                delays_s.append(max(0.0, in_force_at - change.accepted_at))
        return sorted(delays_s)

    # Faults

    async def find_leader(self):
        """Return the name of the instance that leads, waiting until one does."""
        while True:
            answer = await self.send_statement("show members where leader = true", None)
            if answer is not None and answer.get("rows"):
                return answer["rows"][0]["member"].split("#")[0]
            await asyncio.sleep(0.05)

    async def measure_gap_after_kill(self):
        """Kill the leader and return the seconds until the next change is accepted.

        Changes accepted within 0.05 s of the kill do not count. The leader is started again 1 s
        after the next accepted change.
        """
        name = await self.find_leader()
        self.cluster.kill(name)
        killed_at = time.monotonic()
        count = len(self.accepted)
        while not any(change.accepted_at > killed_at + 0.05 for change in self.accepted[count:]):
            await asyncio.sleep(0.01)
        gap = self.accepted[-1].accepted_at - killed_at
        await asyncio.sleep(1.0)
        self.cluster.start(name)
        return gap

    async def wait_for_voters(self):
        """Wait until every control instance is a voter.

        A replaced instance gets its vote only when its log holds every committed entry.
        """
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            answer = await self.send_statement("show members where votes = true", None)
            rows = answer["rows"] if answer is not None else []
            if len(rows) == self.cluster.controls:
                return
            await asyncio.sleep(0.1)
        raise UnavailableError("the replaced control instance did not become a voter within 20 s")

    async def lose_disk_then_another(self):
        """Restart one instance with an empty disk, and kill another once the first votes again."""
        leader = await self.find_leader()
        names = [f"control-{n + 1}" for n in range(self.cluster.controls)]
        lost, other = [name for name in names if name != leader][:2]
        self.cluster.lose_disk(lost)
        process = self.cluster.processes[lost]
        process.arguments = [
            argument for argument in process.arguments if argument != "--bootstrap"
        ]
        self.cluster.start(lost)
        await asyncio.sleep(1.0)
        await self.wait_for_voters()
        self.cluster.kill(other)
        await asyncio.sleep(4.0)
        self.cluster.start(other)

    async def restart_all(self):
        """Kill and start every instance; return the seconds until a statement is answered."""
        names = [f"control-{n + 1}" for n in range(self.cluster.controls)]
        for name in names:
            self.cluster.kill(name)
        began = time.monotonic()
        for name in names:
            self.cluster.start(name)
        while await self.send_statement("show jobs", None) is None:
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def wait_for_changes(self, count):
        """Wait until at least `count` changes were accepted."""
        while len(self.accepted) < count:
            await asyncio.sleep(0.1)


async def run_bench_control(seed, controls=3, seconds=60.0, out=print):
    """Run the benchmark and return its figures.

    Parameters
    ----------
    seed : int
    controls : int
    seconds : float
        Duration of the repeated kills of the leader, one every 10 s.
    out : callable
        Prints progress.

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
            operators = [spawn(bench.run_operator()) for _ in range(OPERATORS)]
            figures = await run_phases(bench, seconds, out)
            bench.stopping = True
            await asyncio.wait(operators, timeout=10.0)
            await asyncio.sleep(2.0)
            return {**figures, **await final_figures(bench)}


async def run_phases(bench, seconds, out):
    """Run the phases one after the other and return their figures."""
    figures = {}
    out("8 s without faults")
    began = time.monotonic()
    await asyncio.sleep(8.0)
    calm_until = time.monotonic() - 1.5
    bench.is_calm = False
    gaps = []
    for number in range(max(1, int(seconds // 10))):
        out(f"kill {number + 1} of the leader")
        round_started_at = time.monotonic()
        gaps.append(await bench.measure_gap_after_kill())
        await asyncio.sleep(max(0.0, 10.0 - (time.monotonic() - round_started_at)))
    out("all traffic of the leader is dropped for 8 s")
    leader = await bench.find_leader()
    bench.cluster.proxy.add(Rule("lose", leader, "all"))
    bench.cluster.proxy.add(Rule("lose", "all", leader))
    await asyncio.sleep(8.0)
    bench.cluster.proxy.heal()
    await asyncio.sleep(2.0)
    out("an instance loses its disk, and another is killed after the repair")
    await bench.lose_disk_then_another()
    await asyncio.sleep(2.0)
    out(f"waiting for {MIN_ACCEPTED_CHANGES} accepted changes, then restarting all instances")
    await bench.wait_for_changes(MIN_ACCEPTED_CHANGES)
    figures["restart_s"] = round(await bench.restart_all(), 3)
    await asyncio.sleep(3.0)
    figures["leader_loss_gap_s"] = round(max(gaps), 3)
    calm = bench.in_force_times(began, calm_until)
    figures["in_force_calm_max_s"] = round(calm[-1], 3) if calm else None
    return figures


async def final_figures(bench):
    """Compare the answers to operators with the history of control and return the figures."""
    history = (await bench.cluster.ask("show history limit 100000"))[1]["rows"]
    commands = [row["command"] for row in history]
    versions = {row["command"]: row["version"] for row in history}
    lost = [change for change in bench.accepted if versions.get(change.command) != change.version]
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
