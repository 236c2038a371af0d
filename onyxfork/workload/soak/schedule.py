"""Schedule of the faults of a soak, drawn from a seed and reproducible."""

from random import Random

from attrs import define, field

__all__ = ["Fault", "SoakSize", "draw_schedule", "RECOVERY_S", "UNPLANNED_KINDS", "zone_of"]

WARM_UP_S = 2.0
"""Time from the start of the load to the first fault."""

RECOVERY_S = 15.0
"""Time from the end of the last fault to the final load. The platform allows 12 s until requests
are served again, and this adds a margin."""

MEAN_FAULT_INTERVAL_S = 1.2
"""Mean time between the starts of two faults, below the mean duration of a fault, so that faults
overlap."""

MIN_FAULT_S, MAX_FAULT_S = 0.5, 4.0
"""Duration of a fault. Connections are closed after 0.7 s of silence and leases expire after 1 s,
so the range covers faults that end before these timeouts and after them."""

REPEATED_SHARE = 0.3
"""Share of faults that are repeated."""

MAX_SHORT_PAUSE_S = 0.95
"""Upper bound on a pause of an agent that is shorter than the lease of its worker."""

MAX_REPEATS = 3
MIN_REPEAT_INTERVAL_S, MAX_REPEAT_INTERVAL_S = 0.2, 2.0
"""Time between the starts of a fault and its repetition, so that the repetition begins during the
fault or soon after it."""

KILL_ALL_SHARE = 0.25
"""Share of schedules that end with a kill of every process."""

POWER_LOSS_SHARE = 0.3
"""Share of the other schedules that end with lost disks and the kill of all other processes."""

MIN_POWER_LOSS_S, MAX_POWER_LOSS_S = 0.2, 2.0
"""Time until the processes are back after it."""

MAX_ORDER_S = 1.0
"""Time between the return of the instances with lost disks and that of all others."""

ALL_LINKS_SHARE = 0.3
"""Share of link faults that affect all links of one process in one direction."""

MIN_CLOCK_STEP_MS, MAX_CLOCK_STEP_MS = 500, 8000
"""Amount by which the time of day is stepped, forward or back."""

MIN_LINK_DELAY_S, MAX_LINK_DELAY_S = 0.02, 0.8
"""Delay of a slow link, from ten times the usual latency to more than the silence after which a
connection is closed."""

DISK_LOSS_MARGIN_S = 7.0
"""Time before and after the loss of a control instance's disk in which no other control instance is
affected: at most one may be lost at once, and it counts as lost for 4 s after its restart."""

# Kinds of fault by what they affect; NODE_KINDS are those of entries and agents. The method
# `do_KIND` of `FaultInjector` describes each.
CONTROL_KINDS = ("kill", "pause", "term", "lose_disk", "fill_disk", "tear_log", "step_clock")
NODE_KINDS = ("kill", "pause", "term", "hup", "step_clock")
LINK_KINDS = ("delay", "reset", "cut", "lose", "silence")
WORKER_KINDS = ("crash", "reborn", "fail", "hang", "late", "mute", "shed", "slow", "leave")
LOAD_KINDS = ("burst", "give_up", "storm", "race", "invalid")
LATER_KINDS = (
    "crashing",
    "shrink",
    "evacuate",
    "cut_reborn",
    "odd_reports",
    "reset_callers",
    "unanswered",
    "crowd",
    "impatient",
)
"""Kinds that are drawn from random sequences of their own, so that the other faults of a seed stay
the same."""

CLOSING_KINDS = ("kill_all", "lose_power")
"""Kinds that end a schedule; the second is drawn from a random sequence of its own, too."""

CRASHING_PERIOD_SHARE = 0.5
"""Probability that a schedule has a period of jobs that crash workers."""

MIN_CRASHING_SHARE, MAX_CRASHING_SHARE = 0.02, 0.1
"""Share of such jobs during the period."""

MEAN_SHRINK_INTERVAL_S = 4.0
MIN_SHRINK_FACTOR, MAX_SHRINK_FACTOR = 1.5, 8.0
"""Mean time between two shrinks of a worker's capacity, and factor by which it shrinks."""

MEAN_ODD_REPORTS_INTERVAL_S = 4.0
"""Mean time between two series of odd reports to an agent."""

MEAN_CUT_INTERVAL_S = 1.0
MIN_CUT_S, MAX_CUT_S = 0.1, 0.5
"""Mean time between two short cuts between a worker and its agent, and their duration, below the
silence after which the agent sends no more orders."""

MEAN_OUTAGE_INTERVAL_S = 3.0
"""Mean time between two outages of several processes."""

MEAN_SILENCE_INTERVAL_S = 4.0
"""Mean time between two pauses of an entry at which its callers' connections are reset."""

MEAN_UNANSWERED_INTERVAL_S = 5.0
UNANSWERED_SHARES = 0.05, 0.5, 0.8
"""Mean time between two periods in which workers leave orders unanswered, and their shares: that of
the users' deployments, the platform's default, and one at which long series of orders are lost."""

UNANSWERED_S = 4.0, 7.0
"""Bounds on the duration of such a period: several times the delay after which callers return."""

MIN_RESETS, MAX_RESETS = 2, 5
"""Resets of callers' connections in such a period."""

SILENCE_S = 0.7
"""Silence of an entry after which an agent closes the connection."""

RESENT_AFTER_S = 1.3
"""When callers whose connections broke send their jobs again, to other entries."""

MEAN_CROWD_INTERVAL_S = 6.0
CROWD_KINDS = 5
"""Mean time between two crowds of clients at an entry, and the number of different crowds."""

MEAN_IMPATIENCE_INTERVAL_S = 6.0
MIN_IMPATIENCE_S = 2.0
"""Mean time between two pauses of an entry and of agents whose callers time out meanwhile, and the
shortest such pause: the callers have sent their jobs to other entries before it ends."""

RETURN_MARGIN_S = 0.1, 0.6
"""Bounds on the time from the start of the jobs elsewhere to the end of the pause."""

WAKE_SPREAD_S = 0.05
"""Upper bound on the time between the ends of the pauses of the entry and of an agent."""

EVACUATION_SHARE = 0.5
"""Probability that a schedule has evacuations of zones."""

MAX_EVACUATIONS = 3
MIN_EVACUATION_S, MAX_EVACUATION_S = 6.5, 10.0
"""Duration of an evacuation: longer than the 5 s after which no task may start in the zone, and
short enough to end during a soak."""

ZONE_COUNT = 3

PLANNED_KINDS = (
    "evacuate",
    "term",
    "hup",
    "storm",
    "race",
    "invalid",
    "leave",
    "step_clock",
    "burst",
    "give_up",
    "odd_reports",
)
UNPLANNED_KINDS = tuple(
    kind
    for kind in (*CONTROL_KINDS, *LINK_KINDS, *WORKER_KINDS, *LATER_KINDS, *CLOSING_KINDS)
    if kind not in PLANNED_KINDS
)

# Groups of faults: what they affect, their kinds, and the relative frequency of the group. Links
# and workers fail most often.
GROUP_WEIGHTS = (
    ("control", CONTROL_KINDS, 3.0),
    ("entry", NODE_KINDS, 3.0),
    ("agent", NODE_KINDS, 3.0),
    ("link", LINK_KINDS, 4.0),
    ("worker", WORKER_KINDS, 4.0),
    ("load", LOAD_KINDS, 2.0),
)


@define(frozen=True)
class SoakSize:
    """Number of processes of each role, and of availability zones."""

    controls: int = 3
    entries: int = 3
    agents: int = 5
    zone_count: int = ZONE_COUNT

    def names(self, role):
        """Return the names of the processes of a role."""
        return [f"{role}-{number + 1}" for number in range(getattr(self, self.count_fields[role]))]

    count_fields = {"control": "controls", "entry": "entries", "agent": "agents"}

    @property
    def tolerated_losses(self):
        """Number of control instances of which the loss is tolerated."""
        return (self.controls - 1) // 2

    @property
    def zones(self):
        """Availability zones that have agents."""
        return sorted({zone_of(name, self.zone_count) for name in self.names("agent")})


def zone_of(name, zone_count=ZONE_COUNT):
    """Return the availability zone of a process."""
    return f"zone-{int(name.rpartition('-')[2]) % zone_count + 1}"


@define
class Fault:
    """One fault.

    Parameters
    ----------
    at_s, duration_s : float
        Start, in seconds from the start of the load, and duration.
    kind : str
    target : str
        A process; for links, the source of the affected direction; for ``evacuate``, a zone; for
        ``lose_power``, a control instance that loses its disk.
    other : str
        For links, the destination of the affected direction; for ``lose_power``, the second control
        instance that loses its disk, if there is one.
    amount : float
        Clock step in milliseconds (``step_clock``), delay in seconds (``delay``), or factor of run
        times (``slow``) or of the rate of jobs (``burst``), divisor of the capacity (``shrink``),
        or share of jobs (``crashing``) or of orders (``unanswered``), number of the ``crowd``,
        timeout of callers in seconds (``impatient``), or seconds by which the instances with lost
        disks return later than all others (``lose_power``); other kinds do not use it.
    """

    at_s: float
    kind: str
    target: str = ""
    other: str = ""
    duration_s: float = 0.0
    amount: float = 0.0

    @property
    def ends_at_s(self):
        """Time at which the fault ends."""
        return self.at_s + self.duration_s

    def __str__(self):
        names = " -> ".join(name for name in (self.target, self.other) if name)
        return (
            f"{self.at_s:.1f} s {self.kind} {names} for {self.duration_s:.1f} s ({self.amount:g})"
        )


@define
class ScheduleDraw:
    """Random numbers, size and faults so far of a schedule that is being drawn."""

    rng: Random
    size: SoakSize
    faults: list = field(factory=list)

    def draw_fault(self, at_s):
        """Draw a fault that starts at `at_s`; return None if `is_allowed` rejects it."""
        group = self.rng.choices(GROUP_WEIGHTS, [weight for _, _, weight in GROUP_WEIGHTS])[0]
        role, kinds, _ = group
        kind = self.rng.choice(kinds)
        fault = Fault(at_s, kind, duration_s=self.rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
        if role in ("control", "entry", "agent"):
            fault.target = self.rng.choice(self.size.names(role))
            fault.amount = self.rng.choice((-1, 1)) * self.rng.uniform(
                MIN_CLOCK_STEP_MS, MAX_CLOCK_STEP_MS
            )
        elif role == "link":
            fault.target, fault.other = self.draw_link()
            fault.amount = self.rng.uniform(MIN_LINK_DELAY_S, MAX_LINK_DELAY_S)
        elif role == "worker":
            fault.target = self.rng.choice(self.size.names("agent"))
            fault.amount = self.rng.uniform(2.0, 8.0)
        elif kind == "burst":
            fault.amount = self.rng.uniform(1.5, 3.0)
        return fault if self.is_allowed(fault) else None

    def draw_link(self):
        """Draw the source and the destination of a link fault; one of them may be ``all``."""
        nodes = [name for role in SoakSize.count_fields for name in self.size.names(role)]
        source = self.rng.choice(nodes)
        if self.rng.random() < ALL_LINKS_SHARE:
            return (source, "all") if self.rng.random() < 0.5 else ("all", source)
        return source, self.rng.choice([name for name in nodes if name != source])

    def is_allowed(self, fault):
        """Return False if a control instance would be affected too close to the loss of a disk."""
        if not touches_control(fault):
            return True
        return not any(
            touches_control(other)
            and "lose_disk" in (fault.kind, other.kind)
            and fault.at_s < other.ends_at_s + DISK_LOSS_MARGIN_S
            and other.at_s < fault.ends_at_s + DISK_LOSS_MARGIN_S
            for other in self.faults
        )


def touches_control(fault):
    """Return whether a fault may put a control instance out of reach, by its target or its link."""
    names = (fault.target, fault.other)
    return fault.kind in CLOSING_KINDS or any(
        name == "all" or name.startswith("control") for name in names
    )


def draw_schedule(seed, seconds, size):
    """Draw the faults of a soak; the same arguments give the same faults.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration in which faults start, from the start of the load.
    size : SoakSize

    Returns
    -------
    list of Fault
        In order of their start.
    """
    draw = ScheduleDraw(Random(seed), size)
    at_s = WARM_UP_S
    while at_s < seconds:
        fault = draw.draw_fault(at_s)
        if fault is not None:
            draw.faults.append(fault)
            if draw.rng.random() < REPEATED_SHARE:
                add_repeats(draw, fault)
        at_s += draw.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    kill_all = Fault(seconds, "kill_all", amount=0.0, duration_s=1.0)
    if draw.rng.random() < KILL_ALL_SHARE and draw.is_allowed(kill_all):
        draw.faults.append(kill_all)
    faults = [*draw.faults, *draw_later_faults(Random(f"{seed} later"), seconds, size)]
    faults += draw_evacuations(Random(f"{seed} evacuations"), seconds, size)
    faults += draw_cuts(Random(f"{seed} cuts"), seconds, size)
    faults += draw_outages(Random(f"{seed} outages"), seconds, size)
    faults += draw_silences(Random(f"{seed} silences"), seconds, size)
    faults += draw_unanswered(Random(f"{seed} unanswered"), seconds, size)
    faults += draw_crowds(Random(f"{seed} crowds"), seconds, size)
    faults += draw_impatience(Random(f"{seed} impatience"), seconds, size)
    if kill_all not in faults:
        faults += draw_power_loss(Random(f"{seed} power"), seconds, size, draw.faults)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_power_loss(rng, seconds, size, faults):
    """Draw the loss of power of all processes, as many disks of control being lost as tolerated.

    It begins once every control instance has been unaffected for `DISK_LOSS_MARGIN_S`.
    """
    if rng.random() >= POWER_LOSS_SHARE:
        return []
    affected_until_s = max(
        (fault.ends_at_s for fault in faults if touches_control(fault)), default=0
    )
    return [make_power_loss(rng, max(seconds, affected_until_s + DISK_LOSS_MARGIN_S), size)]


def make_power_loss(rng, at_s, size):
    """Return a ``lose_power`` fault with random instances, duration and order of return."""
    lost = rng.sample(size.names("control"), size.tolerated_losses)
    return Fault(
        at_s,
        "lose_power",
        *lost[:2],
        duration_s=rng.uniform(MIN_POWER_LOSS_S, MAX_POWER_LOSS_S),
        amount=rng.uniform(-MAX_ORDER_S, MAX_ORDER_S),
    )


def draw_later_faults(rng, seconds, size):
    """Draw periods of crashing jobs and shrinks of workers."""
    faults = []
    if rng.random() < CRASHING_PERIOD_SHARE:
        at_s = rng.uniform(WARM_UP_S, seconds)
        share = rng.uniform(MIN_CRASHING_SHARE, MAX_CRASHING_SHARE)
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        faults.append(Fault(at_s, "crashing", duration_s=duration_s, amount=share))
    at_s = WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_SHRINK_INTERVAL_S)) < seconds:
        fault = Fault(at_s, "shrink", rng.choice(size.names("agent")))
        fault.duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        fault.amount = rng.uniform(MIN_SHRINK_FACTOR, MAX_SHRINK_FACTOR)
        faults.append(fault)
    return faults


def draw_cuts(rng, seconds, size):
    """Draw short cuts behind which a worker crashes and returns, and reports of another writer."""
    faults = []
    at_s = WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_CUT_INTERVAL_S)) < seconds:
        fault = Fault(at_s, "cut_reborn", rng.choice(size.names("agent")))
        fault.duration_s = rng.uniform(MIN_CUT_S, MAX_CUT_S)
        faults.append(fault)
    at_s = WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_ODD_REPORTS_INTERVAL_S)) < seconds:
        faults.append(Fault(at_s, "odd_reports", rng.choice(size.names("agent"))))
    return faults


def draw_outages(rng, seconds, size):
    """Draw outages of several processes, among them an entry whose callers send again."""
    faults = []
    at_s = WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_OUTAGE_INTERVAL_S)) < seconds:
        faults += rng.choice((draw_entry_outage, draw_agents_outage, draw_return))(rng, at_s, size)
    return faults


def draw_entry_outage(rng, at_s, size):
    """Draw the kill, the pause or the isolation of an entry, and trouble when its jobs return."""
    entry, agents = rng.choice(size.names("entry")), size.names("agent")
    kind = rng.choice(("kill", "pause", "lose", "delay"))
    links = rng.sample(agents, max(1, len(agents) // 2))
    duration_s, returned_at_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S), at_s + RESENT_AFTER_S
    if kind in ("kill", "pause"):
        faults = [Fault(at_s, kind, entry, duration_s=duration_s)]
    else:
        delay_s = rng.uniform(MIN_LINK_DELAY_S, MAX_LINK_DELAY_S)
        faults = [Fault(at_s, kind, entry, agent, duration_s, delay_s) for agent in links]
    later = rng.choice(("kill", "pause", "late", "reborn", "cut_reborn", "mute"))
    for agent in rng.sample(agents, rng.randint(0, 2)):
        faults.append(Fault(rng.uniform(at_s, returned_at_s), later, agent))
        faults[-1].duration_s = rng.uniform(MIN_FAULT_S, RESENT_AFTER_S)
    return faults


def draw_agents_outage(rng, at_s, size):
    """Draw the kill or the pause of several agents at once, at times with an entry."""
    agents = size.names("agent")
    names = rng.sample(agents, rng.randint(2, max(2, len(agents) // 3)))
    if rng.random() < 0.5:
        names.append(rng.choice(size.names("entry")))
    kind, duration_s = rng.choice(("kill", "pause")), rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return [Fault(at_s, kind, name, duration_s=duration_s) for name in names]


def draw_return(rng, at_s, size):
    """Draw a worker that leaves or crashes and returns while its agent is killed or paused."""
    agent, duration_s = rng.choice(size.names("agent")), rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    kind = rng.choice(("leave", "crash", "reborn"))
    agent_at_s = rng.uniform(at_s - MIN_FAULT_S, at_s + 3.0)
    return [
        Fault(at_s, kind, agent, duration_s=duration_s),
        Fault(agent_at_s, rng.choice(("kill", "pause")), agent, duration_s=duration_s),
    ]


def draw_silences(rng, seconds, size):
    """Draw pauses of entries whose callers send again, and pauses of agents that notice them.

    The pauses of the agents are shorter than the lease of a worker, whose runs continue.
    """
    faults, agents = [], size.names("agent")
    at_s = WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_SILENCE_INTERVAL_S)) < seconds:
        entry = rng.choice(size.names("entry"))
        faults.append(Fault(at_s, "pause", entry, duration_s=rng.uniform(2.0, MAX_FAULT_S)))
        faults.append(Fault(at_s, "reset_callers", entry))
        for agent in rng.sample(agents, max(1, len(agents) // 2)):
            faults.append(Fault(at_s + rng.uniform(0.0, SILENCE_S), "pause", agent))
            faults[-1].duration_s = rng.uniform(MIN_FAULT_S, MAX_SHORT_PAUSE_S)
    return faults


def draw_unanswered(rng, seconds, size):
    """Draw periods in which workers leave orders unanswered and callers' connections are reset."""
    faults, at_s = [], WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_UNANSWERED_INTERVAL_S)) < seconds:
        fault = Fault(at_s, "unanswered", duration_s=rng.uniform(*UNANSWERED_S))
        fault.amount = rng.choice(UNANSWERED_SHARES)
        faults.append(fault)
        for _ in range(rng.randint(MIN_RESETS, MAX_RESETS)):
            reset_at_s = rng.uniform(at_s, fault.ends_at_s)
            faults.append(Fault(reset_at_s, "reset_callers", rng.choice(size.names("entry"))))
    return faults


def draw_crowds(rng, seconds, size):
    """Draw crowds of clients at entries; the amount of such a fault is the kind of the crowd."""
    faults, at_s = [], WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_CROWD_INTERVAL_S)) < seconds:
        fault = Fault(at_s, "crowd", rng.choice(size.names("entry")))
        fault.duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        fault.amount = rng.randrange(CROWD_KINDS)
        faults.append(fault)
    return faults


def draw_impatience(rng, seconds, size):
    """Draw pauses of entries and agents, and callers who time out and send again before the end.

    The agents that are paused keep their connections to the entry, so it can send them orders as
    soon as it wakes.
    """
    faults, at_s = [], WARM_UP_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_IMPATIENCE_INTERVAL_S)) < seconds:
        entry = rng.choice(size.names("entry"))
        agents = rng.sample(size.names("agent"), rng.randint(1, max(1, size.agents // 3)))
        faults += make_impatience(rng, at_s, entry, agents)
    return faults


def make_impatience(rng, at_s, entry, agents):
    """Return the faults of one pause of an entry and agents, see `draw_impatience`."""
    duration_s = rng.uniform(MIN_IMPATIENCE_S, MAX_FAULT_S)
    pauses = [Fault(at_s, "pause", entry, duration_s=duration_s)]
    for agent in agents:
        agent_s = duration_s + rng.uniform(-WAKE_SPREAD_S, WAKE_SPREAD_S)
        pauses.append(Fault(at_s, "pause", agent, duration_s=agent_s))
    timeout_s = duration_s - RESENT_AFTER_S - rng.uniform(*RETURN_MARGIN_S)
    return [*pauses, Fault(at_s, "impatient", entry, duration_s=duration_s, amount=timeout_s)]


def draw_evacuations(rng, seconds, size):
    """Draw evacuations of zones, which may overlap; each zone is evacuated at most once."""
    if rng.random() >= EVACUATION_SHARE:
        return []
    zones = rng.sample(size.zones, rng.randint(1, min(MAX_EVACUATIONS, len(size.zones))))
    return [
        Fault(
            rng.uniform(WARM_UP_S, max(WARM_UP_S, seconds - MIN_EVACUATION_S)),
            "evacuate",
            zone,
            duration_s=rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S),
        )
        for zone in zones
    ]


def add_repeats(draw, first):
    """Repeat a fault with the same target and duration, as far as the repetitions are allowed."""
    at_s = first.at_s
    for _ in range(draw.rng.randint(1, MAX_REPEATS)):
        at_s += draw.rng.uniform(MIN_REPEAT_INTERVAL_S, MAX_REPEAT_INTERVAL_S)
        repeat = Fault(at_s, first.kind, first.target, first.other, first.duration_s, first.amount)
        if draw.is_allowed(repeat):
            draw.faults.append(repeat)
