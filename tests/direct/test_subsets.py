"""Subsets of agents: bounded for each node at any size of the fleet, and stable under changes.

Pattern: a fleet that grows tenfold at a constant number of workers for each entry.
"""

import pytest

from onyxfork.direct.subsets import (
    AGENTS_PER_ENTRY,
    AGENTS_PER_LABEL,
    ANY_LABEL,
    ENTRIES_PER_AGENT,
    HashRing,
    SubsetTable,
)

WORKERS_PER_RACK = 13
ZONES = 6


def make_table(entry_count, agent_count):
    table = SubsetTable()
    entries = {f"entry-{number}": f"zone-{number % ZONES}" for number in range(entry_count)}
    agents = {f"agent-{number}": f"zone-{number % ZONES}" for number in range(agent_count)}
    labels = {
        f"agent-{number}": frozenset({"a", f"rack-{number // WORKERS_PER_RACK}"})
        for number in range(agent_count)
    }
    table.update(entries, agents, labels)
    return table


def all_subsets(table, **options):
    return {entry: table.agents_for(entry, **options) for entry in table.entries.zones}


@pytest.mark.parametrize(("entries", "agents"), [(35, 160), (350, 1600)])
def test_connections_of_a_node_do_not_grow_with_the_fleet(entries, agents):
    subsets = all_subsets(make_table(entries, agents))
    agents_per_entry = ENTRIES_PER_AGENT * agents / entries + AGENTS_PER_ENTRY
    assert max(map(len, subsets.values())) <= 2.5 * agents_per_entry
    sessions = [sum(agent in subset for subset in subsets.values()) for agent in ("agent-0",)]
    mean = sum(map(len, subsets.values())) / agents
    assert mean <= ENTRIES_PER_AGENT + AGENTS_PER_ENTRY * entries / agents
    assert min(sessions) >= ENTRIES_PER_AGENT


def test_every_agent_is_assigned_to_several_entries():
    table = make_table(35, 160)
    subsets = all_subsets(table)
    for agent in table.agents.zones:
        assert sum(agent in subset for subset in subsets.values()) >= ENTRIES_PER_AGENT


def test_half_of_the_chosen_agents_are_in_the_entrys_own_zone():
    table = make_table(35, 160)
    near = sum(
        table.agents.zones[agent] == table.entries.zones[entry]
        for entry, subset in all_subsets(table).items()
        for agent in subset
    )
    assert near >= 0.4 * sum(map(len, all_subsets(table).values()))


def test_small_fleet_is_assigned_whole():
    table = make_table(4, 8)
    assert all(subset == set(table.agents.zones) for subset in all_subsets(table).values())


def test_loss_of_an_agent_changes_only_the_subsets_that_hold_it():
    before, after = make_table(35, 160), make_table(35, 160)
    zones = {name: zone for name, zone in after.agents.zones.items() if name != "agent-7"}
    after.update(after.entries.zones, zones, after.labels)
    former, latter = all_subsets(before), all_subsets(after)
    for entry in former:
        if "agent-7" not in former[entry]:
            assert latter[entry] == former[entry]
        assert len(former[entry] - latter[entry]) <= 1


def test_new_entry_leaves_most_of_the_assignment_as_it_was():
    before, after = make_table(35, 160), make_table(36, 160)
    former, latter = all_subsets(before), all_subsets(after)
    kept = sum(len(former[entry] & latter[entry]) for entry in former)
    assert kept >= 0.9 * sum(map(len, former.values()))


def test_rack_that_many_jobs_want_is_assigned_on_request():
    table = make_table(35, 160)
    rack = {f"agent-{number}" for number in range(WORKERS_PER_RACK)}
    assert not rack <= table.agents_for("entry-1")
    assert rack <= table.agents_for("entry-1", ["rack-0"])


def test_general_shortage_adds_other_agents():
    table = make_table(35, 160)
    usual = table.agents_for("entry-1")
    assert len(table.agents_for("entry-1", [ANY_LABEL])) >= len(usual) + AGENTS_PER_LABEL / 2


def test_label_that_no_worker_has_adds_nothing():
    table = make_table(35, 160)
    assert table.agents_for("entry-1", ["gpu"]) == table.agents_for("entry-1")


def test_changed_labels_are_used():
    table = make_table(35, 160)
    table.agents_for("entry-1", ["gpu"])
    labels = {**table.labels, "agent-9": frozenset({"gpu"})}
    table.update(table.entries.zones, table.agents.zones, labels)
    assert "agent-9" in table.agents_for("entry-1", ["gpu"])


def test_ring_removes_what_it_added():
    ring = HashRing()
    for name in ("a", "b", "c"):
        ring.add(name)
    ring.remove("b")
    ring.remove("missing")
    assert ring.choose("key", 5) == {"a", "c"}
    assert all(name != "b" for _, name in ring.points)
