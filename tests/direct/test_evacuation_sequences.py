"""No sequence of events lets a task start in a zone whose evacuation has reached the agent.

Two entries and three agents exchange their messages over links that deliver in order, one message
at a time. Control is a history of lists, of which any node may get any item at any time, as from
delayed connections and outdated instances.
"""

import asyncio
import sys
from functools import partial
from pathlib import Path

from attrs import define, evolve, field
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_request, make_worker  # noqa: E402

from onyxfork.addresses import Address  # noqa: E402
from onyxfork.direct.agent import DirectAgent  # noqa: E402
from onyxfork.direct.entry import DirectEntry  # noqa: E402
from onyxfork.direct.messages import (  # noqa: E402
    DirectoryNode,
    EvacuationsAnnounced,
    PlaceTasks,
)
from onyxfork.direct.settings import DirectSettings  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.messages import pack, unpack  # noqa: E402
from onyxfork.utils import FakeClock  # noqa: E402

ENTRIES = ["e0", "e1"]
ZONES = {"a0": "a", "a1": "a", "b0": "b", "e0": "a", "e1": "b"}
AGENTS = [name for name in ZONES if name not in ENTRIES]
LINKS = [(entry, agent) for entry in ENTRIES for agent in AGENTS]


class Suspend:
    """Awaiting it suspends a coroutine that is driven by hand."""

    def __await__(self):
        yield


@define(eq=False)
class End:
    """One end of a link: a stand-in for `Connection` that queues what is sent."""

    peer: object
    sent: list = field(factory=list)
    check: object = None
    handler: object = None
    peer_clock: float = 1.0
    latest_echo: float = 1.0
    closed_at: object = None

    def send(self, message):
        if self.check is not None:
            self.check(message)
        self.sent += unpack(pack([message]))

    def ping(self, now):
        """Heartbeats change no decision here, so they are not queued."""

    async def run(self, handler):
        self.handler = handler
        await Suspend()


class System:
    """Entries and agents, of which the test delivers each message."""

    def __init__(self):
        self.clock = FakeClock(1.0)
        self.history = [EvacuationsAnnounced(0, [])]
        self.nodes, self.known, self.links, self.started = {}, {}, {}, []
        self.jobs = self.sequence = 0
        for name in ZONES:
            self.restart(name)
        for link in LINKS:
            self.connect(*link)

    def restart(self, name):
        """Replace a process, which loses its connections and all that it knows."""
        for link in [link for link in self.links if name in link]:
            self.disconnect(*link)
        own = DirectSettings(name, ZONES[name], "test", Address("127.0.0.1", 1), [])
        telemetry = Telemetry("", name, "")
        self.known[name] = self.history[0]
        if name in ENTRIES:
            self.nodes[name] = DirectEntry(own, self.clock, telemetry)
            return
        agent = self.nodes[name] = DirectAgent(own, None, self.clock, telemetry)
        agent.spawn = lambda _: None
        agent.start = lambda run: self.on_start(name, run)
        self.report(name)

    def report(self, name):
        self.sequence += 1
        worker = evolve(make_worker(cpu=2000), sequence=self.sequence)
        agent = self.nodes[name]
        agent.arbiter.apply_worker_report(worker, 1.0)
        agent.send_status()

    def connect(self, entry, agent):
        if (entry, agent) in self.links:
            return
        accepting = self.nodes[agent]
        hello = self.nodes[entry].settings.hello("entry", 1.0)
        check = partial(self.check_order, entry, agent)
        to_agent = End(accepting.hello(), check=check)
        to_entry = End(hello)
        serving = accepting.accept(to_entry)
        serving.send(None)
        self.links[entry, agent] = to_agent, to_entry, serving
        node = DirectoryNode(agent, "agent", ZONES[agent], "h:1")
        self.nodes[entry].on_agent_connected(node, to_agent)
        accepting.send_status()

    def disconnect(self, entry, agent):
        link = self.links.pop((entry, agent), None)
        if link is not None:
            self.nodes[entry].on_agent_disconnected(agent, link[0], "cut")
            link[2].close()

    # Control

    def change(self, zone, evacuated):
        latest = set(self.history[-1].zones)
        changed = latest | {zone} if evacuated else latest - {zone}
        if changed != latest:
            self.history.append(EvacuationsAnnounced(len(self.history), sorted(changed)))

    def announce(self, name, message):
        self.record(name, message)
        self.nodes[name].control.on_control_message("c", message)

    def record(self, name, message):
        if message.index > self.known[name].index:
            self.known[name] = message

    # Links

    def deliver_to_agent(self, entry, agent):
        link = self.links.get((entry, agent))
        if link is not None and link[0].sent:
            message = link[0].sent.pop(0)
            if isinstance(message, EvacuationsAnnounced):
                self.record(agent, message)
            link[1].handler(link[1], message)

    def deliver_to_entry(self, entry, agent):
        link = self.links.get((entry, agent))
        if link is not None and link[1].sent:
            message = link[1].sent.pop(0)
            if isinstance(message, EvacuationsAnnounced):
                self.record(entry, message)
            self.nodes[entry].on_agent_message(agent, message)

    def submit(self, entry):
        self.jobs += 1
        dispatching = self.nodes[entry]
        dispatching.dispatcher.submit(make_request(f"{self.jobs:016x}", tasks=3), 1.0)
        dispatching.flush()

    def end_runs(self, agent):
        arbiter = self.nodes[agent].arbiter
        refs = [run.order.ref for run in arbiter.runs.values() if run.has_started]
        arbiter.apply_ended_runs([(ref, "done") for ref in refs], 1.0)
        self.nodes[agent].apply_decisions()

    # Checks

    def on_start(self, agent, run):
        assert ZONES[agent] not in self.known[agent].zones, "start in an evacuated zone"
        self.started.append(agent)
        self.nodes[agent].arbiter.on_start_reply(run, "started", 1.0)

    def check_order(self, entry, agent, message):
        if isinstance(message, PlaceTasks):
            assert ZONES[agent] not in self.known[entry].zones, "order to an evacuated zone"


agents, entries = st.sampled_from(AGENTS), st.sampled_from(ENTRIES)
events = st.one_of(
    st.tuples(st.just("submit"), st.tuples(entries)),
    st.tuples(st.just("announce"), st.tuples(st.sampled_from(list(ZONES)), st.integers(0, 2))),
    st.tuples(st.sampled_from(["end_runs", "report"]), st.tuples(agents)),
    st.tuples(st.just("flow"), st.just(())),
    st.tuples(st.just("change"), st.tuples(st.sampled_from("ab"), st.booleans())),
    st.tuples(
        st.sampled_from(["deliver_to_agent", "deliver_to_entry", "connect", "disconnect"]),
        st.sampled_from(LINKS),
    ),
    st.tuples(st.just("restart"), st.tuples(st.sampled_from(list(ZONES)))),
)


def play(sequence):
    """Apply events to a new system and return it."""

    async def apply_all():
        system = System()
        flow(system)
        for kind, arguments in sequence:
            if kind == "flow":
                flow(system)
            elif kind == "announce":
                name, back = arguments
                system.announce(name, system.history[-1 - back % len(system.history)])
            else:
                getattr(system, kind)(*arguments)
        for _, _, serving in system.links.values():
            serving.close()
        return system

    return asyncio.run(apply_all())


def flow(system):
    """Deliver all messages, up to a bound."""
    for _ in range(20):
        for name in AGENTS:
            system.nodes[name].send_status()
        for link in LINKS:
            system.deliver_to_agent(*link)
            system.deliver_to_entry(*link)


@settings(max_examples=300, deadline=None)
@given(st.lists(events, min_size=10, max_size=60))
def test_no_sequence_of_events_lets_a_start_through(sequence):
    play([("change", ("a", True)), *sequence])


def test_tasks_start_before_an_evacuation_and_after_its_end():
    """Guards against a property that holds only because the model starts nothing."""
    before = [("submit", ("e0",)), ("flow", ())]
    assert play(before).started
    evacuated = [("change", ("a", True)), ("announce", ("a0", 0)), ("announce", ("a1", 0))]
    system = play([*evacuated, *before])
    assert set(system.started) == {"b0"}
    restored = [("change", ("a", False)), ("announce", ("a0", 0)), ("flow", ())]
    reports = [("report", ("a0",)), ("report", ("a1",)), ("flow", ())]
    assert "a0" in play([*evacuated, *restored, *reports, *before, *before]).started


def test_agent_that_restarts_without_control_is_told_by_an_entry():
    evacuation = [("change", ("a", True)), ("announce", ("a0", 0)), ("flow", ())]
    restart = [("restart", ("a0",)), ("connect", ("e1", "a0")), ("flow", ())]
    system = play([*evacuation, *restart, ("report", ("a0",)), ("flow", ())])
    assert system.nodes["a0"].arbiter.state == "evacuated"
    assert system.known["e0"].index == 1


def test_node_with_an_old_index_that_returns_adopts_the_newer_list_of_its_peer():
    cut = [("disconnect", ("e0", "a0")), ("disconnect", ("e1", "a0"))]
    changes = [("change", ("b", True)), ("announce", ("a0", 0)), ("change", ("a", True))]
    rest = [("announce", ("e0", 0)), ("connect", ("e0", "a0")), ("flow", ())]
    system = play([*cut, *changes, *rest])
    assert system.nodes["a0"].control.evacuations.index == 2
    assert system.nodes["a0"].arbiter.evacuated
