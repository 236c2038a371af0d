"""Tasks start at most once and answers are true under random faults.

Guards against double starts and wrong answers after lost, duplicated or delayed messages, restarts
of agents and changes of the owner. Injected faults show that the checks find violations.
"""

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
CHECK_SETTINGS = settings(max_examples=200, stateful_step_count=60, deadline=None)
SEARCH_SETTINGS = settings(
    max_examples=600, stateful_step_count=60, deadline=None, phases=[Phase.generate]
)


class DispatchMachine(RuleBasedStateMachine):
    """Random schedules of one cell."""

    functions = Functions

    def __init__(self):
        super().__init__()
        self.network = DispatchNetwork(self.functions)

    def pick_submission(self, position):
        names = list(self.network.requests)
        return names[position % len(names)] if names else None

    @rule(job=st.sampled_from(["proof", "billing"]), tasks=st.sampled_from([1, 2, 3]))
    def submit(self, job, tasks):
        self.network.submit(job, tasks)

    @rule(position=st.sampled_from(range(10)))
    def resubmit(self, position):
        name = self.pick_submission(position)
        if name is not None:
            self.network.submit(None, 0, name)

    @rule(position=st.sampled_from(range(10)))
    def cancel(self, position):
        name = self.pick_submission(position)
        if name is not None:
            self.network.cancel(name)

    @rule(position=st.sampled_from(range(21)))
    def deliver(self, position):
        self.network.deliver(position)

    @rule(position=st.sampled_from(range(21)))
    def deliver_twice(self, position):
        self.network.deliver(position, duplicate=True)

    @rule(position=st.sampled_from(range(21)))
    def drop(self, position):
        if self.network.inbox:
            self.network.inbox.pop(position % len(self.network.inbox))

    @rule()
    def settle(self):
        self.network.deliver_pending()

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
        """Make a worker unreachable for its owner, and let the owner record that."""
        network = self.network
        network.connect(name)
        network.inbox = [item for item in network.inbox if not isinstance(item[2], Lead)]
        network.report_unreachable(name)

    @rule(name=NAMES)
    def restart_agent(self, name):
        self.network.restart_agent(name)

    @rule(name=NAMES)
    def give_up(self, name):
        self.network.remove_worker(name)

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
        self.network.deliver_pending()

    @rule(position=st.sampled_from(range(4)))
    def move_and_resubmit(self, position):
        """Replace the owner while messages of the former one are in flight."""
        late_messages, self.network.inbox = self.network.inbox, []
        self.network.new_owner()
        self.network.deliver_pending()
        self.network.inbox += late_messages
        self.resubmit(position)


class RestartsEndedTasks(Functions):
    """Injected fault: an agent starts an ended task again."""

    @staticmethod
    def accept(state, message, now):
        for task in list(state.tasks.values()):
            if task.state == "ended":
                del state.tasks[task.submission, task.index]
        return execution.accept(state, message, now)


class AcceptsFormerOwner(Functions):
    """Injected fault: an agent accepts starts of a former owner and however old they are."""

    @staticmethod
    def accept(state, message, now):
        message.epoch, message.echo = state.lead.epoch, now
        state.lead.echo = now
        return execution.accept(state, message, now)


class IgnoresFormerOwner(Functions):
    """Injected fault: a new owner queues tasks that may have begun under a former one."""

    @staticmethod
    def enqueue_admitted(state, submission, now):
        enqueue_waiting_tasks(state, submission)


def replace_owner(network):
    """Replace the owner; the second worker's report reaches the new one first."""
    network.new_owner()
    network.deliver(1)
    network.deliver(1)
    network.deliver_pending()


def deliver_start_twice(network):
    """Deliver a start twice, the second time after the task has ended."""
    network.deliver_pending()
    network.submit("proof", 1)
    (start,) = [item for item in network.inbox if isinstance(item[2], Start)]
    network.deliver_pending()
    for name in WORKERS:
        network.finish(name)
    network.inbox.append(start)
    network.deliver_pending()


def deliver_start_of_former_owner_late(network):
    """Deliver a start after a new owner has placed the task on another worker."""
    network.deliver_pending()
    network.submit("proof", 1)
    late_messages, network.inbox = network.inbox, []
    (name,) = network.requests
    replace_owner(network)
    network.submit(None, 0, name)
    network.heartbeat()
    network.deliver_pending()
    network.inbox += late_messages
    network.deliver_pending()
    for worker in WORKERS:
        network.finish(worker)
    network.deliver_pending()


def resubmit_to_new_owner(network):
    """Resubmit to a new owner a submission that is running for the former one."""
    network.deliver_pending()
    network.submit("proof", 1)
    network.deliver_pending()
    (name,) = network.requests
    replace_owner(network)
    network.submit(None, 0, name)
    network.heartbeat()
    network.deliver_pending()


SCHEDULES = (
    (deliver_start_twice, RestartsEndedTasks),
    (deliver_start_of_former_owner_late, AcceptsFormerOwner),
    (resubmit_to_new_owner, IgnoresFormerOwner),
)


def test_random_faults_break_no_guarantee():
    run_state_machine_as_test(DispatchMachine, settings=CHECK_SETTINGS)


@pytest.mark.parametrize("schedule,fault", SCHEDULES)
def test_check_passes_without_and_reports_with_the_injected_fault(schedule, fault):
    schedule(DispatchNetwork())
    with pytest.raises(Violation):
        schedule(DispatchNetwork(fault))


@pytest.mark.parametrize("fault", [RestartsEndedTasks, IgnoresFormerOwner])
def test_random_schedules_find_the_injected_fault(fault):
    machine = type("Faulty", (DispatchMachine,), {"functions": fault})
    with pytest.raises(Violation):
        run_state_machine_as_test(machine, settings=SEARCH_SETTINGS)


def finish_all(network):
    """Deliver all messages and end all tasks, repeatedly."""
    for _ in range(20):
        network.deliver_pending()
        for name in WORKERS:
            network.finish(name)


def test_new_owner_completes_what_the_former_began():
    network = DispatchNetwork()
    network.deliver_pending()
    network.submit("proof", 3)
    network.deliver_pending()
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


def test_new_owner_takes_over_a_claimed_submission():
    network = DispatchNetwork()
    network.deliver_pending()
    network.submit("billing", 2)
    network.deliver_pending()
    (name,) = network.requests
    network.new_owner()
    network.submit(None, 0, name)
    network.heartbeat()
    finish_all(network)
    assert network.owner.state.submissions[name].state == "complete"
    assert network.claims.claims[name].state == "complete"


def test_new_owner_answers_may_have_run_after_a_worker_restarted():
    network = DispatchNetwork()
    network.deliver_pending()
    network.submit("proof", 2)
    network.deliver_pending()
    (name,) = network.requests
    network.restart_agent("w1")
    network.new_owner()
    network.submit(None, 0, name)
    network.heartbeat()
    finish_all(network)
    assert network.owner.state.submissions[name].answer.code == "may-have-run"


def test_lead_with_a_lower_epoch_is_refused():
    network = DispatchNetwork()
    network.deliver_pending()
    network.new_owner()
    network.deliver_pending()
    led = execution.lead(network.agents["w1"].state, Lead("c", 1, "e1", network.now), network.now)
    assert not led.accepted


def test_tombstone_is_kept_as_an_ended_task():
    task = AgentTask("s", 0, 1, "ended")
    assert not task.started
