"""Cost of a path search and of the ramp-up's decisions, in us of processor time.

Run as a program: ``python libs/entry/tests/ramp_up_cost.py``. It prints the time of a
search without a ramp-up, with one while no target is ramping, and while some are; then
that of the decisions by themselves, and the memory of the ramps.
"""

import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent / "support"))

from celeryfork_entry.path_selector import PathSelector  # noqa: E402
from celeryfork_entry.settings import Mode  # noqa: E402
from celeryfork_entry.target_ramp_up import make_target_ramp_up  # noqa: E402
from celeryfork_entry.targets import Listed, Target  # noqa: E402
from celeryfork_routing.engine_loads import EngineLoads  # noqa: E402
from celeryfork_routing.layers import LayerRange  # noqa: E402
from stream_trial import LAYERS, Caller, Trial  # noqa: E402

ENGINES, RAMPING, ROUNDS, REPEATS = 96, 4, 300, 7
MANY_RAMPING = 1_100
"""A domain of 10,000 engines in 9 domains."""


def us_per_call(work, rounds=ROUNDS):
    best = float("inf")
    for _ in range(REPEATS):
        begun_s = time.process_time()
        for _ in range(rounds):
            work()
        best = min(best, time.process_time() - begun_s)
    return best / rounds * 1e6


def make_trial(mode, ramping):
    trial = Trial(instances=60)
    targets = [
        Target(
            f"e{n}", "llm", f"10.0.0.{n}:1", "abc"[n % 3], accelerator="card",
            held=LayerRange(n // 3 % 4 * 2, n // 3 % 4 * 2 + 2), born_ms=1,
        )
        for n in range(ENGINES)
    ]  # fmt: skip
    trial.table.apply([Listed(each) for each in targets])
    trial.context.ramp_up = make_target_ramp_up(
        mode, trial.table, trial.context.log, "i1", "a", lambda: 60
    )
    for n in range(ramping):
        trial.table.exclude(f"e{n}", "silent", 0.0)
        trial.table.succeeded(f"e{n}")
    return trial


def search_us(mode, ramping):
    trial = make_trial(mode, ramping)
    selector = PathSelector(trial.context, EngineLoads())
    call = trial.call(Caller(), "r1", 1e6)
    assert LAYERS == 8
    assert selector._find(call) is not None
    return us_per_call(lambda: selector._find(call))


def begin_many():
    """Return a trial with many ramping targets, its ramp-up, and the us for each."""
    trial = Trial(instances=690)
    ramp_up = make_target_ramp_up(
        Mode.AUTO, trial.table, trial.context.log, "i1", "a", lambda: 690
    )
    ramp_up._first_request_s = 0.0
    begun_s = time.process_time()
    for n in range(MANY_RAMPING):
        trial.table.apply([Listed(Target(f"e{n}", "desk", f"10.0.0.1:{n}", "a"))])
    return trial, ramp_up, (time.process_time() - begun_s) / MANY_RAMPING * 1e6


def decisions():
    trial, ramp_up, began_us = begin_many()
    tracemalloc.start()
    begin_many()
    memory_mb = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()
    call = trial.call(Caller(), "r1", 1e6)
    target = trial.table.by_id["e0"]

    def send():
        ramp_up.held_back(time.monotonic())
        run = ramp_up.begin_plain(call.ramp_request, target)
        ramp_up.record_answer(run)
        ramp_up.end(run)

    print(f"listing with the begin of a ramp: {began_us:.1f} us")
    print(f"{MANY_RAMPING} listed and ramping: {memory_mb:.1f} MB with the trial")
    print(f"choice, start, answer and end of a request: {us_per_call(send):.1f} us")


if __name__ == "__main__":
    for name, mode, ramping in (
        ("off", Mode.OFF, 0),
        ("auto, none ramping", Mode.AUTO, 0),
        ("auto, some ramping", Mode.AUTO, RAMPING),
    ):
        print(f"search of {ENGINES} engines, {name}: {search_us(mode, ramping):.1f} us")
    decisions()
