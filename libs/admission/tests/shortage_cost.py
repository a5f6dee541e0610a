"""Measures a decision under a shortage; run it by hand, see docs/design/admission.md.

python libs/admission/tests/shortage_cost.py
"""

import random
import timeit
import tracemalloc

from celeryfork_admission.returns import MAX_ENTRIES, ReturnRegistry
from celeryfork_admission.service_load import (
    DemandRow,
    ServiceDemand,
    ServiceLoad,
    Urgency,
)
from celeryfork_admission.shortage import (
    ArrivingRequest,
    ShortagePolicy,
)
from celeryfork_routing.room import Room

ORGANISATIONS = 24_000
URGENCIES = [Urgency(first, second) for first in range(2) for second in range(3)]
DECISIONS = 200_000
DECISIONS_PER_S = 100
"""Streams that arrive at one of 690 instances at 47,000 requests a second, and some."""


def make_load():
    """Return a shortage with 16 organisations and the rest of each urgency."""
    rows = [
        DemandRow(URGENCIES[n % 6], f"org-{n}", 5_000.0, 50.0) for n in range(16)
    ] + [DemandRow(each, None, 50_000.0, 500.0, 4_000) for each in URGENCIES]
    demand = ServiceDemand("llm", tuple(rows), 150_000.0, 150_000.0)
    return ServiceLoad(Room(1_000_000.0, 10_000.0), demand, 0.5, 690, True)


def main():
    """Print the mean time of a decision with its updates, and the memory."""
    chance = random.Random(1)
    requests = [
        ArrivingRequest(
            chance.choice(URGENCIES),
            f"org-{chance.randrange(ORGANISATIONS)}",
            chance.uniform(50.0, 20_000.0),
            0.5,
            20.0,
        )
        for _ in range(ORGANISATIONS)
    ]
    load = make_load()
    tracemalloc.start()
    policy, registry = ShortagePolicy("i1", lambda organisation: 1.0), ReturnRegistry()

    def decide_all():
        for number in range(DECISIONS):
            now_s = number / DECISIONS_PER_S
            policy.update(load, now_s)
            registry.is_due(number, now_s)
            policy.decide(requests[number % ORGANISATIONS], now_s)
            registry.record_refusal(number, now_s, now_s)

    decide_all()
    print(f"memory {tracemalloc.get_traced_memory()[0] / 1e6:.2f} MB")
    tracemalloc.stop()
    policy = ShortagePolicy("i1", lambda organisation: 1.0)
    spent_s = timeit.timeit(decide_all, number=1) / DECISIONS
    print(f"decision {spent_s * 1e6:.1f} us, at {DECISIONS_PER_S} a second")
    print(f"{len(registry)} of {MAX_ENTRIES} refusals remembered")


if __name__ == "__main__":
    main()
