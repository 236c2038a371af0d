"""Owners, agents and claims on a network that drops, duplicates, delays and reorders messages.

All decisions are made by the functions under test; the network, the clock and the callers are
fakes. The checks compare the tasks sent to upstreams with the answers to callers.
"""

from collections import Counter
from random import Random

from attrs import define, field

from onyxfork.control.commands import Claim, ReleaseClaim, SettleClaim
from onyxfork.control.state import ControlState
from onyxfork.entities.agent_tasks import AgentState
from onyxfork.entities.catalogue import Catalogue, Job, Node
from onyxfork.entities.dispatch import Dispatch
from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.submissions import Request
from onyxfork.entities.tuning import Tuning
from onyxfork.messages import Fetch, Lead, Led, Results, Start, Stop, pack
from onyxfork.systems import execution
from onyxfork.systems.intake import accept_request, enqueue_admitted
from onyxfork.systems.lifetimes import cancel
from onyxfork.systems.membership import (
    add_unreported_worker,
    mark_unreported_worker_lost,
    mark_worker_unreachable,
    register_worker,
    remove_lost_worker,
    unreachable_since_ms,
)
from onyxfork.systems.policies import LateBinding
from onyxfork.systems.results import apply_result
from onyxfork.systems.tick import tick
from onyxfork.utils.ids import new_id

LEASE_S = 2.0
WORKERS = ("w1", "w2")
WALL_START_MS = 1_700_000_000_000


class Violation(AssertionError):
    """A task started twice, or an answer was wrong or incomplete."""


@define
class FakeAgent:
    """An agent and the tasks that its upstream is running."""

    state: AgentState
    running: dict = field(factory=dict)


@define
class FakeOwner:
    """An owner for one epoch, whose lease as far as it knows lasts until `lease_until`."""

    state: Dispatch
    lease_until: float
    waiting: dict = field(factory=dict)
    echoes: dict = field(factory=dict)
    connected: dict = field(factory=dict)


class Functions:
    """The functions under test; an injected fault replaces one of them."""

    accept = staticmethod(execution.accept)
    lead = staticmethod(execution.lead)
    enqueue_admitted = staticmethod(enqueue_admitted)


class DispatchNetwork:
    """One cell with two workers and one owner at a time."""

    def __init__(self, functions=Functions):
        self.functions = functions
        self.now = 10.0
        self.rng = Random(1)
        self.catalogue = Catalogue()
        for name, idempotent in (("proof", True), ("billing", False)):
            row = Job(name, "s", "o", idempotent=idempotent)
            self.catalogue.put("job", f"o/s/{name}", row)
        self.claims = ControlState()
        self.log_index = 0
        self.agents = {}
        self.incarnations = Counter()
        for name in WORKERS:
            self.start_agent(name)
        self.inbox = []
        self.owners = []
        self.starts = Counter()
        self.begun = set()
        self.refused = set()
        self.requests = {}
        self.now += 10.0
        self.new_owner()

    @property
    def wall_ms(self):
        return WALL_START_MS + int(self.now * 1000)

    @property
    def owner(self):
        return self.owners[-1]

    # Agents

    def start_agent(self, name):
        """Start an agent with an empty state and a new incarnation."""
        self.incarnations[name] += 1
        state = AgentState(incarnation=f"{name}.{self.incarnations[name]}", slots=1)
        former = self.catalogue.find("node", name)
        self.agents[name] = FakeAgent(state)
        node = Node(name, "agent", "127.0.0.1", 1, "z", incarnation=state.incarnation, slots=1)
        if former is not None:
            node.restarted_ms = former.unreachable_ms or self.wall_ms
        self.catalogue.put("node", name, node)

    def restart_agent(self, name):
        """Kill an agent and start it again; messages to and from it are lost."""
        self.inbox = [item for item in self.inbox if name not in item[:2]]
        self.start_agent(name)

    def run_agent(self, name):
        """Start queued tasks, count the starts and check them."""
        agent = self.agents[name]
        for task in execution.start_queued_tasks(agent.state, self.now):
            key = (task.submission, task.index)
            self.starts[key] += 1
            agent.running[key] = task.start
            self.check_start(key)

    def finish(self, name, outcome="done"):
        """End the first running task of a worker."""
        agent = self.agents[name]
        if not agent.running:
            return
        key = next(iter(agent.running))
        del agent.running[key]
        result = execution.finish(agent.state, key, outcome, list(key), outcome, self.now)
        self.send(name, "owner", Results([result], agent.state.free, self.now))
        self.run_agent(name)

    def deliver_to_agent(self, name, message):
        """Deliver one message to an agent."""
        agent = self.agents[name]
        replies = []
        if isinstance(message, Lead):
            led = self.functions.lead(agent.state, message, self.now)
            self.send(name, "owner", led)
        elif isinstance(message, Start):
            if message.epoch == agent.state.lead.epoch:
                agent.state.lead.echo = max(agent.state.lead.echo, message.echo)
            replies = self.functions.accept(agent.state, message, self.now)
        elif isinstance(message, Stop):
            replies, running = execution.stop(agent.state, message.tasks, self.now)
            for key in running:
                if key in agent.running:
                    del agent.running[key]
                    ended = execution.finish(agent.state, key, "stopped", None, "", self.now)
                    replies.append(ended)
        elif isinstance(message, Fetch):
            replies = execution.fetch(agent.state, message.tasks, self.now)
        replies = [reply for reply in replies if reply is not None]
        if replies:
            self.send(name, "owner", Results(replies, 0, self.now))
        self.run_agent(name)

    # Owners

    def new_owner(self):
        """Give the cell to another owner after the lease of the current one has ended."""
        if self.owners:
            self.now = max(self.now, self.owner.lease_until)
        epoch = len(self.owners) + 1
        state = Dispatch(
            "c", LateBinding(), Tuning(), self.rng, epoch=epoch, catalogue=self.catalogue
        )
        owner = FakeOwner(state, self.now + LEASE_S)
        self.owners.append(owner)
        if epoch > 1:
            state.takeover.at_wall_ms = self.wall_ms
            for name in WORKERS:
                add_unreported_worker(state, self.catalogue.find("node", name))
        for name in WORKERS:
            self.connect(name)

    def connect(self, name):
        """Open a connection to an agent; messages on the former connection are lost."""
        self.inbox = [item for item in self.inbox if name not in item[:2] or item[3] != self.owner]
        worker = self.owner.state.workers.get(name)
        if worker is not None:
            mark_worker_unreachable(self.owner.state, worker, self.now)
        self.owner.echoes[name] = self.now
        self.owner.connected[name] = self.agents[name].state.incarnation
        lead = Lead("c", self.owner.state.epoch, f"e{len(self.owners)}", self.now)
        self.send("owner", name, lead)
        self.run_owner(self.owner)

    def heartbeat(self):
        """Renew the owner's lease and the last time that it echoed to its agents."""
        self.owner.lease_until = self.now + LEASE_S
        for name, agent in self.agents.items():
            self.owner.echoes[name] = self.now
            if agent.state.lead.epoch == self.owner.state.epoch:
                agent.state.lead.echo = self.now
            self.run_agent(name)
        self.run_owner(self.owner)

    def deliver_to_owner(self, name, message, owner):
        """Deliver one message to the owner that the connection belongs to."""
        state = owner.state
        if isinstance(message, Led):
            node = self.catalogue.find("node", name)
            if message.accepted and node.incarnation == message.incarnation:
                if owner is self.owner:
                    node.unreachable_ms = 0
                elif node.unreachable_ms:
                    return
                register_worker(state, node, message, self.now)
        elif isinstance(message, Results):
            worker = state.workers.get(name)
            for result in message.results if worker is not None else []:
                apply_result(state, worker, result, self.now)
        self.run_owner(owner)

    def report_unreachable(self, name):
        """Record for the next owner that nothing more is sent to an unreachable worker."""
        worker = self.owner.state.workers.get(name)
        if worker is not None and worker.state == "lost":
            node = self.catalogue.find("node", name)
            node.unreachable_ms = unreachable_since_ms(worker)

    def remove_worker(self, name):
        """Remove a worker as lost."""
        state = self.owner.state
        mark_unreported_worker_lost(state, name)
        worker = state.workers.get(name)
        if worker is not None:
            remove_lost_worker(state, worker, "unreachable for too long", self.now)
        self.run_owner(self.owner)

    def run_owner(self, owner):
        """Run a tick, send its messages and record its answers."""
        outbox = tick(owner.state, self.now, self.now < owner.lease_until)
        epoch = owner.state.epoch
        for name, starts in outbox.starts.items():
            self.send("owner", name, Start("c", epoch, owner.echoes[name], starts), owner)
        for name, ids in outbox.stops.items():
            self.send("owner", name, Stop(ids), owner)
        for name, ids in outbox.fetches.items():
            self.send("owner", name, Fetch(ids), owner)
        for submission in outbox.answered:
            self.record_answer(owner, submission)

    # Callers

    def submit(self, job, tasks, name=None):
        """Submit a job to the current owner, or resubmit the one with a given name."""
        if name is None:
            name = new_id(self.wall_ms, self.rng)
            self.requests[name] = (job, tasks)
        job, tasks = self.requests[name]
        owner = self.owner
        inputs = list(range(tasks))
        request = Request(name, "o", "", "s", job, "d", self.now + 20.0, inputs, [100.0] * tasks)
        if self.now >= owner.lease_until:
            return
        self.refused.discard(name)
        accepted = accept_request(owner.state, request, self.now)
        if accepted.is_err():
            if accepted.err_value.code is not Code.MAY_HAVE_RUN:
                self.record_refusal(name)
            return
        accepted_request = accepted.ok_value
        if accepted_request.needs_claim and not self.claim(owner, name):
            owner.state.submissions.pop(name)
            accepted_request.submission.state = State.FAILED
            return
        if accepted_request.is_new:
            self.functions.enqueue_admitted(owner.state, accepted_request.submission, self.now)
        self.run_owner(owner)

    def claim(self, owner, name):
        """Claim a submission in the replicated state."""
        command = Claim(self.wall_ms, name, "d", f"e{owner.state.epoch}", owner.state.epoch)
        return self.apply_to_claims(command).accepted

    def apply_to_claims(self, command):
        """Apply one command to the replicated state."""
        self.log_index += 1
        return self.claims.apply(self.log_index, pack([command]))

    def cancel(self, name):
        """Cancel a submission at the current owner."""
        cancel(self.owner.state, name, self.now)
        self.run_owner(self.owner)

    def record_answer(self, owner, submission):
        """Check the final answer of an owner; record it in the claim or release the claim."""
        answer, name = submission.answer, submission.name
        if answer.state is State.COMPLETE:
            expected = [[name, index] for index in range(self.requests[name][1])]
            if answer.outputs != expected:
                raise Violation(f"{name} was answered in part or wrongly: {answer.outputs}")
        if answer.state is State.NOT_RUN:
            self.record_refusal(name)
        if self.requests[name][0] == "billing":
            if answer.state is State.NOT_RUN:
                self.apply_to_claims(ReleaseClaim(self.wall_ms, name, owner.state.epoch))
            else:
                self.apply_to_claims(SettleClaim(self.wall_ms, name, answer.state, answer.code))

    def record_refusal(self, name):
        """Record that a caller was answered "not run", and check that no task has started."""
        if any(key[0] == name for key in self.starts):
            raise Violation(f"{name} was answered not run although it ran")
        self.refused.add(name)

    def check_start(self, key):
        """Check that no task starts twice, nor after it was answered "not run"."""
        if self.starts[key] > 1:
            raise Violation(f"task {key} started {self.starts[key]} times")
        if key[0] in self.refused:
            raise Violation(f"task {key} started after it was answered not run")

    # Network

    def send(self, sender, receiver, message, owner=None):
        """Put a message on the connection of an owner, by default the current one, and an agent."""
        self.inbox.append((sender, receiver, message, owner or self.owner))

    def deliver(self, position, duplicate=False):
        """Deliver the message at a position; a duplicate leaves it in the inbox."""
        if not self.inbox:
            return
        index = position % len(self.inbox)
        sender, receiver, message, owner = self.inbox[index] if duplicate else self.inbox.pop(index)
        if receiver == "owner":
            self.deliver_to_owner(sender, message, owner)
        elif owner.connected[receiver] == self.agents[receiver].state.incarnation:
            self.deliver_to_agent(receiver, message)

    def deliver_pending(self, max_messages=80):
        """Deliver messages in order until there are none, `max_messages` at most."""
        for _ in range(max_messages):
            if not self.inbox:
                break
            self.deliver(0)

    def advance(self, seconds):
        """Advance the clock, expire queued tasks and run a tick of every owner."""
        self.now += seconds
        for name, agent in self.agents.items():
            dropped = execution.expire_queued_tasks(agent.state, self.now)
            if dropped:
                self.send(name, "owner", Results(dropped, 0, self.now))
        for owner in self.owners:
            self.run_owner(owner)
