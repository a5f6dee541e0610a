"""Cost of balancing at 9 domains and 588 engines of a model; run it by hand.

PYTHONPATH=libs/entry/tests/support python libs/entry/tests/balance_cost.py
"""

import time
from types import SimpleNamespace

from attrs import evolve
from celeryfork_base.counters import Counters
from celeryfork_entry.domain_balance import DomainBalance
from celeryfork_entry.settings import Mode
from celeryfork_routing.domain_shares import DomainLoad, DomainShares
from celeryfork_routing.engine_loads import EngineLoads, Load, domain_report_key
from celeryfork_routing.layer_paths import PathEngine
from celeryfork_routing.layers import LayerRange, room_for_requests
from small_model import SHAPE

DOMAINS, ENGINES, INSTANCES, MEMBERS = 9, 588, 690, 76
WIDE_SHAPE = evolve(SHAPE, layers=80, layer_mb=10.0)


def make_balance(mode, own_fill):
    """Return the balance of a relay, with reports of its domain and of all others."""
    ranges = [LayerRange(first, first + 10) for first in range(0, 80, 10)]
    engines = [
        PathEngine(f"e{n}", "", f"d{n % DOMAINS}", "card", ranges[n // DOMAINS % 8])
        for n in range(ENGINES)
    ]
    card = WIDE_SHAPE.accelerators_by_name["card"]
    room = room_for_requests(WIDE_SHAPE, card, 10)
    loads, now_s = EngineLoads(), time.monotonic() + 1e6
    for number in range(DOMAINS):
        fill = own_fill if number == 0 else 0.2
        near = [each for each in engines if each.domain == f"d{number}"]
        senders = [domain_report_key(f"d{number}")]
        if number == 0:
            senders = [f"member-{member}" for member in range(MEMBERS)]
        for sender in senders:
            load = Load(20, fill * room / len(senders))
            loads.set_peer_report(sender, {each.id: load for each in near}, now_s)
    context = SimpleNamespace(
        domain="d0", instance_count=lambda: INSTANCES, counters=Counters(),
        log=SimpleNamespace(info=lambda *_, **__: None),
    )  # fmt: skip
    return DomainBalance(mode, "d0-1", context, loads), engines, now_s


def measure(label, mode, own_fill, rounds=24):
    """Print the processor time of an update and of a decision between updates."""
    balance, engines, now_s = make_balance(mode, own_fill)
    begun = time.process_time()
    for number in range(rounds):
        at_s = now_s + number * 0.1
        if number:
            balance._by_service["llm"].update_s = 0.0
        balance.pick("llm", WIDE_SHAPE, lambda: engines, at_s)
    update_ms = (time.process_time() - begun) / rounds * 1000
    begun, picks = time.process_time(), 100_000
    for _ in range(picks):
        balance.pick("llm", WIDE_SHAPE, lambda: engines, at_s)
    pick_us = (time.process_time() - begun) / picks * 1e6
    print(f"{label}: {update_ms:.2f} ms an update, {pick_us:.2f} us a decision")


def measure_shares(rounds=1_000):
    """Print the processor time of the rule by itself."""
    loads = {f"d{n}": DomainLoad(1e5, 8e4, 2e4, 600.0) for n in range(1, DOMAINS)}
    loads["d0"] = DomainLoad(1e5, 2e4, 8e4, 1_300.0)
    shares, begun = DomainShares(), time.process_time()
    for number in range(rounds):
        shares.update("d0", loads, number / 10)
    print(f"rule: {(time.process_time() - begun) / rounds * 1e6:.0f} us an update")


if __name__ == "__main__":
    measure("uneven loads", Mode.AUTO, 0.8)
    measure("even loads", Mode.AUTO, 0.2)
    measure_shares()
