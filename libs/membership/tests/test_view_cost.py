"""Cost of the target view with up to 10,000 targets.

Run as a program, it prints one line of costs for each number of targets.
"""

import time

import pytest
from attrs import evolve, frozen
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_membership.targets import Reset, make_target_view
from celeryfork_membership.update_store import make_update_store
from celeryfork_platform.model import Instance, InstanceList

MODEL_COUNT = 17


@frozen
class Cost:
    """CPU time: milliseconds for list updates, microseconds for the other calls."""

    initial_update_ms: float
    unchanged_update_ms: float
    update_with_10_changes_ms: float
    eligible_targets_us: float
    eligible_targets_after_change_us: float
    observe_us: float


def measure(count: int) -> Cost:
    clock, counters = SystemClock(), Counters()
    view = make_target_view(clock, counters, make_update_store(clock, counters), "d0")
    by_id = {f"e{number}": make_instance(number) for number in range(count)}
    initial_s = cpu_seconds(lambda: view.update_from_list(InstanceList(1, by_id)))
    copy = {target_id: evolve(listed) for target_id, listed in by_id.items()}
    unchanged_s = cpu_seconds(lambda: view.update_from_list(InstanceList(2, copy)))
    for number in range(10):
        copy[f"e{number}"] = evolve(copy[f"e{number}"], incarnation=2)
    changed_s = cpu_seconds(lambda: view.update_from_list(InstanceList(3, copy)))
    view.eligible_targets("m1")
    cached_s = (
        cpu_seconds(lambda: [view.eligible_targets("m1") for _ in range(1000)]) / 1000
    )
    view.observe("e1", Reset())
    observe_s = cpu_seconds(lambda: view.observe("e1", Reset()))
    rebuilt_s = cpu_seconds(lambda: view.eligible_targets("m1"))
    return Cost(
        initial_s * 1e3,
        unchanged_s * 1e3,
        changed_s * 1e3,
        cached_s * 1e6,
        rebuilt_s * 1e6,
        observe_s * 1e6,
    )


def cpu_seconds(action: object) -> float:
    started_s = time.process_time()
    action()  # type: ignore[operator]
    return time.process_time() - started_s


def make_instance(number: int) -> Instance:
    first = 12 * (number // MODEL_COUNT % 4)
    return Instance(
        id=f"e{number}",
        role="engine",
        target=f"m{number % MODEL_COUNT}",
        domain=f"d{number % 9}",
        address=f"10.0.{number // 250}.{number % 250}:7000",
        state="live",
        incarnation=1,
        attributes={"first_layer": first, "last_layer": first + 12},
    )


@pytest.mark.slow
def test_read_cost_is_independent_of_number_of_targets() -> None:
    few, many = measure(100), measure(10_000)
    assert many.eligible_targets_us < 5 * few.eligible_targets_us
    assert many.unchanged_update_ms < 1000


if __name__ == "__main__":
    for count in (100, 1_000, 10_000):
        print(count, measure(count), flush=True)
