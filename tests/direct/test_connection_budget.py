"""Load: clients that hold unfinished requests on many connections, beside ordinary callers."""

import logging

from onyxfork.direct.connection_budget import (
    BudgetedConnection,
    ConnectionBudget,
    ConnectionLimit,
    rank_connections,
)
from onyxfork.direct.telemetry import Telemetry
from onyxfork.utils import FakeClock


class Client(BudgetedConnection):
    """A connection that records whether it was closed."""

    def __init__(self, held_bytes=0, unfinished_since=0.0, is_busy=False):
        self.held_bytes = held_bytes
        self.unfinished_since = unfinished_since
        self.is_busy = is_busy
        self.is_closed = False

    def evict(self):
        self.is_closed = True


def make_budget(max_bytes=1000):
    clock = FakeClock(100.0)
    telemetry = Telemetry("entry", "n", "a")
    return ConnectionBudget(max_bytes, telemetry, clock.now), telemetry, clock


def connect(budget, held_bytes):
    client = Client()
    budget.add(client)
    budget.hold(client, held_bytes)
    return client


def test_those_that_hold_most_for_longest_come_first():
    long_small = Client(100, 0.0)
    long_large = Client(200, 0.0)
    new_large = Client(1000, 99.0)
    busy = Client(5000, 0.0, is_busy=True)
    ranked = rank_connections([new_large, busy, long_small, long_large], 100.0)
    assert ranked == [long_large, long_small, new_large, busy]


def test_ordinary_caller_stays_beside_clients_that_hold_unfinished_requests():
    budget, telemetry, clock = make_budget()
    crowd = [connect(budget, 190) for _ in range(5)]
    clock.advance(1.0)
    caller = connect(budget, 60)
    assert not caller.is_closed
    assert sum(client.is_closed for client in crowd) == 1
    assert budget.held_bytes == 4 * 190 + 60
    assert telemetry.counters["connections_evicted", (("cause", "memory"),)] == 1


def test_request_that_alone_exceeds_the_budget_is_closed():
    budget, _, clock = make_budget()
    caller = connect(budget, 50)
    clock.advance(1.0)
    large = connect(budget, 500)
    clock.advance(1.0)
    budget.hold(large, 1001)
    assert large.is_closed and not caller.is_closed
    assert budget.held_bytes == 50


def test_requests_being_handled_are_kept_until_nothing_else_can_be_closed():
    budget, _, clock = make_budget()
    busy = connect(budget, 600)
    busy.is_busy = True
    clock.advance(1.0)
    waiting = connect(budget, 300)
    clock.advance(1.0)
    budget.hold(busy, 700)
    assert not waiting.is_closed
    budget.hold(busy, 800)
    assert waiting.is_closed and not busy.is_closed
    budget.hold(busy, 1001)
    assert busy.is_closed and budget.held_bytes == 0


def test_closed_connection_holds_nothing():
    budget, _, _ = make_budget()
    client = connect(budget, 300)
    budget.remove(client)
    budget.remove(client)
    budget.hold(client, 300)
    assert (budget.held_bytes, len(budget.connections)) == (0, 0)


def test_one_line_a_second_tells_of_closed_connections(caplog):
    caplog.set_level(logging.INFO)
    budget, _, clock = make_budget()
    for _ in range(20):
        clock.advance(0.001)
        connect(budget, 600)
    assert len(caplog.records) == 1


def make_limit(max_connections):
    budget, telemetry, clock = make_budget(10**9)
    return ConnectionLimit(max_connections, budget), telemetry, clock


def admit(limit):
    client = Client()
    limit.budget.add(client)
    return client, limit.admit(client)


def test_connection_that_has_waited_longest_makes_room_for_a_new_one():
    limit, telemetry, _ = make_limit(3)
    first, second, third = (admit(limit)[0] for _ in range(3))
    limit.set_busy(first, True)
    limit.set_busy(first, False)
    _, admitted = admit(limit)
    assert admitted and second.is_closed and not first.is_closed and not third.is_closed
    assert telemetry.counters["connections_evicted", (("cause", "descriptors"),)] == 1
    limit.remove(second)
    _, admitted = admit(limit)
    assert admitted and third.is_closed and not first.is_closed


def test_new_connection_is_refused_when_all_others_have_requests_in_progress():
    limit, _, _ = make_limit(2)
    clients = [admit(limit)[0] for _ in range(2)]
    for client in clients:
        limit.set_busy(client, True)
    late, admitted = admit(limit)
    assert not admitted and not any(client.is_closed for client in clients)
    limit.remove(late)
    limit.remove(clients[0])
    assert admit(limit)[1]


def test_finished_requests_count_from_their_end():
    limit, _, clock = make_limit(2)
    client, _ = admit(limit)
    limit.set_busy(client, True)
    clock.advance(5.0)
    limit.set_busy(client, False)
    assert (client.is_busy, client.unfinished_since) == (False, clock.now())


def test_complete_request_that_waits_for_its_turn_is_not_the_first_to_be_closed():
    limit, _, clock = make_limit(2)
    caller, _ = admit(limit)
    other, _ = admit(limit)
    clock.advance(1.0)
    limit.record_arrival(caller)
    admit(limit)
    assert other.is_closed and not caller.is_closed
    assert caller.unfinished_since == clock.now()
