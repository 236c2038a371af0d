"""Parser of scenario files; errors give line and column."""

from functools import cache
from importlib import resources

from attrs import define, field
from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, VisitError
from result import Err, Ok

__all__ = ["Scenario", "Load", "Event", "Expectation", "parse_scenario"]


@define
class Load:
    """Open-loop arrivals of jobs.

    Parameters
    ----------
    tasks : tuple of int
        Least and greatest number of tasks of a job.
    run_ms : tuple of float
        Least and greatest run time of a task.
    kinds : dict
        Maps a job to its weight; all jobs of the deployment with equal weights if empty.
    doubled : float
        Share of jobs that are submitted at two entries at once.
    cancelled : float
        Share of jobs that are cancelled shortly after they are submitted.
    declared : float
        Declared run time as a multiple of the true run time.
    resubmit : bool
        Whether a caller submits again, at the next entry, when the connection fails.
    """

    jobs_per_s: float
    seconds: float
    tasks: tuple = (1, 8)
    run_ms: tuple = (20.0, 120.0)
    kinds: dict = field(factory=dict)
    doubled: float = 0.0
    cancelled: float = 0.0
    deadline_ms: float = 15_000.0
    declared: float = 1.0
    resubmit: bool = True


@define(frozen=True)
class Event:
    """An action and its time in seconds after the start of the load."""

    at_s: float
    action: str
    arguments: tuple
    line: int


@define(frozen=True)
class Expectation:
    """A condition that must hold at the end of the run."""

    kind: str
    arguments: tuple
    line: int


@define
class Scenario:
    """A parsed scenario."""

    cluster: str = "bygdelag"
    options: dict = field(factory=dict)
    load: Load | None = None
    events: list = field(factory=list)
    expectations: list = field(factory=list)

    @property
    def must_be_reported(self):
        """Whether the scenario expects the checker to find a violation of a guarantee."""
        return any(expectation.kind == "violation" for expectation in self.expectations)


def token_value(token):
    """Return a token's value: a float, the content of a quoted string, or the text."""
    if token.type == "NUMBER":
        return float(token)
    if token.type == "STRING":
        return token.value[1:-1]
    return token.value


class ScenarioBuilder(Transformer):
    """Builds a `Scenario` from a parse tree.

    Methods are named after the rules and aliases of the grammar; lark calls them by these names.
    """

    def option(self, items):
        return (str(items[0]), int(float(items[1])))

    def cluster(self, items):
        return ("cluster", str(items[0]), dict(items[1:]))

    def kind(self, items):
        return (str(items[0]), float(items[1]))

    def load(self, items):
        load = Load(float(items[0]), float(items[1]))
        for name, value in items[2:]:
            setattr(load, name, value)
        return ("load", load)

    def tasks(self, items):
        return ("tasks", tuple(int(float(item)) for item in items))

    def run(self, items):
        return ("run_ms", tuple(float(item) for item in items))

    def kinds(self, items):
        return ("kinds", dict(items))

    def doubled(self, items):
        return ("doubled", float(items[0]) / 100)

    def cancelled(self, items):
        return ("cancelled", float(items[0]) / 100)

    def deadline(self, items):
        return ("deadline_ms", float(items[0]))

    def declared(self, items):
        return ("declared", float(items[0]))

    def once(self, _):
        return ("resubmit", False)

    def event(self, items):
        name, arguments = items[1]
        return ("event", Event(float(items[0]), name, arguments, items[0].line))

    def expect(self, items):
        name, arguments = items[0]
        return ("expect", name, arguments)

    def line(self, items):
        return items[0]

    def start(self, items):
        scenario = Scenario()
        for item in items:
            if item is None or isinstance(item, Token):
                continue
            add_line(scenario, item)
        scenario.events.sort(key=lambda event: event.at_s)
        return scenario

    def __default__(self, data, children, meta):
        return (str(data), tuple(token_value(child) for child in children))


def add_line(scenario, item):
    """Add one parsed line to a scenario."""
    kind = item[0]
    if kind == "cluster":
        scenario.cluster, scenario.options = item[1], item[2]
    elif kind == "load":
        scenario.load = item[1]
    elif kind == "event":
        scenario.events.append(item[1])
    else:
        scenario.expectations.append(Expectation(item[1], item[2], 0))


@cache
def scenario_parser():
    """Return the parser; it is built on first use."""
    text = resources.files("onyxfork.workload").joinpath("scenario.lark").read_text()
    return Lark(text, parser="lalr", lexer="contextual")


def parse_scenario(text):
    """Parse the text of a scenario.

    Parameters
    ----------
    text : str

    Returns
    -------
    Result
        ``Ok(Scenario)`` or ``Err(str)`` with line, column and what was expected.

    Examples
    --------
    >>> parse_scenario("at 1 s kick worker-1").err_value[:40]
    "line 1, column 8: found 'kick', expected"
    """
    try:
        return Ok(ScenarioBuilder().transform(scenario_parser().parse(text)))
    except UnexpectedInput as error:
        return Err(describe_syntax_error(error, text))
    except VisitError as error:
        return Err(f"invalid value: {error.orig_exc}")


def describe_syntax_error(error, text):
    """Return the position of a syntax error, what was found and what was expected."""
    accepted = getattr(error, "accepts", None) or getattr(error, "expected", None)
    accepted = accepted or getattr(error, "allowed", None) or ()
    expected = ", ".join(sorted(name.lower().lstrip("_") for name in accepted))
    if isinstance(error, UnexpectedCharacters):
        found = repr(text[error.pos_in_stream])
    else:
        found = repr(str(getattr(error, "token", "end of input")))
    return f"line {error.line}, column {error.column}: found {found}, expected one of: {expected}"
