"""Time and memory at the two-year size, on one thread."""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import TypeVar

from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_config.measure import measure_fold
from celeryfork_membership.targets import TargetView, make_target_view
from celeryfork_membership.update_store import UpdateStore, make_update_store
from celeryfork_platform.model import Instance, InstanceList

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure

TARGETS = 10_000
MODELS = 17
DOMAINS = 9
ORGANISATIONS = 24_000
QUICK_ORGANISATIONS = 3_000
PEERS = 690
NEWS_A_PEER = 4
NEWS_TTL_S = 60.0
READS = 1000

Part = TypeVar("Part")


def run(context: Context) -> Sequence[Figure]:
    """Return the figures of the view, the configuration and the news."""
    organisations = QUICK_ORGANISATIONS if context.quick else ORGANISATIONS
    return [*_view(), *_configuration(organisations), *_news()]


def _view() -> list[Figure]:
    instances = InstanceList(1, {f"e{n}": _instance(n) for n in range(TARGETS)})
    view, first_s, held_bytes = _measured(
        _make_view, lambda v: v.update_from_list(instances)
    )
    again = InstanceList(2, {f"e{n}": _instance(n) for n in range(TARGETS)})
    again_s = _seconds(lambda: view.update_from_list(again))
    view.eligible_targets("m1")
    read_s = (
        _seconds(lambda: [view.eligible_targets("m1") for _ in range(READS)]) / READS
    )
    prefix = f"view of {TARGETS:,} targets"
    return [
        Figure(f"{prefix}, first list", first_s * 1e3, "ms of processor"),
        Figure(f"{prefix}, same list again", again_s * 1e3, "ms of processor"),
        Figure(f"{prefix}, choice read", read_s * 1e6, "us of processor"),
        Figure(f"{prefix}, memory", held_bytes / 1e6, "MB"),
    ]


def _configuration(organisations: int) -> list[Figure]:
    return [
        Figure(f"configuration, {measure.name}", measure.value, measure.unit)
        for measure in measure_fold(organisations)
    ]


def _news() -> list[Figure]:
    sender = make_update_store(SystemClock(), Counters(), "sender")
    for peer in range(PEERS):
        for number in range(NEWS_A_PEER):
            subject = f"peer-{peer}/{number}"
            sender.publish("bench", subject, {"seconds": number}, NEWS_TTL_S)
    pieces = sender.all_updates(PEERS * NEWS_A_PEER)
    board, first_s, held_bytes = _measured(_make_board, lambda b: b.receive(pieces))
    known_s = _seconds(lambda: board.receive(pieces))
    prefix = f"news of {PEERS} peers"
    return [
        Figure(f"{prefix}, new piece", first_s / len(pieces) * 1e6, "us of processor"),
        Figure(
            f"{prefix}, known piece", known_s / len(pieces) * 1e6, "us of processor"
        ),
        Figure(f"{prefix}, memory", held_bytes / 1e6, "MB"),
    ]


def _measured(
    make: Callable[[], Part], fill: Callable[[Part], object]
) -> tuple[Part, float, int]:
    """Return a filled part, processor seconds, and bytes held by a second one."""
    part = make()
    seconds = _seconds(lambda: fill(part))
    traced = make()
    tracemalloc.start()
    fill(traced)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return part, seconds, held_bytes


def _seconds(work: Callable[[], object]) -> float:
    began_s = time.process_time()
    work()
    return time.process_time() - began_s


def _make_view() -> TargetView:
    clock, counters = SystemClock(), Counters()
    return make_target_view(clock, counters, make_update_store(clock, counters), "d0")


def _make_board() -> UpdateStore:
    return make_update_store(SystemClock(), Counters(), "receiver")


def _instance(number: int) -> Instance:
    first = 12 * (number // MODELS % 4)
    return Instance(
        id=f"e{number}",
        role="engine",
        target=f"m{number % MODELS}",
        domain=f"d{number % DOMAINS}",
        address=f"10.0.{number // 250}.{number % 250}:7000",
        state="live",
        incarnation=1,
        attributes={"first_layer": first, "last_layer": first + 12},
    )


SIZE = Experiment("size", run, each_deployment=False)
