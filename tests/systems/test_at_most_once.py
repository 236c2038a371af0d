"""The brief's promises on dispatch, under every mix of faults, and checks that bite."""

import sys
from pathlib import Path

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from onyxfork.entities.agent_tasks import AgentTask
from onyxfork.messages import Lead, Start
from onyxfork.systems import execution
from onyxfork.systems.admission import enqueue_waiting_tasks

sys.path.insert(0, str(Path(__file__).parent))
from dispatch_network import WORKERS, DispatchNetwork, Functions, Violation  # noqa: E402

NAMES = st.sampled_from(WORKERS)
BUDGET = settings(max_examples=200, stateful_step_count=60, deadline=None)
SEARCH = settings(max_examples=600, stateful_step_count=60, deadline=None, phases=[Phase.generate])


class Dispatching(RuleBasedStateMachine):
    """Random schedules over one cell."""

    functions = Functions

    def __init__(self):
        super().__init__()
        self.network = DispatchNetwork(self.functions)

    def pick(self, position):
        names = list(self.network.requests)
        return names[position % len(names)] if names else None

    @rule(job=st.sampled_from(["proof", "billing"]), tasks=st.sampled_from([1, 2, 3]))
    def submit(self, job, tasks):
        self.network.submit(job, tasks)

    @rule(position=st.sampled_from(range(10)))
    def resubmit(self, position):
        name = self.pick(position)
        if name is not None:
            self.network.submit(None, 0, name)

    @rule(position=st.sampled_from(range(10)))
    def cancel(self, position):
        name = self.pick(position)
        if name is not None:
            self.network.cancel(name)

    @rule(position=st.sampled_from(range(21)))
    def deliver(self, position):
        self.network.deliver(position)

    @rule(position=st.sampled_from(range(21)))
    def deliver_twice(self, position):
        self.network.deliver(position, keep=True)

    @rule(position=st.sampled_from(range(21)))
    def drop(self, position):
        if self.network.inbox:
            self.network.inbox.pop(position % len(self.network.inbox))

    @rule()
    def settle(self):
        self.network.settle()

    @rule(name=NAMES, outcome=st.sampled_from(["done", "done", "failed", "not_run"]))
    def finish(self, name, outcome):
        if outcome == "not_run":
            key = next(iter(self.network.agents[name].running), None)
            self.network.starts.pop(key, None)
        self.network.finish(name, outcome)

    @rule(name=NAMES)
    def reconnect(self, name):
        self.network.connect(name)

    @rule(name=NAMES)
    def lose_worker(self, name):
        """Let a worker get out of its owner's reach, and the owner say so."""
        network = self.network
        network.connect(name)
        network.inbox = [item for item in network.inbox if not isinstance(item[2], Lead)]
        network.report(name)

    @rule(name=NAMES)
    def restart_agent(self, name):
        self.network.restart_agent(name)

    @rule(name=NAMES)
    def give_up(self, name):
        self.network.give_up(name)

    @rule()
    def heartbeat(self):
        self.network.heartbeat()

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.5]))
    def advance(self, seconds):
        self.network.advance(seconds)

    @rule()
    def new_owner(self):
        self.network.new_owner()

    @rule()
    def keep_up(self):
        self.network.heartbeat()
        self.network.settle()

    @rule(position=st.sampled_from(range(4)))
    def move_and_resubmit(self, position):
        """Replace the owner while messages of the former one are under way."""
        late, self.network.inbox = self.network.inbox, []
        self.network.new_owner()
        self.network.settle()
        self.network.inbox += late
        self.resubmit(position)


class ForgetsEnded(Functions):
    """Planted fault: an agent starts a task again that has ended."""

    @staticmethod
    def accept(state, message, now):
        for task in list(state.tasks.values()):
            if task.state == "ended":
                del state.tasks[task.submission, task.index]
        return execution.accept(state, message, now)


class TakesAnyOwner(Functions):
    """Planted fault: an agent obeys a former owner and believes every start is fresh."""

    @staticmethod
    def accept(state, message, now):
        message.epoch, message.echo = state.lead.epoch, now
        state.lead.echo = now
        return execution.accept(state, message, now)


class ForgetsFormerOwner(Functions):
    """Planted fault: a new owner does not ask what had begun."""

    @staticmethod
    def enqueue_admitted(state, submission, now):
        enqueue_waiting_tasks(state, submission)


def replace_owner(network):
    """Let another entry own the cell; it learns of the second worker first."""
    network.new_owner()
    network.deliver(1)
    network.deliver(1)
    network.settle()


def start_arrives_again(network):
    """Deliver a start twice, the second time after the task has ended."""
    network.settle()
    network.submit("proof", 1)
    (start,) = [item for item in network.inbox if isinstance(item[2], Start)]
    network.settle()
    for name in WORKERS:
        network.finish(name)
    network.inbox.append(start)
    network.settle()


def start_of_former_owner_arrives_late(network):
    """Delay a start until another owner has placed the task elsewhere."""
    network.settle()
    network.submit("proof", 1)
    late, network.inbox = network.inbox, []
    (name,) = network.requests
    replace_owner(network)
    network.submit(None, 0, name)
    network.heartbeat()
    network.settle()
    network.inbox += late
    network.settle()
    for worker in WORKERS:
        network.finish(worker)
    network.settle()


def submission_comes_again_to_a_new_owner(network):
    """Resubmit at a new owner what runs for the former one."""
    network.settle()
    network.submit("proof", 1)
    network.settle()
    (name,) = network.requests
    replace_owner(network)
    network.submit(None, 0, name)
    network.heartbeat()
    network.settle()


SCHEDULES = (
    (start_arrives_again, ForgetsEnded),
    (start_of_former_owner_arrives_late, TakesAnyOwner),
    (submission_comes_again_to_a_new_owner, ForgetsFormerOwner),
)


def test_promises_hold():
    run_state_machine_as_test(Dispatching, settings=BUDGET)


@pytest.mark.parametrize("schedule,fault", SCHEDULES)
def test_check_passes_without_and_reports_with_the_planted_fault(schedule, fault):
    schedule(DispatchNetwork())
    with pytest.raises(Violation):
        schedule(DispatchNetwork(fault))


@pytest.mark.parametrize("fault", [ForgetsEnded, ForgetsFormerOwner])
def test_random_schedules_find_the_planted_fault(fault):
    machine = type("Faulty", (Dispatching,), {"functions": fault})
    with pytest.raises(Violation):
        run_state_machine_as_test(machine, settings=SEARCH)


def finish_all(network):
    """Deliver everything and end every task until nothing moves."""
    for _ in range(20):
        network.settle()
        for name in WORKERS:
            network.finish(name)


def test_new_owner_completes_what_the_former_began():
    network = DispatchNetwork()
    network.settle()
    network.submit("proof", 3)
    network.settle()
    (name,) = network.requests
    assert sum(network.starts.values()) == 2
    network.new_owner()
    network.submit(None, 0, name)
    for _ in range(5):
        network.heartbeat()
        finish_all(network)
    submission = network.owner.state.submissions[name]
    assert submission.state == "complete"
    assert sum(network.starts.values()) == 3


def test_billing_is_taken_over_with_its_claim():
    network = DispatchNetwork()
    network.settle()
    network.submit("billing", 2)
    network.settle()
    (name,) = network.requests
    network.new_owner()
    network.submit(None, 0, name)
    network.heartbeat()
    finish_all(network)
    assert network.owner.state.submissions[name].state == "complete"
    assert network.claims.claims[name].state == "complete"


def test_restarted_worker_makes_older_work_unknowable_for_a_new_owner():
    network = DispatchNetwork()
    network.settle()
    network.submit("proof", 2)
    network.settle()
    (name,) = network.requests
    network.restart_agent("w1")
    network.new_owner()
    network.submit(None, 0, name)
    network.heartbeat()
    finish_all(network)
    assert network.owner.state.submissions[name].answer.code == "may-have-run"


def test_agent_of_lower_epoch_lead_is_refused():
    network = DispatchNetwork()
    network.settle()
    network.new_owner()
    network.settle()
    led = execution.lead(network.agents["w1"].state, Lead("c", 1, "e1", network.now), network.now)
    assert not led.accepted


def test_tombstone_is_kept_as_an_ended_task():
    task = AgentTask("s", 0, 1, "ended")
    assert not task.started
