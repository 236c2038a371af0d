"""Consensus is safe under lost, delayed and duplicated messages, partitions and crashes.

Faulty replicas show that the checks find violations.
"""

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


class Consensus(RuleBasedStateMachine):
    """Random schedules of faults and requests over three replicas."""

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
        self.network.deliver_pending()

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

    @rule(sender=NAMES, recipient=NAMES)
    def cut_one_way(self, sender, recipient):
        self.network.blocked_links.add((sender, recipient))

    @rule(name=NAMES)
    def isolate(self, name):
        names = self.network.disks
        self.network.blocked_links = {(a, b) for a in names for b in names if name in (a, b)}

    @rule()
    def heal(self):
        self.network.blocked_links.clear()

    @rule(name=NAMES)
    def elect(self, name):
        """Let one replica hold an election without further faults."""
        raft = self.network.rafts.get(name)
        if raft is not None:
            self.network.now += 1.3
            raft.tick(self.network.now)
            self.network.process(name)
            self.network.deliver_pending()

    @invariant()
    def logs_match(self):
        self.network.check_logs()


class VotesTwice(Raft):
    """Injected fault: grants a vote to every candidate of the term."""

    def on_vote_request(self, message, now):
        if message.pre_vote or message.term < self.term:
            return super().on_vote_request(message, now)
        if message.term > self.term:
            self.step_down(now, message.term)
        reply = VoteReply(self.term, self.identity, True, False)
        return self.send_when_durable(message.candidate, reply)


class CommitsAlone(Raft):
    """Injected fault: the leader commits entries that no other replica has."""

    def advance_commit(self, now):
        self.commit = max(self.commit, self.durable_index)


class ReadsUnconfirmed(Raft):
    """Injected fault: a leader answers reads without confirming its leadership."""

    def read(self, token, now):
        self.ready.reads.append((token, self.is_leader))


def test_safety_properties_hold():
    run_state_machine_as_test(Consensus, settings=BUDGET)


@pytest.mark.parametrize("fault", [VotesTwice, CommitsAlone])
def test_injected_fault_is_detected(fault):
    machine = type("Faulty", (Consensus,), {"raft_class": fault})
    search = settings(BUDGET, max_examples=4000, stateful_step_count=150, phases=[Phase.generate])
    with pytest.raises(Violation):
        run_state_machine_as_test(machine, settings=search)


def read_from_isolated_leader(raft_class):
    """Isolate the leader, commit an entry under a new leader, and read from the isolated one."""
    network = Network(raft_class=raft_class)
    elect(network, "r0#0")
    network.blocked_links = {
        (a, b) for a in network.disks for b in network.disks if "r0#0" in (a, b)
    }
    network.rafts["r1#0"].tick(network.now + 2)
    network.now += 2
    network.process("r1#0")
    network.deliver_pending()
    network.propose("r1#0")
    network.deliver_pending()
    network.read("r0#0")
    return network


def elect(network, name):
    """Make a replica the leader."""
    network.now += 2.0
    network.rafts[name].tick(network.now)
    network.process(name)
    network.deliver_pending(200)
    assert network.rafts[name].is_leader


def test_isolated_leader_never_answers_a_read():
    network = read_from_isolated_leader(Raft)
    assert network.rafts["r1#0"].is_leader and network.rafts["r0#0"].is_leader
    network.advance(1.3)
    assert not network.rafts["r0#0"].is_leader


def test_unconfirmed_read_is_detected():
    with pytest.raises(Violation, match="stale"):
        read_from_isolated_leader(ReadsUnconfirmed)


def test_commit_needs_a_quorum():
    network = Network()
    elect(network, "r0#0")
    commit_before = network.rafts["r0#0"].commit
    network.blocked_links = {("r0#0", "r1#0"), ("r0#0", "r2#0")}
    network.propose("r0#0")
    network.deliver_pending()
    assert network.rafts["r0#0"].commit == commit_before


def test_leadership_transfer_changes_the_leader():
    network = Network()
    elect(network, "r0#0")
    assert network.rafts["r0#0"].transfer_leadership(network.now)
    network.process("r0#0")
    network.deliver_pending(200)
    leader = network.leader()
    assert leader.identity != "r0#0" and leader.term == 2


def test_caught_up_learner_replaces_the_lost_voter_of_the_same_name():
    network = Network()
    elect(network, "r0#0")
    network.propose("r0#0")
    network.deliver_pending(200)
    network.crash("r2#0")
    leader = network.rafts["r0#0"]
    new_voter = "r2#1"
    network.disks[new_voter] = type(network.disks["r0#0"])()
    network.start(new_voter)
    leader.change_members(Members(leader.members.voters, {new_voter: new_voter}), network.now)
    network.process("r0#0")
    for _ in range(20):
        network.advance(0.1)
        network.deliver_pending(200)
    assert set(leader.members.voters) == {"r0#0", "r1#0", new_voter}
    assert leader.members_index <= leader.commit
    network.crash("r1#0")
    network.propose("r0#0")
    network.deliver_pending(200)
    assert leader.commit == leader.log.last_index


def test_replica_without_a_vote_never_becomes_a_candidate():
    network = Network()
    network.disks["new#1"] = type(network.disks["r0#0"])()
    network.start("new#1")
    network.now += 5
    network.rafts["new#1"].tick(network.now)
    assert network.rafts["new#1"].role == "follower"


def test_membership_changes_happen_one_at_a_time():
    network = Network()
    elect(network, "r0#0")
    leader = network.rafts["r0#0"]
    network.blocked_links = {("r0#0", "r1#0"), ("r0#0", "r2#0")}
    voters = leader.members.voters
    assert leader.change_members(Members(voters, {"a#1": "a"}), network.now) is not None
    assert leader.change_members(Members(voters, {"b#1": "b"}), network.now) is None


def test_replica_without_a_vote_restarts_its_election_timer():
    raft = Raft("r9#0", Members({"r0#0": "r0"}), rng=Random(1), now=0.0)
    later = raft.next_tick_at() + 5.0
    raft.tick(later)
    assert raft.next_tick_at() > later


def network_with_learner():
    """Return a network with three voters, which is the maximum, and a learner."""
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
        network.deliver_pending(200)


def test_learner_replaces_an_unreachable_voter_when_there_are_max_voters():
    network = network_with_learner()
    pass_time(network, 10)
    leader = network.leader().identity
    network.crash(next(name for name in network.rafts if name not in (leader, "r3#0")))
    pass_time(network, 60)
    members = network.leader().members
    assert set(members.voters) == set(network.rafts)
    assert members.learners == {}


def test_learner_stays_a_learner_while_every_voter_is_reachable():
    network = network_with_learner()
    pass_time(network, 60)
    members = network.leader().members
    assert len(members.voters) == 3
    assert list(members.learners) == ["r3#0"]
