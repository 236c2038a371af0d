"""Injection of the scheduled faults into a running cluster."""

import asyncio
import signal

from attrs import define, evolve, field

from onyxfork.platform.standin.calls import MAX_BODY_BYTES, job_path
from onyxfork.platform.standin.crowds import (
    CLIENT_ID,
    connect_crowd,
    header_lines,
    idle_connections,
    pipelines,
    unfinished_bodies,
    unfinished_headers,
)
from onyxfork.platform.standin.worker import drain_and_restart, send_odd_reports
from onyxfork.workload.proxy import Rule
from onyxfork.workload.soak.checks import EvacuationRecord
from onyxfork.workload.soak.cluster import (
    CALLERS_PORT,
    CONTROL_HTTP_PORT,
    RESTART_DELAY_S,
    STOP_GRACE_S,
)
from onyxfork.workload.soak.load import HOST
from onyxfork.workload.soak.schedule import CROWD_KINDS, UNPLANNED_KINDS

__all__ = ["FaultInjector"]

POLL_INTERVAL_S = 0.02
LEAVE_DRAIN_S = 2.2
"""Time from a worker's report that it is draining to the end of its lifetime: the platform allows
2 s after the acknowledgement, and this adds a margin."""

ODD_REPORTS = 20
"""Reports of another writer that an agent gets one after the other."""

IMPATIENT = 6
"""Callers that time out together."""

MAX_IN_FLIGHT_S = 0.03
"""Longest time from the sending of changes to the kill of all processes: about two commits."""

TORN_BYTES = 37
"""Length of the incomplete record at the end of a torn log."""


def make_crowds(queue):
    """Return the crowds of clients, whose requests are to a queue."""
    path, list_path = job_path(queue, CLIENT_ID), f"/{queue}/"
    crowds = [
        unfinished_bodies(150, path, HOST, MAX_BODY_BYTES - 64, chunk_bytes=16384),
        evolve(unfinished_headers(300, path, HOST), reconnects=True),
        header_lines(100, list_path, HOST, 2700),
        pipelines(10, list_path, HOST, 2000, reads=False),
        idle_connections(300),
    ]
    assert len(crowds) == CROWD_KINDS
    return crowds


@define(eq=False)
class FaultInjector:
    """Injects faults; the method ``do_KIND`` injects those of one kind.

    Parameters
    ----------
    cluster : SoakCluster
    callers : Callers
    operators : Operators
    records : SoakRecords
    clock : Clock
    print_line : callable
        Prints a line of the timeline.
    burst_factors : list of float
        Load factors of the bursts in progress.
    unanswered_shares : list of float
        Shares of unanswered orders of the faults in progress.
    """

    cluster: object
    callers: object
    operators: object
    records: object
    clock: object
    print_line: object
    burst_factors: list = field(factory=list)
    unanswered_shares: list = field(factory=list)

    async def run(self, faults):
        """Start each fault at its time and wait until all have ended."""
        started_at = self.clock.now()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started_at + fault.at_s - self.clock.now()))
            self.print_line(str(fault))
            tasks.append(asyncio.create_task(self.inject(fault)))
        await asyncio.gather(*tasks)

    async def inject(self, fault):
        """Inject one fault, wait for its end, and record both times if it is unplanned."""
        started_at = self.clock.now()
        await getattr(self, f"do_{fault.kind}")(fault)
        if fault.kind in UNPLANNED_KINDS:
            self.records.unplanned_faults.append((started_at, self.clock.now()))

    # Processes

    async def do_kill(self, fault):
        """Kill a process, which the supervisor restarts."""
        self.cluster.kill(fault.target)
        await asyncio.sleep(RESTART_DELAY_S)

    async def do_kill_all(self, fault):
        """Kill every process at the same time."""
        for name in self.cluster.names():
            self.cluster.kill(name)
        await asyncio.sleep(fault.duration_s)

    async def do_lose_power(self, fault):
        """Kill every process right after changes of operators; some control instances lose disks.

        The files of the others keep what was written without a sync, unlike in a loss of power.
        """
        await self.operators.change_configuration()
        in_flight = asyncio.create_task(self.operators.send_concurrently())
        await asyncio.sleep(self.operators.rng.uniform(0.0, MAX_IN_FLIGHT_S))
        lost = [name for name in (fault.target, fault.other) if name]
        others = [name for name in self.cluster.names() if name not in lost]
        self.cluster.kill_together(self.cluster.names())
        for name in lost:
            self.cluster.wipe_data(name)
        await asyncio.sleep(fault.duration_s)
        first, second = (others, lost) if fault.amount > 0 else (lost, others)
        self.cluster.start_together(first)
        await asyncio.sleep(abs(fault.amount))
        self.cluster.start_together(second)
        await in_flight

    async def do_pause(self, fault):
        """Suspend a process for the duration of the fault."""
        self.cluster.pause(fault.target)
        await asyncio.sleep(fault.duration_s)
        self.cluster.resume(fault.target)

    async def do_term(self, fault):
        """Stop a process as planned, and kill it if it exceeds the grace period."""
        process = self.cluster.processes[fault.target].process
        stop_sent_at = self.clock.now()
        self.cluster.terminate(fault.target)
        while process.poll() is None and self.clock.now() < stop_sent_at + STOP_GRACE_S:
            await asyncio.sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            process.kill()
        self.records.planned_stops.append((fault.target, stop_sent_at, self.clock.now()))

    async def do_hup(self, fault):
        """Send SIGHUP to a process, as after a change of its settings."""
        self.cluster.processes[fault.target].signal(signal.SIGHUP)

    # Disks and clocks

    async def hold_down(self, name, seconds):
        """Kill a process and prevent its restart until `release`; wait for some seconds."""
        self.cluster.held_down.add(name)
        self.cluster.kill(name)
        await asyncio.sleep(seconds)

    def release(self, name):
        """Allow the supervisor to restart a process."""
        self.cluster.held_down.discard(name)

    async def do_lose_disk(self, fault):
        """Kill a control instance and restart it with an empty disk."""
        await self.hold_down(fault.target, fault.duration_s)
        self.cluster.wipe_data(fault.target)
        self.release(fault.target)

    async def do_tear_log(self, fault):
        """Kill a control instance and restart it with an incomplete record in its log."""
        await self.hold_down(fault.target, RESTART_DELAY_S)
        self.cluster.tear_log(fault.target, TORN_BYTES)
        self.release(fault.target)

    async def do_fill_disk(self, fault):
        """Prevent a control instance's files from growing for the duration of the fault."""
        process = self.cluster.processes[fault.target]
        self.cluster.expected_exits.add(fault.target)
        process.fill_disk()
        await asyncio.sleep(fault.duration_s)
        process.free_disk()

    async def do_step_clock(self, fault):
        """Step the time of day of a process, and back at the end of the fault."""
        self.cluster.step_clock(fault.target, fault.amount)
        await asyncio.sleep(fault.duration_s)
        self.cluster.step_clock(fault.target, 0)

    # Links

    async def apply_rule(self, fault, kind, **fields):
        """Apply a rule of the proxy for the duration of the fault."""
        proxy = self.cluster.proxy
        rule = Rule(kind, fault.target, fault.other, **fields)
        proxy.add(rule)
        await asyncio.sleep(fault.duration_s)
        if rule in proxy.rules:
            proxy.rules.remove(rule)

    async def do_delay(self, fault):
        """Delay one direction of a link."""
        await self.apply_rule(fault, "delay", delay_s=fault.amount)

    async def do_cut(self, fault):
        """Refuse and reset connections between two processes."""
        await self.apply_rule(fault, "cut")

    async def do_lose(self, fault):
        """Drop all bytes in one direction of a link."""
        await self.apply_rule(fault, "lose")

    async def do_reset(self, fault):
        """Reset the open connections between two processes."""
        proxy = self.cluster.proxy
        rule = Rule("cut", fault.target, fault.other)
        proxy.add(rule)
        proxy.rules.remove(rule)

    async def do_silence(self, fault):
        """Drop all further bytes in one direction of the open connections of a link."""
        self.cluster.proxy.add(Rule("silence", fault.target, fault.other))

    # Workers

    async def do_crash(self, fault):
        """Crash a worker, which returns after the duration of the fault."""
        worker = self.cluster.workers[fault.target]
        worker.is_up = False
        worker.end_lifetime()
        await asyncio.sleep(fault.duration_s)
        worker.is_up = True

    async def do_reborn(self, fault):
        """Crash a worker, which returns at once."""
        self.cluster.workers[fault.target].end_lifetime()

    async def do_cut_reborn(self, fault):
        """Cut a worker off from its agent; behind the cut it crashes and returns."""
        worker = self.cluster.workers[fault.target]
        if worker.is_cut_off:
            return
        worker.is_cut_off = True
        worker.cut_ended.clear()
        await asyncio.sleep(fault.duration_s / 2)
        worker.end_lifetime()
        await asyncio.sleep(fault.duration_s / 2)
        worker.is_cut_off = False
        worker.cut_ended.set()

    async def do_odd_reports(self, fault):
        """Send an agent odd reports of another writer, which it must refuse."""
        worker = self.cluster.workers[fault.target]
        agent = self.cluster.address(fault.target, CONTROL_HTTP_PORT)
        statuses = await send_odd_reports(worker, agent, ODD_REPORTS)
        self.records.odd_report_statuses += statuses

    async def set_worker_fault(self, fault):
        """Set `StandInWorker.fault` of a worker for the duration of the fault."""
        worker = self.cluster.workers[fault.target]
        worker.fault = fault.kind
        await asyncio.sleep(fault.duration_s)
        if worker.fault == fault.kind:
            worker.fault = ""

    async def do_unanswered(self, fault):
        """Let all workers leave a share of the orders unanswered, and carry them out late.

        The largest share of overlapping faults applies.
        """
        self.unanswered_shares.append(fault.amount)
        self.apply_unanswered_share()
        await asyncio.sleep(fault.duration_s)
        self.unanswered_shares.remove(fault.amount)
        self.apply_unanswered_share()

    def apply_unanswered_share(self):
        """Set the share of unanswered orders of all workers."""
        for worker in self.cluster.workers.values():
            worker.unanswered_share = max(self.unanswered_shares, default=0.0)

    do_fail = do_hang = do_late = do_mute = do_shed = set_worker_fault

    async def do_slow(self, fault):
        """Multiply the run time of the runs that a worker starts during the fault by a factor."""
        worker = self.cluster.workers[fault.target]
        worker.speed = 1 / fault.amount
        await asyncio.sleep(fault.duration_s)
        worker.speed = 1.0

    async def do_shrink(self, fault):
        """Divide a worker's capacity by a factor for the duration of the fault."""
        worker = self.cluster.workers[fault.target]
        usual_cpu = self.cluster.profile.worker_cpu
        worker.set_capacity(int(usual_cpu / fault.amount))
        await asyncio.sleep(fault.duration_s)
        worker.set_capacity(usual_cpu)

    async def do_leave(self, fault):
        """Drain a worker and end its lifetime as planned."""
        worker = self.cluster.workers[fault.target]
        if not worker.is_up or worker.state != "ready":
            return
        lifetime = worker.lifetime_name
        agent = self.cluster.address(fault.target, CONTROL_HTTP_PORT)
        leaving = asyncio.create_task(drain_and_restart(worker, agent, LEAVE_DRAIN_S))
        while not leaving.done():
            if worker.lifetime_name == lifetime and worker.drain_acked_at is not None:
                self.records.drains.append((lifetime, worker.drain_acked_at))
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        await leaving

    # Load

    async def do_burst(self, fault):
        """Multiply the rate of jobs; the largest factor of overlapping bursts applies."""
        self.burst_factors.append(fault.amount)
        self.callers.rate_factor = max(self.burst_factors)
        await asyncio.sleep(fault.duration_s)
        self.burst_factors.remove(fault.amount)
        self.callers.rate_factor = max(self.burst_factors, default=1.0)

    async def do_reset_callers(self, fault):
        """Reset the connections of callers to an entry, which send their jobs again."""
        self.callers.reset_connections(fault.target)

    async def do_crowd(self, fault):
        """Connect a crowd of clients to an entry for the duration of the fault.

        They hold more than the entry's machine has for its clients.
        """
        crowd = make_crowds(self.callers.profile.kinds[0].queue)[int(fault.amount)]
        address = self.cluster.address(fault.target, CALLERS_PORT)
        async with connect_crowd(crowd, address):
            await asyncio.sleep(fault.duration_s)

    async def do_impatient(self, fault):
        """Let callers send jobs to an entry, time out and send them to another one."""
        await asyncio.gather(
            *(self.callers.submit_impatiently(fault.target, fault.amount) for _ in range(IMPATIENT))
        )

    async def do_give_up(self, fault):
        """Let a share of the callers disconnect before they are answered."""
        self.callers.abandoned_share = 0.4
        await asyncio.sleep(fault.duration_s)
        self.callers.abandoned_share = 0.0

    async def do_crashing(self, fault):
        """Let a share of the jobs crash each worker that starts their first task."""
        self.callers.crashing_share = fault.amount
        await asyncio.sleep(fault.duration_s)
        self.callers.crashing_share = 0.0

    async def do_storm(self, fault):
        """Send many large configurations in quick succession."""
        await self.operators.send_storm()

    async def do_race(self, fault):
        """Send two configurations at the same time."""
        await self.operators.send_concurrently()

    async def do_evacuate(self, fault):
        """Evacuate a zone, and restore it after the duration of the fault."""
        record = EvacuationRecord(fault.target)
        self.records.evacuations.append(record)
        record.acked_at = await self.operators.set_evacuation("POST", fault.target)
        await asyncio.sleep(fault.duration_s)
        record.restore_sent_at = self.clock.now()
        record.restore_acked_at = await self.operators.set_evacuation("DELETE", fault.target)

    async def do_invalid(self, fault):
        """Send configurations that must be refused."""
        await self.operators.send_invalid()
