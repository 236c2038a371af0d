"""Entries with too little processor capacity: what they refuse and when they are not ready."""

from random import Random

from onyxfork.direct.entry_load import EntryLoad, Readiness

TICK_S = 0.02


def play(
    delays_ms, load=None, readiness=None, now=0.0, can_serve=lambda now: True, jobs=9, share=0.33
):
    """Run ticks that are late by these delays; return the times at which readiness changed.

    The process uses `share` of a core meanwhile.
    """
    load, readiness = load or EntryLoad(now, TICK_S), readiness or Readiness()
    changes = []
    for delay_ms in delays_ms:
        now += TICK_S + delay_ms / 1000
        load.record_tick(now, load.used_s + share * (TICK_S + delay_ms / 1000))
        if readiness.update(can_serve(now), load.delay_ms, jobs, now):
            changes.append((round(now, 3), readiness.is_ready))
    return load, readiness, changes


def test_jobs_with_little_slack_are_refused_while_the_loop_is_late():
    """An entry with a third of the processor capacity of the others lags by 40 ms."""
    load, _, _ = play([40.0] * 60)
    assert load.exceeds_share(120.0)
    assert not load.exceeds_share(500.0)


def test_single_pause_of_the_process_refuses_nothing_after_the_next_ticks():
    load, _, changes = play([0.0] * 50 + [1000.0] + [1.0] * 5)
    assert not load.exceeds_share(100.0)
    assert changes == [(TICK_S, True)]


# Guards against refusals as overload right after a pause, which stopped with the next ticks only.
def test_pauses_of_the_process_are_not_load_however_often_they_come():
    load, readiness = EntryLoad(0.0, TICK_S), Readiness()
    for _ in range(9):
        for delay_ms, share in [(500.0, 0.01), *[(1.0, 0.1)] * 60]:
            _, _, changes = play([delay_ms], load, readiness, load.ticked_at, share=share)
            assert load.delay_ms < 2.0 and not load.exceeds_share(100.0)
            assert all(is_ready for _, is_ready in changes)


def test_process_that_always_gets_too_little_time_is_overloaded():
    load, _, changes = play([300.0] * 12, share=0.05)
    assert load.exceeds_share(1000.0)
    assert [ready for _, ready in changes] == [True, False]


def test_pause_does_not_hide_the_load_before_and_after_it():
    load, _, _ = play([40.0] * 60)
    play([500.0], load, now=load.ticked_at, share=0.01)
    assert load.exceeds_share(120.0)
    play([40.0] * 5, load, now=load.ticked_at)
    assert load.exceeds_share(120.0)


def test_noise_of_a_shared_processor_changes_nothing():
    """Ticks up to 25 ms late, with a pause of 80 ms in each second, over two minutes."""
    rng = Random(3)
    load, readiness = EntryLoad(0.0, TICK_S), Readiness()
    for number in range(1, 4000):
        delay_ms = rng.uniform(0.0, 25.0) if number % 35 else 80.0
        _, _, changes = play([delay_ms], load, readiness, load.ticked_at)
        assert not load.exceeds_share(100.0)
        assert not changes or number == 1


def test_late_loop_makes_the_entry_not_ready_until_it_has_been_punctual_for_a_second():
    load, readiness, changes = play([150.0] * 12)
    assert [ready for _, ready in changes] == [True, False]
    now = load.ticked_at
    _, _, changes = play([0.0] * 200, load, readiness, now)
    assert [ready for _, ready in changes] == [True]
    assert 1.0 <= changes[0][0] - now <= 2.0


def test_permanent_overload_leaves_the_entry_ready_half_of_the_time():
    """All entries are overloaded: if all stayed not ready, no caller would get an answer."""
    _, _, changes = play([150.0] * 240)
    spans = [
        later[0] - earlier[0] for earlier, later in zip(changes[1:], changes[2:], strict=False)
    ]
    assert len(spans) >= 5 and all(4.5 <= span <= 6.0 for span in spans)


def test_delay_without_open_jobs_does_not_make_the_entry_not_ready():
    """The machine is busy with other processes; fewer connections would not change that."""
    assert [ready for _, ready in play([150.0] * 60, jobs=0)[2]] == [True]


def test_workers_that_come_and_go_change_readiness_at_most_once_a_second():
    """The only worker of an entry alternates between suspect and ready every 0.1 s."""
    _, _, changes = play([0.0] * 500, can_serve=lambda now: int(now * 10) % 2 == 0)
    times = [time for time, _ in changes]
    assert all(later - earlier >= 1.0 for earlier, later in zip(times, times[1:], strict=False))
