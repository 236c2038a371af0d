"""Carries out the faults of a schedule on a running cluster."""

import asyncio
import signal

from attrs import define, field

from onyxfork.platform.standin.worker import drain_and_restart
from onyxfork.workload.proxy import Rule
from onyxfork.workload.soak.cluster import CONTROL_HTTP_PORT, GRACE_S, RESTART_S
from onyxfork.workload.soak.schedule import UNPLANNED

__all__ = ["FaultRun"]

TERM_POLL_S = 0.02
LEAVE_DRAIN_S = 2.2
"""The platform lets a worker go on for 2 s after its draining is acknowledged, and a little
more."""

TORN_BYTES = 37


@define(eq=False)
class FaultRun:
    """Carries out faults, each by the method that bears its kind's name.

    Parameters
    ----------
    cluster : SoakCluster
    callers : Callers
    operators : Operators
    records : SoakRecords
    clock : Clock
    say : callable
        Takes a line of the timeline.
    """

    cluster: object
    callers: object
    operators: object
    records: object
    clock: object
    say: object
    bursts: list = field(factory=list)

    async def run(self, faults):
        """Begin each fault at its time and wait until all have healed."""
        began = self.clock.now()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, began + fault.at_s - self.clock.now()))
            self.say(str(fault))
            tasks.append(asyncio.create_task(self.carry_out(fault)))
        await asyncio.gather(*tasks)

    async def carry_out(self, fault):
        """Carry out one fault and note how long it lasted."""
        began = self.clock.now()
        await getattr(self, f"do_{fault.kind}")(fault)
        if fault.kind in UNPLANNED:
            self.records.unplanned.append((began, self.clock.now()))

    # Processes

    async def do_kill(self, fault):
        """Kill a process, which comes back at once."""
        self.cluster.kill(fault.target)
        await asyncio.sleep(RESTART_S)

    async def do_kill_all(self, fault):
        """Kill every process at the same moment."""
        for name in self.cluster.names():
            self.cluster.kill(name)
        await asyncio.sleep(fault.for_s)

    async def do_pause(self, fault):
        """Let a process stand still."""
        self.cluster.pause(fault.target)
        await asyncio.sleep(fault.for_s)
        self.cluster.resume(fault.target)

    async def do_term(self, fault):
        """Stop a process as planned, or kill it when its time for that is over."""
        process = self.cluster.processes[fault.target].process
        told_at = self.clock.now()
        self.cluster.terminate(fault.target)
        while process.poll() is None and self.clock.now() < told_at + GRACE_S:
            await asyncio.sleep(TERM_POLL_S)
        if process.poll() is None:
            process.kill()
        self.records.terms.append((fault.target, told_at, self.clock.now()))

    async def do_hup(self, fault):
        """Tell a process that its settings have changed."""
        self.cluster.processes[fault.target].signal(signal.SIGHUP)

    # Disks and clocks

    async def hold_down(self, name, seconds):
        """Keep a killed process down for a while."""
        self.cluster.held.add(name)
        self.cluster.kill(name)
        await asyncio.sleep(seconds)

    def let_start(self, name):
        """Let the supervisor start a process again."""
        self.cluster.held.discard(name)

    async def do_lose_disk(self, fault):
        """Kill a control instance, which comes back with an empty disk."""
        await self.hold_down(fault.target, fault.for_s)
        self.cluster.wipe(fault.target)
        self.let_start(fault.target)

    async def do_tear_log(self, fault):
        """Kill a control instance in the middle of a write."""
        await self.hold_down(fault.target, RESTART_S)
        self.cluster.tear_log(fault.target, TORN_BYTES)
        self.let_start(fault.target)

    async def do_fill_disk(self, fault):
        """Let a control instance's files grow no more, for a while."""
        process = self.cluster.processes[fault.target]
        self.cluster.expected.add(fault.target)
        process.fill_disk()
        await asyncio.sleep(fault.for_s)
        process.free_disk()

    async def do_step_clock(self, fault):
        """Step the time of day of a process, and back."""
        self.cluster.step_clock(fault.target, fault.amount)
        await asyncio.sleep(fault.for_s)
        self.cluster.step_clock(fault.target, 0)

    # Links

    async def with_rule(self, fault, kind, **fields):
        """Keep a fault on a link for a while."""
        proxy = self.cluster.proxy
        rule = Rule(kind, fault.target, fault.other, **fields)
        proxy.add(rule)
        await asyncio.sleep(fault.for_s)
        if rule in proxy.rules:
            proxy.rules.remove(rule)

    async def do_delay(self, fault):
        """Delay one direction."""
        await self.with_rule(fault, "delay", delay_s=fault.amount)

    async def do_cut(self, fault):
        """Refuse and reset connections between two places."""
        await self.with_rule(fault, "cut")

    async def do_lose(self, fault):
        """Let everything in one direction vanish."""
        await self.with_rule(fault, "lose")

    async def do_reset(self, fault):
        """Reset the open connections between two places."""
        proxy = self.cluster.proxy
        rule = Rule("cut", fault.target, fault.other)
        proxy.add(rule)
        proxy.rules.remove(rule)

    async def do_silence(self, fault):
        """Let the open connections between two places fall silent for good."""
        self.cluster.proxy.add(Rule("silence", fault.target, fault.other))

    # Workers

    async def do_crash(self, fault):
        """Let a worker lose everything; its next lifetime has another identity."""
        worker = self.cluster.workers[fault.target]
        worker.is_up = False
        worker.end_lifetime()
        await asyncio.sleep(fault.for_s)
        worker.is_up = True

    async def do_reborn(self, fault):
        """Let a worker lose everything and come back at once."""
        self.cluster.workers[fault.target].end_lifetime()

    async def with_worker_fault(self, fault):
        """Let a worker misbehave for a while."""
        worker = self.cluster.workers[fault.target]
        worker.fault = fault.kind
        await asyncio.sleep(fault.for_s)
        if worker.fault == fault.kind:
            worker.fault = ""

    do_fail = do_hang = do_late = do_mute = do_shed = with_worker_fault

    async def do_slow(self, fault):
        """Let a worker run what it is given several times as long."""
        worker = self.cluster.workers[fault.target]
        worker.speed = 1 / fault.amount
        await asyncio.sleep(fault.for_s)
        worker.speed = 1.0

    async def do_leave(self, fault):
        """Drain a worker and end its lifetime as planned."""
        worker = self.cluster.workers[fault.target]
        if not worker.is_up or worker.state != "ready":
            return
        life = worker.id
        agent = self.cluster.address(fault.target, CONTROL_HTTP_PORT)
        leaving = asyncio.create_task(drain_and_restart(worker, agent, LEAVE_DRAIN_S))
        while not leaving.done():
            if worker.id == life and worker.drain_acked_at is not None:
                self.records.drains.append((life, worker.drain_acked_at))
                break
            await asyncio.sleep(TERM_POLL_S)
        await leaving

    # Load

    async def do_burst(self, fault):
        """Let several times as many jobs come."""
        self.bursts.append(fault.amount)
        self.callers.rate = max(self.bursts)
        await asyncio.sleep(fault.for_s)
        self.bursts.remove(fault.amount)
        self.callers.rate = max(self.bursts, default=1.0)

    async def do_give_up(self, fault):
        """Let callers leave before they are answered."""
        self.callers.give_up_share = 0.4
        await asyncio.sleep(fault.for_s)
        self.callers.give_up_share = 0.0

    async def do_storm(self, fault):
        """Send many large configurations in quick succession."""
        await self.operators.storm()

    async def do_race(self, fault):
        """Let two operators send at the same time."""
        await self.operators.race()

    async def do_invalid(self, fault):
        """Send configurations that must be refused."""
        await self.operators.send_invalid()
