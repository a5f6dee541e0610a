"""Measures crash evidence; run it by hand, see docs/notes/crash_evidence.md.

python libs/admission/tests/evidence_cost.py cost
python libs/admission/tests/evidence_cost.py fleet RATE FIRST_SEED SEEDS
"""

import sys
import timeit
from collections import Counter

from celeryfork_admission.crash_evidence import make_crash_evidence, make_part_trait
from test_crash_evidence_fleet import SHARED, TRANSIT_S, Fleet

CALLS = 20_000
ROUNDS = 5


def print_cost(label, evidence, traits):
    """Print the least time of each call for one request with these traits."""
    evidence.record_sound(traits)
    calls_by_name = {
        "judge": lambda: evidence.judge(traits, "a"),
        "has_unknown": lambda: evidence.has_unknown(traits),
        "record_sound": lambda: evidence.record_sound(traits),
    }
    for name, call in calls_by_name.items():
        least_s = min(timeit.repeat(call, number=CALLS, repeat=ROUNDS)) / CALLS
        print(f"{label}: {name} {least_s * 1e6:.1f} us")


def print_costs():
    """Print the costs for a request with four parts."""
    traits = [make_part_trait("service", f"part-{number}") for number in range(4)]
    print_cost("no records", make_crash_evidence(), traits)
    others = make_crash_evidence()
    for number in range(500):
        other = make_part_trait("service", f"other-{number}")
        others.record_crash([other], f"run-{number}", "a", probe=False)
    print_cost("500 other suspects", others, traits)
    cleared = make_crash_evidence()
    cleared.record_crash(traits, "run", "a", probe=False)
    print_cost("its parts were cleared", cleared, traits)
    refused = make_crash_evidence()
    for number in range(8):
        refused.record_crash(traits, f"run-{number}", "a", probe=False)
    call_s = timeit.timeit(lambda: refused.judge(traits, "a"), number=CALLS) / CALLS
    print(f"its parts are convicted: judge {call_s * 1e6:.1f} us")


def print_fleet(rate, first_seed, seeds):
    """Print how many engines ended, and which sound requests were refused."""
    ended, early, late, served = Counter(), 0, {}, 0
    for seed in range(first_seed, first_seed + seeds):
        fleet = Fleet(seed, rate)
        fleet.run(20.0)
        ended[len(fleet.crashed)] += 1
        known_s = (fleet.convicted_s or fleet.now_s) + TRANSIT_S
        refused = [at_s for at_s, request in fleet.refused if not request.deadly]
        after = sum(at_s > known_s for at_s in refused)
        early += len(refused) - after
        late |= {seed: after} if after else {}
        served += sum(SHARED in request.traits for request in fleet.served)
    print(f"runs by engines ended: {dict(sorted(ended.items()))}")
    print(f"sound requests refused: {early}, and later by seed: {late}")
    print(f"served with the shared part: {served}")


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["fleet", rate, first_seed, seeds]:
            print_fleet(float(rate), int(first_seed), int(seeds))
        case _:
            print_costs()
