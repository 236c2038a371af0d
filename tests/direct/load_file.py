"""A fleet without network under a load file: queues, waves, bursts and faults of workers.

Beyond :mod:`fleet`, runs follow changes of their worker's speed while they run, an entry gets a
worker's report together with the end of its run, and the worth of answers is counted.
"""

import math
from collections import Counter, defaultdict
from random import Random
from statistics import fmean

from attrs import define, evolve
from fleet import LINK_S, QUEUE, Fleet

from onyxfork.direct.requests import JobRequest, Step

WINDOW_S = 2.0
WORST_WINDOWS = 2
LATE_FACTOR, LATE_WORTH = 3.0, 0.2
ERROR_RUN_S = 0.02


@define(eq=False)
class LoadedJob:
    """A job that the load submits, and what its answer is worth.

    Parameters
    ----------
    queue : Queue
    submitted_at : float
        Seconds.
    objective_s : float
        By the true run time of its longest task.
    worth : float
        Of an answer within the objective.
    """

    queue: object
    submitted_at: float
    objective_s: float
    worth: float


class LoadFleet(Fleet):
    """A fleet whose workers fail, stall, slow down and leave, and which counts worth.

    Attributes
    ----------
    loaded : dict of str to LoadedJob
        Jobs by identifier.
    earned, owed : Counter
        Worth by two-second window and by queue, as ("window", number) or ("queue", name).
    run_ends : dict
        For each running run, the work left in seconds at speed 1, when that was so, and the number
        of the event that ends it.
    failing : set of str
        Agents whose worker fails all runs.
    """

    def __init__(self, *args, **kwargs):
        self.loaded, self.earned, self.owed = {}, Counter(), Counter()
        self.run_ends, self.failing = defaultdict(dict), set()
        self.orders_sent = self.recalled = self.untried = 0
        self.busy_millicore_s = 0.0
        super().__init__(*args, **kwargs)

    # Jobs

    def submit_loaded(self, name, job, run_times, cpu, queue, worth):
        """Submit a job of one step with a task for each true run time (milliseconds)."""
        longest = max(run_times)
        estimate = longest * self.rng.uniform(0.6, 1.4)
        step = Step(count=len(run_times), cpu=cpu, expected_ms=estimate)
        request = JobRequest(job, queue, ",".join(map(str, run_times)), [step], 6e3)
        objective_s = (queue.stretch * longest + queue.objective_ms) / 1000
        loaded = self.loaded[job] = LoadedJob(queue, self.now, objective_s, worth)
        self.add_worth(self.owed, loaded, worth)
        self.send(name, request, longest)

    def add_worth(self, counter, loaded, worth):
        counter["window", loaded.submitted_at // WINDOW_S] += worth
        counter["queue", loaded.queue.name] += worth
        counter["all"] += worth

    def flush(self, name):
        dispatcher = self.entries[name]
        self.orders_sent += sum(map(len, dispatcher.orders.values()))
        self.recalled += sum(map(len, dispatcher.recalls.values()))
        for job in dispatcher.finished_jobs:
            loaded = self.loaded.get(job.id)
            if loaded is None:
                continue
            elapsed_s = self.now - loaded.submitted_at
            if job.outcome.state == "completed" and elapsed_s <= LATE_FACTOR * loaded.objective_s:
                on_time = elapsed_s <= loaded.objective_s
                self.add_worth(self.earned, loaded, loaded.worth * (1 if on_time else LATE_WORTH))
            elif job.outcome.state == "refused":
                self.untried += 1
        super().flush(name)

    # Runs

    def run_s(self, agent, run):
        run_times = str(run.order.spec).split(",")
        return float(run_times[run.order.index % len(run_times)]) / 1000

    def step(self, agent):
        arbiter = self.agents[agent]
        waiting = {id(run) for run in arbiter.runs.values() if run.started_at is None}
        ended = {
            session.entry
            for session in arbiter.sessions.values()
            if any(event.kind != "started" for event in session.events)
        }
        super().step(agent)
        for run in arbiter.runs.values():
            if id(run) in waiting and run.started_at == self.now:
                self.run_ends[agent][run.order.ref] = [self.run_s(agent, run), self.now, 0]
                self.plan_end(agent, run.order.ref)
        for session in arbiter.sessions.values():
            if session.entry in ended:
                status = arbiter.status(session, self.now)
                self.at(LINK_S, self.on_status, session.entry, agent, status)

    def end(self, agent, ref):
        """Ignore the end that the fleet plans at constant speed; `end_planned` replaces it."""

    def plan_end(self, agent, ref):
        entry = self.run_ends[agent][ref]
        entry[2] += 1
        if agent in self.failing:
            self.at(ERROR_RUN_S, self.end_planned, agent, ref, entry[2], "failed")
        elif speed := self.speeds.get(agent, 1.0):
            self.at(entry[0] / speed, self.end_planned, agent, ref, entry[2], "done")

    def end_planned(self, agent, ref, number, kind):
        entry = self.run_ends[agent].get(ref)
        if entry is None or entry[2] != number or agent in self.down:
            return
        del self.run_ends[agent][ref]
        self.agents[agent].apply_ended_runs([(ref, kind)], self.now)
        self.step(agent)

    def change_speed(self, agent, speed):
        """Change a worker's speed, also for what runs there; 0 stops it."""
        former = self.speeds.get(agent, 1.0)
        self.speeds[agent] = speed
        for ref, entry in self.run_ends[agent].items():
            entry[0] -= (self.now - entry[1]) * former
            entry[1] = self.now
            self.plan_end(agent, ref)

    def read_progress(self):
        for agent, arbiter in self.agents.items():
            listed = {}
            for run in arbiter.runs.values():
                entry = self.run_ends[agent].get(run.order.ref)
                if entry is not None and run.has_started:
                    speed = self.speeds.get(agent, 1.0)
                    left = entry[0] - (self.now - entry[1]) * speed
                    listed[run.order.ref] = int(100 * (1 - left / self.run_s(agent, run)))
                    listed[run.order.ref] = min(99, max(0, listed[run.order.ref]))
            if agent not in self.down:
                arbiter.apply_running(listed, self.now, self.now)
                self.step(agent)
        self.at(0.1, self.read_progress)

    def fail_runs(self, agent, fails):
        """Let a worker fail all that it runs, or stop doing so."""
        (self.failing.add if fails else self.failing.discard)(agent)
        for ref in self.run_ends[agent]:
            self.plan_end(agent, ref)

    def drain(self, agent):
        """Let a worker announce that it leaves."""
        worker = self.agents[agent].worker
        if worker is not None:
            draining = evolve(worker, state="draining", sequence=worker.sequence + 1)
            self.agents[agent].apply_worker_report(draining, self.now)
            self.step(agent)

    def return_worker(self, agent):
        self.run_ends[agent].clear()
        super().return_worker(agent)

    def measure(self):
        """Sum up the cores that run, every tenth of a second."""
        self.busy_millicore_s += 0.1 * sum(arbiter.cpu_used for arbiter in self.agents.values())
        self.at(0.1, self.measure)


def draw_jobs(load, seed):
    """Return the jobs of a load file: (arrival in s, zone number, queue number)."""
    rng = Random(seed)
    jobs = []
    length, bursts = load["length_s"], load.get("bursts", [])
    for number, queue in enumerate(load["queues"]):
        for zone, share in enumerate(load["zone_shares"]):
            phase = load["phases"][zone]
            top = queue["jobs_per_s"] * load["load"] * share * (1 + load["swing"])
            top *= max([1.0, *(burst["times"] for burst in bursts)])
            at = rng.expovariate(top)
            while at < length:
                wave = 1 + load["swing"] * math.sin(2 * math.pi * (at / load["period_s"] + phase))
                rate = queue["jobs_per_s"] * load["load"] * share * wave
                for burst in bursts:
                    applies = burst.get("queue", queue["name"]) == queue["name"]
                    if applies and burst["from_s"] <= at < burst["from_s"] + burst["for_s"]:
                        rate *= burst["times"]
                if rng.random() < rate / top:
                    jobs.append((at, zone, number))
                at += rng.expovariate(top)
    return sorted(jobs), rng


def spread(rng, mean, sigma, most):
    """Return a log-normal draw with a mean, at most `most` times it."""
    return min(most * mean, mean * rng.lognormvariate(-sigma * sigma / 2, sigma))


def draw_job(queue, rng):
    """Return the run times (milliseconds), thousandths of a core and worth of a job of a queue."""
    count = max(1, round(spread(rng, queue["tasks"], 0.4, 4)))
    longest = spread(rng, queue["run_ms"], 0.4, 4)
    run_times = [longest] + [longest * rng.uniform(0.85, 1.0) for _ in range(count - 1)]
    run_times = [round(run_ms, 1) for run_ms in run_times]
    cores = min(queue["most_cores"], max(0.1, rng.gauss(queue["cores"], 0.2 * queue["cores"])))
    size = sum(run_times) * cores / (queue["tasks"] * queue["run_ms"] * queue["cores"])
    return run_times, int(1000 * cores), queue["worth"] * min(4.0, 0.3 + 0.7 * size)


def plan_faults(fleet, load, rng):
    """Schedule the faults of a load on workers that are drawn, each on another one."""
    agents = list(fleet.agents)
    rng.shuffle(agents)
    for fault in load.get("faults", []):
        kind, start, lasts = fault["kind"], fault["at_s"], fault.get("for_s", 0.0)
        for agent in [agents.pop() for _ in range(fault.get("workers", 1))]:
            speed = fleet.speeds.get(agent, 1.0)
            if kind in ("slow", "hang"):
                slowed = speed / fault["times"] if kind == "slow" else 0.0
                fleet.at(start, fleet.change_speed, agent, slowed)
                fleet.at(start + lasts, fleet.change_speed, agent, speed)
            elif kind == "errors":
                fleet.at(start, fleet.fail_runs, agent, True)
                fleet.at(start + lasts, fleet.fail_runs, agent, False)
            elif kind == "crash":
                fleet.at(start, fleet.crash, agent)
            elif kind == "drain":
                fleet.at(start, fleet.drain, agent)
            else:
                raise ValueError(f"unknown kind of fault {kind!r}")


def play_load(load, seed):
    """Play a load file's content and return its figures by name."""
    sizes, speeds = load["sizes"], load["speeds"]
    number = load["workers"]
    fleet = LoadFleet(
        load["entries"],
        number,
        zones=load["entries"],
        use_subsets=False,
        seed=seed,
        capacities={
            f"a{i}": round(load["cores"] * 1000 * sizes[i % len(sizes)]) for i in range(number)
        },
        speeds={f"a{i}": speeds[i % len(speeds)] for i in range(number)},
        reads_progress=True,
    )
    jobs, rng = draw_jobs(load, seed)
    queues = [
        evolve(QUEUE, name=queue["name"], priority=queue["priority"]) for queue in load["queues"]
    ]
    for position, (at, zone, index) in enumerate(jobs):
        run_times, cpu, worth = draw_job(load["queues"][index], rng)
        arguments = f"e{zone}", f"{position:016x}", run_times, cpu, queues[index], worth
        fleet.at(at, fleet.submit_loaded, *arguments)
    plan_faults(fleet, load, Random(seed + 1000))
    fleet.at(0.0, fleet.measure)
    fleet.run(load["length_s"] + 5.0)
    return figures(fleet, load)


def figures(fleet, load):
    """Return what a play is worth, by name."""
    earned, owed = fleet.earned, fleet.owed
    windows = sorted(
        earned[key] / owed[key] for key in owed if key[0] == "window" and owed[key] > 0
    )
    shares = {
        queue["name"]: earned["queue", queue["name"]] / owed["queue", queue["name"]]
        for queue in load["queues"]
    }
    jobs = len(fleet.loaded)
    whole, worst = earned["all"] / owed["all"], fmean(windows[:WORST_WINDOWS])
    return {
        "worth": 0.7 * whole + 0.15 * worst + 0.15 * min(shares.values()),
        "served": whole,
        "jobs on time": sum(fleet.counts[name, "on time"] for name in shares) / jobs,
        "worst windows": worst,
        **shares,
        "refused": fleet.refused / jobs,
        "untried": fleet.untried / jobs,
        "recalls/order": fleet.recalled / fleet.orders_sent,
        "with room": fleet.refused_with_room / jobs,
        "cores busy": fleet.busy_millicore_s / 1000 / load["length_s"],
    }
