"""Agreement holds under drops, delays, doubled messages, cuts and crashes, and the checks bite."""

import sys
from pathlib import Path
from random import Random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from onyxfork.control.raft import Raft
from onyxfork.control.raft_messages import Members, VoteReply

sys.path.insert(0, str(Path(__file__).parent))
from raft_network import Disk, Network, Violation  # noqa: E402

NAMES = st.sampled_from(["r0#0", "r1#0", "r2#0"])
BUDGET = settings(max_examples=60, stateful_step_count=60, deadline=None)


class Agreement(RuleBasedStateMachine):
    """Random schedules over three replicas."""

    raft_class = Raft

    def __init__(self):
        super().__init__()
        self.network = Network(raft_class=self.raft_class)

    @rule(position=st.sampled_from(range(31)))
    def deliver(self, position):
        self.network.deliver(position)

    @rule(position=st.sampled_from(range(31)))
    def deliver_twice(self, position):
        self.network.deliver(position, keep=True)

    @rule(position=st.sampled_from(range(31)))
    def drop(self, position):
        if self.network.inbox:
            self.network.inbox.pop(position % len(self.network.inbox))

    @rule()
    def settle(self):
        self.network.settle()

    @rule(seconds=st.sampled_from([0.05, 0.1, 0.7, 1.3]))
    def advance(self, seconds):
        self.network.advance(seconds)

    @rule(name=NAMES)
    def propose(self, name):
        self.network.propose(name)

    @rule(name=NAMES)
    def read(self, name):
        self.network.read(name)

    @rule(name=NAMES)
    def crash(self, name):
        self.network.crash(name)

    @rule(name=NAMES)
    def crash_before_sync(self, name):
        raft = self.network.rafts.get(name)
        if raft is not None:
            raft.propose(b"lost", self.network.now)
            self.network.process(name, sync=False)

    @rule(name=NAMES)
    def restart(self, name):
        if name not in self.network.rafts:
            self.network.start(name)

    @rule(one=NAMES, other=NAMES)
    def cut_one_way(self, one, other):
        self.network.cut.add((one, other))

    @rule(name=NAMES)
    def isolate(self, name):
        names = self.network.disks
        self.network.cut = {(a, b) for a in names for b in names if name in (a, b)}

    @rule()
    def heal(self):
        self.network.cut.clear()

    @rule(name=NAMES)
    def elect(self, name):
        """Let one replica stand while the others listen."""
        raft = self.network.rafts.get(name)
        if raft is not None:
            self.network.now += 1.3
            raft.tick(self.network.now)
            self.network.process(name)
            self.network.settle()

    @invariant()
    def logs_match(self):
        self.network.check_logs()


class VotesTwice(Raft):
    """Planted fault: a vote is given to every candidate of the term."""

    def on_vote_request(self, message, now):
        if message.pre_vote or message.term < self.term:
            return super().on_vote_request(message, now)
        if message.term > self.term:
            self.step_down(now, message.term)
        reply = VoteReply(self.term, self.identity, True, False)
        return self.send_when_durable(message.candidate, reply)


class CommitsAlone(Raft):
    """Planted fault: the leader commits what only it holds."""

    def advance_commit(self, now):
        self.commit = max(self.commit, self.durable_index)


class ReadsUnconfirmed(Raft):
    """Planted fault: a leader answers reads without asking whether it still leads."""

    def read(self, token, now):
        self.ready.reads.append((token, self.is_leader))


def test_promises_hold():
    run_state_machine_as_test(Agreement, settings=BUDGET)


@pytest.mark.parametrize("fault", [VotesTwice, CommitsAlone])
def test_planted_fault_is_reported(fault):
    machine = type("Faulty", (Agreement,), {"raft_class": fault})
    search = settings(BUDGET, max_examples=4000, stateful_step_count=150, phases=[Phase.generate])
    with pytest.raises(Violation):
        run_state_machine_as_test(machine, settings=search)


def stale_leader(raft_class):
    """Cut the leader off, let the others move on, and read from the one that is cut off."""
    network = Network(raft_class=raft_class)
    elect(network, "r0#0")
    network.cut = {(a, b) for a in network.disks for b in network.disks if "r0#0" in (a, b)}
    network.rafts["r1#0"].tick(network.now + 2)
    network.now += 2
    network.process("r1#0")
    network.settle()
    network.propose("r1#0")
    network.settle()
    network.read("r0#0")
    return network


def elect(network, name):
    """Make a replica the leader."""
    network.now += 2.0
    network.rafts[name].tick(network.now)
    network.process(name)
    network.settle(200)
    assert network.rafts[name].is_leader


def test_cut_off_leader_never_answers_a_read():
    network = stale_leader(Raft)
    assert network.rafts["r1#0"].is_leader and network.rafts["r0#0"].is_leader
    network.advance(1.3)
    assert not network.rafts["r0#0"].is_leader


def test_planted_unconfirmed_read_is_reported():
    with pytest.raises(Violation, match="stale"):
        stale_leader(ReadsUnconfirmed)


def test_commit_needs_a_quorum():
    network = Network()
    elect(network, "r0#0")
    before = network.rafts["r0#0"].commit
    network.cut = {("r0#0", "r1#0"), ("r0#0", "r2#0")}
    network.propose("r0#0")
    network.settle()
    assert network.rafts["r0#0"].commit == before


def test_hand_over_moves_the_lead():
    network = Network()
    elect(network, "r0#0")
    assert network.rafts["r0#0"].transfer_leadership(network.now)
    network.process("r0#0")
    network.settle(200)
    leader = network.leader()
    assert leader.identity != "r0#0" and leader.term == 2


def test_learner_gets_a_vote_once_caught_up_and_replaces_its_lost_namesake():
    network = Network()
    elect(network, "r0#0")
    network.propose("r0#0")
    network.settle(200)
    network.crash("r2#0")
    leader = network.rafts["r0#0"]
    joined = "r2#1"
    network.disks[joined] = type(network.disks["r0#0"])()
    network.start(joined)
    leader.change_members(Members(leader.members.voters, {joined: joined}), network.now)
    network.process("r0#0")
    for _ in range(20):
        network.advance(0.1)
        network.settle(200)
    assert set(leader.members.voters) == {"r0#0", "r1#0", joined}
    assert leader.members_index <= leader.commit
    network.crash("r1#0")
    network.propose("r0#0")
    network.settle(200)
    assert leader.commit == leader.log.last_index


def test_replica_without_a_vote_never_stands():
    network = Network()
    network.disks["new#1"] = type(network.disks["r0#0"])()
    network.start("new#1")
    network.now += 5
    network.rafts["new#1"].tick(network.now)
    assert network.rafts["new#1"].role == "follower"


def test_one_change_of_members_at_a_time():
    network = Network()
    elect(network, "r0#0")
    leader = network.rafts["r0#0"]
    network.cut = {("r0#0", "r1#0"), ("r0#0", "r2#0")}
    voters = leader.members.voters
    assert leader.change_members(Members(voters, {"a#1": "a"}), network.now) is not None
    assert leader.change_members(Members(voters, {"b#1": "b"}), network.now) is None


def test_replica_without_a_vote_waits_instead_of_waking_at_once():
    raft = Raft("r9#0", Members({"r0#0": "r0"}), rng=Random(1), now=0.0)
    late = raft.next_tick_at() + 5.0
    raft.tick(late)
    assert raft.next_tick_at() > late


def network_with_learner():
    """Return a network of three voters at most, its leader's name, and a learner beside them."""
    network = Network()
    network.disks["r3#0"] = Disk(members=Members())
    network.start("r3#0")
    for raft in network.rafts.values():
        raft.max_voters = 3
    pass_time(network, 30)
    leader = network.leader()
    learners = Members(leader.members.voters, {"r3#0": "r3#0"})
    assert leader.change_members(learners, network.now) is not None
    network.process(leader.identity)
    return network


def pass_time(network, steps):
    for _ in range(steps):
        network.advance(0.1)
        network.settle(200)


def test_learner_takes_the_place_of_a_voter_out_of_reach_when_there_are_enough_voters():
    network = network_with_learner()
    pass_time(network, 10)
    leader = network.leader().identity
    network.crash(next(name for name in network.rafts if name not in (leader, "r3#0")))
    pass_time(network, 60)
    members = network.leader().members
    assert set(members.voters) == set(network.rafts)
    assert members.learners == {}


def test_learner_stays_one_while_every_voter_is_in_reach():
    network = network_with_learner()
    pass_time(network, 60)
    members = network.leader().members
    assert len(members.voters) == 3
    assert list(members.learners) == ["r3#0"]
