"""What goes wrong in a soak, and when: drawn from a seed, the same each time."""

from random import Random

from attrs import define, field

__all__ = ["Fault", "SoakSize", "draw_schedule", "CALM_S", "UNPLANNED"]

SETTLE_S = 2.0
"""Before the first fault."""

CALM_S = 15.0
"""After the last fault has healed; the platform allows 12 s until requests are served again."""

MEAN_GAP_S = 1.2
"""Between the beginnings of two faults, on average; each lasts longer, so that they overlap."""

LEAST_S, MOST_S = 0.5, 4.0
"""How long a fault lasts; connections are given up after 0.7 s, leases lapse after 1 s."""

SERIES_SHARE = 0.3
"""Share of faults that come again and again."""

MOST_REPEATS = 3
REPEAT_LEAST_S, REPEAT_MOST_S = 0.2, 2.0
"""Between the beginnings within a series: within the last one, or just after it."""

KILL_ALL_SHARE = 0.25
"""Share of schedules that end with the kill of every process."""

ALL_SHARE = 0.3
"""Share of faulty links that are those of one process with all others."""

LEAST_STEP_MS, MOST_STEP_MS = 500, 8000
"""By which the time of day is stepped, forward or back."""

LEAST_DELAY_S, MOST_DELAY_S = 0.02, 0.8
"""Of a slow link: from ten times the usual to longer than silence is borne."""

DISK_QUIET_S = 7.0
"""Around the loss of a disk no other control instance is lost: one is what may be lost at once,
and it stays lost for 4 s after it is back."""

CONTROL_KINDS = ("kill", "pause", "term", "lose_disk", "fill_disk", "tear_log", "step_clock")
NODE_KINDS = ("kill", "pause", "term", "hup", "step_clock")
LINK_KINDS = ("delay", "reset", "cut", "lose", "silence")
WORKER_KINDS = ("crash", "reborn", "fail", "hang", "late", "mute", "shed", "slow", "leave")
LOAD_KINDS = ("burst", "give_up", "storm", "race", "invalid")
PLANNED = ("term", "hup", "storm", "race", "invalid", "leave", "step_clock", "burst", "give_up")
UNPLANNED = tuple(
    kind for kind in (*CONTROL_KINDS, *LINK_KINDS, *WORKER_KINDS, "kill_all") if kind not in PLANNED
)

# How often each area is struck, relative to the others: connections and workers fail most.
WEIGHTS = (
    ("control", CONTROL_KINDS, 3.0),
    ("entry", NODE_KINDS, 3.0),
    ("agent", NODE_KINDS, 3.0),
    ("link", LINK_KINDS, 4.0),
    ("worker", WORKER_KINDS, 4.0),
    ("load", LOAD_KINDS, 2.0),
)


@define(frozen=True)
class SoakSize:
    """How many processes there are."""

    controls: int = 3
    entries: int = 3
    agents: int = 5

    def names(self, role):
        """Return the names of the processes of a role."""
        return [f"{role}-{number + 1}" for number in range(getattr(self, self.plurals[role]))]

    plurals = {"control": "controls", "entry": "entries", "agent": "agents"}


@define
class Fault:
    """One fault.

    Parameters
    ----------
    at_s, for_s : float
        From the start of traffic, and for how long.
    kind : str
    target : str
        A process, or the place that a link's faulty direction starts at.
    other : str
        The place that it ends at, for links.
    amount : float
        Strength, where a kind has one.
    """

    at_s: float
    kind: str
    target: str = ""
    other: str = ""
    for_s: float = 0.0
    amount: float = 0.0

    @property
    def until_s(self):
        """When it has healed."""
        return self.at_s + self.for_s

    def __str__(self):
        names = " -> ".join(name for name in (self.target, self.other) if name)
        return f"{self.at_s:.1f} s {self.kind} {names} for {self.for_s:.1f} s ({self.amount:g})"


@define
class Draw:
    """The state of drawing one schedule."""

    rng: Random
    size: SoakSize
    faults: list = field(factory=list)

    def one(self, at_s):
        """Draw a fault that begins at a time, or None if it may not come then."""
        area = self.rng.choices(WEIGHTS, [weight for _, _, weight in WEIGHTS])[0]
        role, kinds, _ = area
        kind = self.rng.choice(kinds)
        fault = Fault(at_s, kind, for_s=self.rng.uniform(LEAST_S, MOST_S))
        if role in ("control", "entry", "agent"):
            fault.target = self.rng.choice(self.size.names(role))
            fault.amount = self.rng.choice((-1, 1)) * self.rng.uniform(LEAST_STEP_MS, MOST_STEP_MS)
        elif role == "link":
            fault.target, fault.other = self.link()
            fault.amount = self.rng.uniform(LEAST_DELAY_S, MOST_DELAY_S)
        elif role == "worker":
            fault.target = self.rng.choice(self.size.names("agent"))
            fault.amount = self.rng.uniform(2.0, 8.0)
        elif kind == "burst":
            fault.amount = self.rng.uniform(1.5, 3.0)
        return fault if self.is_allowed(fault) else None

    def link(self):
        """Draw the two ends of a faulty link."""
        nodes = [name for role in SoakSize.plurals for name in self.size.names(role)]
        source = self.rng.choice(nodes)
        if self.rng.random() < ALL_SHARE:
            return (source, "all") if self.rng.random() < 0.5 else ("all", source)
        return source, self.rng.choice([name for name in nodes if name != source])

    def is_allowed(self, fault):
        """Return whether a fault leaves no more disks lost than may be lost at once."""
        if not touches_control(fault):
            return True
        return not any(
            touches_control(other)
            and "lose_disk" in (fault.kind, other.kind)
            and fault.at_s < other.until_s + DISK_QUIET_S
            and other.at_s < fault.until_s + DISK_QUIET_S
            for other in self.faults
        )


def touches_control(fault):
    """Return whether a fault may put a control instance out of reach."""
    names = (fault.target, fault.other)
    return fault.kind == "kill_all" or any(n == "all" or n.startswith("control") for n in names)


def draw_schedule(seed, seconds, size):
    """Return the faults of a soak.

    Parameters
    ----------
    seed : int
    seconds : float
        During which faults begin.
    size : SoakSize

    Returns
    -------
    list of Fault
        In the order of their beginnings.
    """
    draw = Draw(Random(seed), size)
    at_s = SETTLE_S
    while at_s < seconds:
        fault = draw.one(at_s)
        if fault is not None:
            draw.faults.append(fault)
            if draw.rng.random() < SERIES_SHARE:
                add_series(draw, fault)
        at_s += draw.rng.expovariate(1 / MEAN_GAP_S)
    last = Fault(seconds, "kill_all", amount=0.0, for_s=1.0)
    if draw.rng.random() < KILL_ALL_SHARE and draw.is_allowed(last):
        draw.faults.append(last)
    return sorted(draw.faults, key=lambda fault: fault.at_s)


def add_series(draw, first):
    """Let a fault come again, on the same or another target."""
    at_s = first.at_s
    for _ in range(draw.rng.randint(1, MOST_REPEATS)):
        at_s += draw.rng.uniform(REPEAT_LEAST_S, REPEAT_MOST_S)
        again = Fault(at_s, first.kind, first.target, first.other, first.for_s, first.amount)
        if draw.is_allowed(again):
            draw.faults.append(again)
