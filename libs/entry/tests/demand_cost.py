"""Measures the exchange of demand; run it by hand, see docs/design/admission.md.

python libs/entry/tests/demand_cost.py traffic [usual | shortage] [SERVICES]
python libs/entry/tests/demand_cost.py time
"""

import random
import sys
import timeit
import tracemalloc
from collections import Counter
from itertools import accumulate
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

sys.path.insert(0, str(Path(__file__).resolve().parent / "support"))

import small_model  # noqa: E402
from attrs import evolve  # noqa: E402
from celeryfork_admission.demand import DemandMeter, merge_demand  # noqa: E402
from celeryfork_admission.service_load import Urgency  # noqa: E402
from celeryfork_entry.demand_exchange import DemandExchange  # noqa: E402
from celeryfork_entry.load_knowledge import LoadKnowledge  # noqa: E402
from celeryfork_entry.peer_protocol import REPORT_INTERVAL_S  # noqa: E402
from celeryfork_entry.ports import Peer  # noqa: E402
from celeryfork_entry.roster import Roster  # noqa: E402
from celeryfork_routing.engine_loads import EngineLoads, Load  # noqa: E402
from celeryfork_routing.layer_paths import PathEngine  # noqa: E402
from celeryfork_routing.layers import LayerRange  # noqa: E402
from instance_network import Network  # noqa: E402
from orjson import dumps, loads  # noqa: E402

DOMAINS = tuple(f"domain-{number}" for number in range(9))
SIZES = (77, 77, 77, 77, 77, 77, 76, 76, 76)
REQUESTS_PER_S = 47_000
ORGANISATIONS = 24_000
ENGINES = 10_000
WARM_UP_S, MEASURED_S = 4, 4
URGENCIES = [Urgency(first, second) for first in (0, 1) for second in (0, 1, 2)]
KIB = 1024


class Arrivals:
    """Requests of organisations whose shares fall with their rank (Zipf)."""

    def __init__(self, services=1, seed=1):
        self.draw = random.Random(seed)
        self.services = [f"model-{number}" for number in range(services)]
        self.names = [f"organisation-{n}" for n in range(ORGANISATIONS)]
        self.weights = list(accumulate(1 / (1 + n) for n in range(ORGANISATIONS)))

    def record(self, meter, count, begin_s, seconds):
        names = self.draw.choices(self.names, cum_weights=self.weights, k=count)
        for number, name in enumerate(names):
            now_s = begin_s + seconds * number / count
            service, tokens = self.draw.choice(self.services), self.draw.randrange(2000)
            urgency = self.draw.choice(URGENCIES)
            meter.record_arrival(service, urgency, name, tokens, now_s)
            meter.record_admission(service, tokens, now_s)
            meter.record_release(service, tokens, now_s)


def print_traffic(is_short, services):
    """Print the bytes a second that the fields of the demand take."""
    now_s = [1000.0]
    network = Network(SIZES, DOMAINS, lambda: now_s[0])
    arrivals = Arrivals(services)
    count = REQUESTS_PER_S * REPORT_INTERVAL_S / sum(SIZES)
    sent, received, fields = Counter(), Counter(), Counter()
    for instance in network.by_address.values():
        instance.demand.is_short = lambda service, now_s: is_short
    host_sizes = {}
    with patch("time.monotonic", lambda: now_s[0]):
        for tick in range(int((WARM_UP_S + MEASURED_S) / REPORT_INTERVAL_S)):
            for instance in network.by_address.values():
                meter = instance.demand.meter
                arrivals.record(meter, round(count), now_s[0], REPORT_INTERVAL_S)
            now_s[0] += REPORT_INTERVAL_S
            network.report(1)
            if tick * REPORT_INTERVAL_S >= WARM_UP_S:
                for name, datagrams in network.sent_by_name.items():
                    for to, data in datagrams:
                        size = host_sizes.get(data)
                        if size is None:
                            size = host_sizes[data] = field_sizes(data)
                        sent[name] += sum(size.values())
                        received[to] += sum(size.values())
                        fields.update(size)
            network.sent_by_name.clear()
            host_sizes.clear()
    instances = sum(SIZES)
    print(f"{'shortage' if is_short else 'usual'}, {services} services, bytes/s:")
    print(f"  mean of all instances {sum(sent.values()) / MEASURED_S / instances:.0f}")
    for field, size in fields.items():
        print(f"    of it {field}: {size / MEASURED_S / instances:.0f}")
    print(f"  received at most {max(received.values()) / MEASURED_S:.0f}")
    by_most = sent.most_common()
    print(f"  sent at most {by_most[0][1] / MEASURED_S:.0f}, by {by_most[0][0]}")
    print(
        f"  sent by the median instance {by_most[instances // 2][1] / MEASURED_S:.0f}"
    )


def field_sizes(data):
    """Return the bytes of each field of a datagram that tells a demand."""
    message = loads(data)
    if b'"demand' not in data:
        return {}
    kind = "digest" if "revision" in message else "report"
    return {
        f"{name} of a {kind}": len(dumps({name: message[name]})) - 1
        for name in ("demand", "demand_away")
        if name in message
    }


def print_time(label, call, number):
    least_s = min(timeit.repeat(call, number=number, repeat=5)) / number
    print(f"{label}: {least_s * 1e6:.1f} us")


def print_times():
    """Print the processor time and memory of the meter and of the sums."""
    arrivals = Arrivals()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    meter = DemandMeter()
    for number, name in enumerate(arrivals.names):
        at_s = 100 + number / ORGANISATIONS
        meter.record_arrival("model-0", URGENCIES[number % 6], name, 500.0, at_s)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory of a meter with {ORGANISATIONS} organisations: {used / KIB:.0f} KiB")
    names = arrivals.draw.choices(arrivals.names, arrivals.weights, k=5_000)

    def arrive():
        for name in names:
            meter.record_arrival("model-0", URGENCIES[0], name, 500.0, 102.0)

    least_s = min(timeit.repeat(arrive, number=1, repeat=5)) / len(names)
    print(f"record_arrival: {least_s * 1e6:.1f} us")
    print_time("report", lambda: meter.report("model-0", 102.0), 200)
    reports = []
    for _ in range(77):
        other = DemandMeter()
        arrivals.record(other, 272, 100.0, 4.0)
        reports.append(other.report("model-0", 104.0))
    rows = sum(len(each.rows) for each in reports)
    print_time(f"merge of 77 reports, {rows} rows", lambda: merge_demand(reports), 20)
    sums = [merge_demand(reports[n : n + 8]) for n in range(0, 72, 8)]
    rows = sum(len(each.rows) for each in sums)
    print_time(f"merge of 9 sums, {rows} rows", lambda: merge_demand(sums), 50)
    print_load_time(meter)


def print_load_time(meter):
    """Print the time of a load of a service that runs on 10,000 engines."""
    shape = evolve(small_model.SHAPE, layers=80)
    engines = [
        PathEngine(
            f"engine-{n}", "a:1", DOMAINS[n % 9], "card",
            LayerRange(n % 4 * 20, n % 4 * 20 + 20),
        )
        for n in range(ENGINES)
    ]  # fmt: skip
    engine_loads = EngineLoads()
    engine_loads.set_peer_report(
        "domain domain-0", {each.id: Load(9, 9_000.0) for each in engines}, 102.0
    )
    services = {"model-0": SimpleNamespace(model=shape)}
    knowledge = LoadKnowledge(
        DemandExchange(Roster(Peer("e1", "domain-0", "10.0.0.1:7")), meter),
        engine_loads,
        lambda: SimpleNamespace(services_by_name=services),
        lambda service, now_s: engines,
    )

    def compute():
        knowledge._cached_by_service.clear()
        return knowledge.service_load("model-0", 102.0)

    print_time(f"service_load over {ENGINES} engines", compute, 3)
    print_time(
        "service_load, kept", lambda: knowledge.service_load("model-0", 102.0), 5_000
    )


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["traffic", "usual" | "shortage" as kind, *rest]:
            print_traffic(kind == "shortage", int(rest[0]) if rest else 1)
        case _:
            print_times()
