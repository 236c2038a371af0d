"""A fleet without a network: dispatchers and arbiters that exchange messages with a fixed delay."""

import heapq
from collections import Counter
from copy import deepcopy
from itertools import count
from random import Random

from attrs import evolve

from onyxfork.direct.admission import Refusal
from onyxfork.direct.arbiter import Arbiter
from onyxfork.direct.configuration import Queue
from onyxfork.direct.dispatcher import Dispatcher
from onyxfork.direct.requests import JobRequest, Step
from onyxfork.direct.runs import Worker
from onyxfork.direct.subsets import SubsetTable

QUEUE = Queue("checks", "h.example", "/c/", "desk", 0, 3, 1.6, 60.0, 1500.0)
CORES, TASK_CORES = 32, 5
LEASE_S, RETURN_S = 1.08, 3.0
RESEND_S = 1.3
TASKS_PER_WORKER = CORES // TASK_CORES
LINK_S, REPORT_S, TICK_S, REVIEW_S, PROGRESS_S = 0.002, 0.02, 0.02, 0.1, 0.1
RACK_SIZE = 13


class Fleet:
    """Entries and agents in several zones under an open-loop load.

    Parameters
    ----------
    entries, agents, zones : int
    use_subsets : bool
        Whether entries are connected to their subsets, or else to all agents.
    seed : int

    Attributes
    ----------
    on_time, late, refused : int
        Outcomes of jobs; failed ones count as late.
    refused_with_room : int
        Jobs refused while a fifth of all workers' capacity was free.
    outcomes : dict of str to str
        Latest outcome of each job that has ended.
    crashing : set of str
        Jobs whose first task crashes each worker that starts it.
    crash_delay_s : float
        Time from the start of such a task to the crash.
    starts : dict of str to list of float
        For each of these jobs, when its first task was started.
    down : set of str
        Agents whose worker does not answer.
    capacities : dict of str to int
        Thousandths of a core of the workers that differ from `CORES`, by agent.
    speeds : dict of str to float
        Speeds of the workers that differ from 1, by agent: a task of 100 ms takes 125 ms at 0.8.
    counts : Counter
        Outcomes of jobs (``on time``, ``late`` or ``refused``) by queue, as (queue, outcome).
    reads_progress : bool
        Whether agents read the progress of runs, every `PROGRESS_S`.
    rejected : int
        Starts that a worker has refused for lack of capacity.
    """

    def __init__(
        self,
        entries,
        agents,
        zones=4,
        use_subsets=True,
        seed=1,
        caller_timeout_ms=6e3,
        capacities=(),
        speeds=(),
        reads_progress=False,
    ):
        self.now = 0.0
        self.counts = Counter()
        self.caller_timeout_ms, self.crash_delay_s = caller_timeout_ms, 0.01
        self.events, self.sequence = [], count()
        self.rng = Random(seed)
        self.use_subsets = use_subsets
        self.on_time = self.late = self.refused = self.refused_with_room = 0
        self.agents, self.dirty = {}, set()
        self.outcomes, self.crashing, self.starts, self.down = {}, set(), {}, set()
        self.capacities, self.speeds, self.rejected = dict(capacities), dict(speeds), 0
        self.lifetimes, self.incarnations, self.submitted = count(2), count(2), {}
        self.zones = {f"a{number}": f"z{number % zones}" for number in range(agents)}
        self.labels = {
            f"a{number}": frozenset({f"r{number // RACK_SIZE}"}) for number in range(agents)
        }
        for name in self.zones:
            self.agents[name] = arbiter = Arbiter()
            labels = sorted(self.labels[name])
            cpu = self.capacity(name)
            worker = Worker(name, 1, "desk", "ready", cpu, 131072, 0, labels, 1)
            arbiter.apply_worker_report(worker, 0.0)
            arbiter.on_renewal_answered(0.0)
        self.entries = {
            f"e{number}": Dispatcher(-10.0, Random(number), f"z{number % zones}")
            for number in range(entries)
        }
        self.table = SubsetTable()
        entry_zones = {name: entry.zone for name, entry in self.entries.items()}
        self.table.update(entry_zones, self.zones, self.labels)
        self.sessions, self.due = {}, {}
        for name in self.entries:
            self.connect(name, ())
        self.at(0.0, self.report)
        self.at(0.0, self.tick)
        self.at(REVIEW_S, self.review)
        if reads_progress:
            self.at(PROGRESS_S, self.read_progress)

    def at(self, delay, action, *arguments):
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), action, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def connect(self, name, wanted_labels, incarnation="i"):
        """Connect an entry to the agents assigned to it that it is not connected to."""
        assigned = self.table.agents_for(name, wanted_labels) if self.use_subsets else self.zones
        dispatcher = self.entries[name]
        for agent in sorted(assigned):
            if (name, agent) not in self.sessions:
                session = self.agents[agent].connect(name, incarnation, object())
                self.sessions[name, agent] = session
                dispatcher.on_connected(agent, self.zones[agent])
                recent = self.agents[agent].crash_table.recent(self.now)
                dispatcher.on_crash_report(deepcopy(recent), self.now)
                dispatcher.on_status(agent, self.agents[agent].status(session, self.now), self.now)
        dispatcher.known_agent_count = len(dispatcher.workers)

    def review(self):
        for name, dispatcher in self.entries.items():
            latest = sorted(dispatcher.shortages, key=dispatcher.shortages.get, reverse=True)
            self.connect(name, latest[:4])
        self.at(REVIEW_S, self.review)

    def capacity(self, agent):
        """Return the present capacity of a worker in thousandths of a core."""
        return self.capacities.get(agent, CORES * 1000)

    # Load

    def submit(self, name, job, tasks, run_ms, rack="", queue=QUEUE, cpu=TASK_CORES * 1000):
        """Submit a job whose tasks run for `run_ms`; the caller's estimate is up to 40 % off."""
        estimate = run_ms * self.rng.uniform(0.7, 1.4)
        step = Step(count=tasks, cpu=cpu, expected_ms=estimate, rack=rack)
        request = JobRequest(job, queue, str(run_ms), [step], self.caller_timeout_ms)
        self.send(name, request, run_ms)

    def send(self, name, request, run_ms):
        """Send a job to an entry, for the first time or again."""
        job = request.job
        self.submitted[job] = name, request, run_ms
        objective_s = (QUEUE.stretch * run_ms + QUEUE.objective_ms) / 1000
        result = self.entries[name].submit(request, self.now)
        if isinstance(result, Refusal):
            self.count_refusal(request.queue)
        else:
            self.due[job] = self.now + objective_s
        self.flush(name)

    def count_refusal(self, queue):
        self.refused += 1
        self.counts[queue.name, "refused"] += 1
        used = sum(arbiter.cpu_used for arbiter in self.agents.values())
        self.refused_with_room += used < 0.8 * sum(map(self.capacity, self.agents))

    def share_on_time(self, queue):
        """Return the share of the jobs of a queue that have been answered in their objective."""
        ended = sum(self.counts[queue.name, kind] for kind in ("on time", "late", "refused"))
        return self.counts[queue.name, "on time"] / ended

    # Messages

    def flush(self, name):
        dispatcher = self.entries[name]
        for kind in ("withdrawals", "recalls", "orders"):
            pending, _ = getattr(dispatcher, kind), setattr(dispatcher, kind, {})
            for agent, items in pending.items():
                self.at(LINK_S, self.deliver, kind, name, agent, items)
        finished, dispatcher.finished_jobs = dispatcher.finished_jobs, []
        for job in finished:
            self.outcomes[job.id] = job.outcome.state
            queue = job.request.queue
            if job.outcome.state == "refused":
                self.count_refusal(queue)
            elif job.outcome.state == "completed" and self.now <= self.due[job.id]:
                self.on_time += 1
                self.counts[queue.name, "on time"] += 1
            else:
                self.late += 1
                self.counts[queue.name, "late"] += 1

    def deliver(self, kind, name, agent, items):
        arbiter, session = self.agents[agent], self.sessions[name, agent]
        handle = {"withdrawals": arbiter.withdraw, "recalls": arbiter.recall}.get(kind)
        (handle or arbiter.place)(session, items, self.now)
        self.step(agent)

    def step(self, agent):
        """Start what fits, end what is stopped, and send the events."""
        arbiter = self.agents[agent]
        arbiter.schedule(self.now)
        starts, arbiter.starts = arbiter.starts, []
        if arbiter.wake_at is not None:
            self.at(arbiter.wake_at - self.now + 0.001, self.step, agent)
        for run in starts:
            if agent in self.down:
                arbiter.on_start_reply(run, "unanswered", self.now)
                continue
            if not self.has_room(agent, run):
                self.rejected += 1
                arbiter.on_start_reply(run, "room", self.now)
                continue
            arbiter.on_start_reply(run, "started", self.now)
            self.at(self.run_s(agent, run), self.end, agent, run.order.ref)
            if run.order.job in self.crashing and not run.order.index:
                self.starts.setdefault(run.order.job, []).append(self.now)
                self.at(self.crash_delay_s, self.crash, agent)
        stops, arbiter.stops = arbiter.stops, []
        for run in stops:
            arbiter.apply_ended_runs([(run.order.ref, "stopped")], self.now)
        counts, arbiter.crash_counts = arbiter.crash_counts, []
        for session in arbiter.sessions.values():
            if counts and session.connection is not None:
                self.at(LINK_S, self.on_crash_report, session.entry, counts)
            if session.events:
                events, session.events = session.events, []
                self.at(LINK_S, self.on_events, session.entry, agent, events)
        self.dirty.add(agent)

    def run_s(self, agent, run):
        """Return how long a run takes on a worker at its present speed."""
        return float(run.order.spec) / 1000 / self.speeds.get(agent, 1.0)

    def read_progress(self):
        """Tell every arbiter the progress of its runs, as a list of the worker does."""
        for agent, arbiter in self.agents.items():
            listed = {
                run.order.ref: int(
                    min(99.0, 100 * (self.now - run.started_at) / self.run_s(agent, run))
                )
                for run in arbiter.runs.values()
                if run.has_started
            }
            arbiter.apply_running(listed, self.now, self.now)
            if agent not in self.down:
                self.step(agent)
        self.at(PROGRESS_S, self.read_progress)

    def has_room(self, agent, run):
        """Return whether a run fits the present capacity of its worker."""
        running = [other for other in self.agents[agent].runs.values() if other.has_started]
        used = sum(other.order.cpu for other in running)
        return used + run.order.cpu <= self.capacity(agent)

    def shrink(self, agent, cpu, report_delay_s):
        """Change a worker's capacity, which it reports later."""
        self.capacities[agent] = cpu
        self.at(report_delay_s, self.report_capacity, agent)

    def report_capacity(self, agent):
        current = self.agents[agent].worker
        worker = evolve(current, cpu=self.capacities[agent], sequence=current.sequence + 1)
        self.agents[agent].apply_worker_report(worker, self.now)
        self.step(agent)

    def end(self, agent, ref):
        if agent in self.down:
            return
        self.agents[agent].apply_ended_runs([(ref, "done")], self.now)
        self.step(agent)

    # Crashes

    def crash(self, agent):
        """Crash a worker; it returns as a new lifetime after `RETURN_S`."""
        if agent in self.down:
            return
        self.down.add(agent)
        self.agents[agent].on_renewal_missed(self.now, self.now)
        self.at(0.05, self.set_unresponsive, agent)
        self.at(LEASE_S, self.expire_lease, agent)
        self.at(RETURN_S, self.return_worker, agent)

    def set_unresponsive(self, agent):
        self.agents[agent].set_responsive(False, self.now)
        self.step(agent)

    def expire_lease(self, agent):
        self.agents[agent].on_lease_expired(self.now)
        self.step(agent)

    def return_worker(self, agent):
        arbiter = self.agents[agent]
        self.down.discard(agent)
        lifetime = next(self.lifetimes)
        labels = sorted(self.labels[agent])
        worker = Worker(
            f"{agent}-{lifetime}", lifetime, "desk", "ready", self.capacity(agent), 131072, 0
        )
        worker.labels, worker.sequence = labels, 1
        arbiter.apply_worker_report(worker, self.now)
        arbiter.on_renewal_answered(self.now)
        self.step(agent)

    def restart_entry(self, name, resend_to):
        """Replace an entry by a new process; its callers send their jobs again to another one."""
        former = self.entries[name]
        self.entries[name] = Dispatcher(self.now - 10.0, Random(name), former.zone)
        for agent in [agent for entry, agent in self.sessions if entry == name]:
            session = self.sessions.pop((name, agent))
            self.agents[agent].disconnect(session, session.connection, self.now)
        self.connect(name, (), f"i{next(self.incarnations)}")
        for job in former.jobs.values():
            if job.outcome is None:
                _, request, run_ms = self.submitted[job.id]
                self.at(RESEND_S, self.send, resend_to, request, run_ms)

    def on_crash_report(self, name, counts):
        self.entries[name].on_crash_report(deepcopy(counts), self.now)
        self.flush(name)

    def on_events(self, name, agent, events):
        self.entries[name].on_events(agent, events, self.now)
        self.flush(name)

    def report(self):
        for agent in sorted(self.dirty):
            for session in self.agents[agent].sessions.values():
                status = self.agents[agent].status(session, self.now)
                self.at(LINK_S, self.on_status, session.entry, agent, status)
        self.dirty.clear()
        self.at(REPORT_S, self.report)

    def on_status(self, name, agent, status):
        self.entries[name].on_status(agent, status, self.now)
        self.flush(name)

    def tick(self):
        for arbiter in self.agents.values():
            arbiter.tick(self.now)
        for name, dispatcher in self.entries.items():
            dispatcher.tick(self.now)
            self.flush(name)
        self.at(TICK_S, self.tick)
