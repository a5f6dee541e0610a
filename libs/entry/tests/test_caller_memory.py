"""Who yields memory and descriptors when callers use up their share."""

import pytest
from celeryfork_entry.caller_memory import (
    ENTITLED_BYTES,
    LARGE_SHARE,
    MIN_BOUND_BYTES,
    UNKNOWN_BOUND_BYTES,
    YOUNG_S,
    CallerMemory,
    Phase,
    make_caller_memory,
)

BOUND = 32 << 20
BODY = 1 << 20
CROWD = 23


def sender(memory, now_s, reserved=BODY, moved=0):
    """Return the holding of a connection that sends a request of this size."""
    holding = memory.open(now_s)
    holding.begin(Phase.SENDING, now_s)
    assert memory.reserve(holding, reserved)
    holding.record_moved(moved, now_s)
    return holding


def stalled_crowd(memory, now_s=0.0):
    return [sender(memory, now_s, moved=BODY - 1) for _ in range(CROWD)]


def trickle(holding, from_s, until_s, per_s):
    """Move bytes ten times a second."""
    for tenth in range(round(from_s * 10), round(until_s * 10)):
        holding.record_moved(per_s // 10, tenth / 10)


def test_bodies_that_stop_short_of_their_end_yield_to_one_that_goes_on():
    """Their mean pace is higher than that of an ordinary caller on a slow link."""
    memory = CallerMemory(BOUND)
    ordinary = sender(memory, 0.0)
    crowd = stalled_crowd(memory, 0.0)[:-1]
    trickle(ordinary, 0.0, 4.0, 200_000)
    assert set(memory.choose(4.0, BOUND)) >= set(crowd)
    assert ordinary not in memory.choose(4.0, BOUND)


@pytest.mark.parametrize("size", [1_000, ENTITLED_BYTES])
def test_a_crowd_can_not_get_a_small_caller_chosen(size):
    """A rule that compares callers with each other would let a crowd set the scale."""
    memory = CallerMemory(BOUND)
    small = sender(memory, 0.0, reserved=size)
    stalled_crowd(memory, 5.0)
    assert small not in memory.choose(6.5, BOUND)


def test_a_crowd_of_quick_senders_can_not_get_an_ordinary_caller_chosen():
    """Renewed connections that send quickly are always ahead of a slow link."""
    memory = CallerMemory(BOUND)
    ordinary = sender(memory, 0.0)
    trickle(ordinary, 0.0, 6.0, 100_000)
    for _ in range(CROWD - 1):
        sender(memory, 5.9, moved=BODY - 1)
    assert memory.choose(6.0, BOUND) == []


def test_a_trickle_that_would_take_minutes_yields():
    """One byte a second would keep a connection from ever counting as stalled."""
    memory = CallerMemory(BOUND)
    holding = sender(memory, 0.0)
    trickle(holding, 0.0, 5.0, 10)
    assert memory.choose(5.0, 1.0) == [holding]


def test_a_caller_that_waits_for_the_instance_is_not_chosen():
    """It would be closed for the time that its target takes."""
    memory = CallerMemory(BOUND)
    sender(memory, 0.0).begin(Phase.WAITING, 0.1)
    assert memory.choose(30.0, BOUND) == []


def test_only_as_many_go_as_are_needed_and_the_fullest_first():
    """Each refusal costs a caller its request."""
    memory = CallerMemory(BOUND)
    crowd = [sender(memory, 0.0, reserved=count * 100_000) for count in (1, 3, 2)]
    assert memory.choose(YOUNG_S + 1, 200_000) == [crowd[1]]


def test_reservations_keep_to_the_bound_and_leave_small_requests_their_share():
    """Bodies took all memory, and then requests without one weren't served either."""
    memory = CallerMemory(BOUND)
    granted = 0
    while memory.reserve(memory.open(0.0), BODY):
        granted += 1
    assert BOUND * LARGE_SHARE - BODY < granted * BODY <= BOUND * LARGE_SHARE
    assert memory.reserve(memory.open(0.0), 50_000)


def test_a_single_body_is_served_however_large_it_is():
    """The bound of a small machine may be less than a body of legal size."""
    memory = CallerMemory(BOUND)
    assert memory.reserve(memory.open(0.0), 2 * BOUND)
    assert not memory.reserve(memory.open(0.0), BODY)


def test_all_that_was_held_is_released():
    """A leak in the account would refuse all callers in the end."""
    memory = CallerMemory(BOUND)
    for holding in [sender(memory, 0.0, reserved=size) for size in (10, BODY, 50_000)]:
        memory.set_loose(holding, 12_345)
        memory.end(holding)
        memory.end(holding)
    assert (memory.held, memory.large, memory.holdings) == (0, 0, set())


def test_readers_that_stall_go_before_one_that_has_just_begun():
    """An answer that arrives last would be closed for those that aren't read."""
    memory = CallerMemory(BOUND)
    crowd = []
    for begun_s in [0.0] * CROWD + [0.45]:
        holding = memory.open(0.0)
        holding.begin(Phase.READING, begun_s)
        holding.record_moved(80_000, begun_s)
        memory.set_loose(holding, BODY)
        crowd.append(holding)
    ordinary = crowd.pop()
    chosen = memory.choose_readers(0.5)
    assert len(chosen) == CROWD + 1 - BOUND // BODY // 2
    assert ordinary not in chosen


def test_the_longest_idle_connection_makes_room_for_a_new_one():
    """Idle connections held all descriptors."""
    memory = CallerMemory(BOUND)
    busy, newer, older = memory.open(0.0), memory.open(3.0), memory.open(2.0)
    busy.begin(Phase.WAITING, 0.5)
    assert memory.choose_descriptor(5.0) is older
    newer.chosen = older.chosen = True
    assert memory.choose_descriptor(5.0) is None


def test_the_slowest_sender_makes_room_if_none_is_idle():
    """Heads that stop half-way held all descriptors for their time limit."""
    memory = CallerMemory(BOUND)
    quick, slow = (sender(memory, 0.0, reserved=100) for _ in range(2))
    trickle(quick, 0.0, 3.0, 50_000)
    trickle(slow, 0.0, 3.0, 10)
    assert memory.choose_descriptor(3.0) is slow
    slow.chosen = True
    assert memory.choose_descriptor(3.0) is None


@pytest.mark.parametrize(
    ("memory_mb", "bound"),
    [(None, UNKNOWN_BOUND_BYTES), (300, 75_000_000), (10, MIN_BOUND_BYTES)],
)
def test_the_bound_follows_from_the_memory_of_the_instance(memory_mb, bound):
    assert make_caller_memory(memory_mb).bound == bound
