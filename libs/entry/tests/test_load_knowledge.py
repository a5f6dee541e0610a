"""Load of a service as one instance knows it, and what it does without its peers."""

from types import SimpleNamespace

import pytest
import small_model
from celeryfork_admission.service_load import DemandRow, ServiceDemand, Urgency
from celeryfork_entry.demand_exchange import FIRST_SUM_S, SETTLING_S, DemandExchange
from celeryfork_entry.demand_messages import DemandAway, DemandSum
from celeryfork_entry.load_knowledge import CACHE_S, CACHE_S_PER_ENGINE, LoadKnowledge
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import PEAK_COUNT_WINDOW_S, Roster
from celeryfork_routing.engine_loads import (
    PEER_REPORT_TTL_S,
    EngineLoads,
    LayerPath,
    Load,
    Part,
)
from celeryfork_routing.layer_paths import PathEngine
from celeryfork_routing.layers import LayerRange
from celeryfork_routing.room import fleet_room

URGENT = Urgency(0, 0)
WHOLE = LayerRange(0, small_model.SHAPE.layers)
ENGINES = [
    PathEngine(f"{domain}-{n}", "a:1", domain, "card", WHOLE)
    for domain in ("west", "east")
    for n in (1, 2)
]
OF_WEST = ENGINES[:2]


def make_demand(tokens_per_s, organisation="a", admitted=0.0):
    row = DemandRow(URGENT, organisation, tokens_per_s, tokens_per_s / 100)
    return ServiceDemand("llm", (row,), admitted, 0.0)


class Knower:
    """Load knowledge of a follower in domain west, on a clock of its own."""

    def __init__(self, name="west-8", power=1.0):
        self.now_s = 1000.0
        self.roster = Roster(
            Peer(name, "west", "10.1.0.8:7", power), lambda: self.now_s
        )
        self.loads = EngineLoads()
        self.exchange = DemandExchange(self.roster)
        services = {
            "llm": SimpleNamespace(model=small_model.SHAPE),
            "plain": SimpleNamespace(model=None),
        }
        self.configuration = SimpleNamespace(services_by_name=services)
        self.knowledge = LoadKnowledge(
            self.exchange,
            self.loads,
            lambda: self.configuration,
            lambda service, now_s: ENGINES,
        )

    def list_peers(self, *names):
        self.roster.add_listed(
            Peer(name, name.partition("-")[0], f"10.0.0.{n}:7")
            for n, name in enumerate(names, 1)
        )

    def hear_domain(self, demand=None, *, west=3, east=2, loads=None):
        """Receive a digest of the lead relay that tells counts and loads."""
        self.roster.record_message(Peer("west-1", "west", "10.1.0.1:7", 2.0))
        self.roster.record_count("west", west)
        if east:
            self.roster.record_count("east", east)
        self.loads.set_peer_report("domain west", loads or {}, self.now_s)
        total = DemandSum(self.now_s - 0.2, (demand,)) if demand else None
        self.exchange.record_domain_digest(total, None, (), self.now_s, has_loads=True)

    def hear_other(self, demand=None, age_s=0.5):
        """Receive what the lead relay tells of domain east."""
        away = DemandAway((demand,) if demand else (), {"east": self.now_s - age_s})
        self.exchange.record_domain_digest(
            None, away, ("east",), self.now_s, has_loads=True
        )

    def arrive(self, tokens_per_s, seconds=6.0):
        """Let requests of one token arrive until now."""
        number = int(tokens_per_s * seconds)
        for n in range(number):
            at_s = self.now_s - seconds + n * seconds / number
            self.knowledge.meter.record_arrival("llm", URGENT, "a", 1.0, at_s)

    def begin(self, engine, tokens):
        path = LayerPath((Part(engine.id, "a:1", WHOLE),))
        self.loads.begin(path, tokens)

    def load(self):
        return self.knowledge.service_load("llm", self.now_s)

    def tokens_per_s(self):
        return sum(row.tokens_per_s for row in self.load().demand.rows)


def test_all_sums_are_added():
    knower = Knower()
    knower.hear_domain(make_demand(1_000, admitted=50))
    knower.hear_other(make_demand(500, admitted=20))
    knower.arrive(100)
    load = knower.load()
    (row,) = load.demand.rows
    assert row.tokens_per_s == pytest.approx(1_600, rel=0.02)
    assert load.demand.admitted_tokens_per_s == 70
    assert load.room == fleet_room(small_model.SHAPE, ENGINES, {})
    assert (load.instances, load.complete) == (5, True)
    assert load.age_s == pytest.approx(0.5)


def test_own_numbers_in_the_digest_are_counted_once():
    """An instance would count its own demand twice, and a small fleet nearly all."""
    knower = Knower()
    knower.hear_domain(east=0)
    knower.arrive(100)
    reported = knower.exchange.next_report(1, knower.now_s)
    knower.hear_domain(reported.demands[0], east=0)
    assert knower.tokens_per_s() == pytest.approx(100, rel=0.02)
    knower.now_s += 0.3
    for _ in range(20):
        knower.knowledge.meter.record_arrival("llm", URGENT, "a", 10.0, knower.now_s)
    assert knower.tokens_per_s() == pytest.approx(274, rel=0.02)


def test_memory_that_requests_use_is_not_free():
    knower = Knower()
    knower.hear_domain(loads={OF_WEST[0].id: Load(1, 8 * 300.0)})
    knower.hear_other()
    idle = fleet_room(small_model.SHAPE, ENGINES, {})
    room = knower.load().room
    assert room.total_tokens == idle.total_tokens
    assert room.free_tokens == pytest.approx(idle.free_tokens - 300)


@pytest.mark.parametrize("service", ["plain", "unknown"])
def test_a_service_without_a_model_has_no_load(service):
    knower = Knower()
    knower.hear_domain()
    assert knower.knowledge.service_load(service, knower.now_s) is None
    assert not knower.knowledge.is_short(service, knower.now_s)


def test_without_a_configuration_nothing_is_known():
    knower = Knower()
    knower.configuration = None
    assert knower.load() is None
    assert knower.knowledge.gauges(knower.now_s) == {}


def test_an_instance_that_just_started_takes_the_listed_ones_to_be_like_itself():
    """Before the first digest it would admit for the whole domain by its own share."""
    knower = Knower()
    knower.list_peers("west-1", "west-2", "west-3")
    knower.arrive(100)
    knower.begin(OF_WEST[0], 50)
    load = knower.load()
    assert knower.tokens_per_s() == pytest.approx(400, rel=0.02)
    assert (load.complete, load.age_s, load.instances) == (False, 0.0, 4)
    idle = fleet_room(small_model.SHAPE, ENGINES, {})
    assert load.room.free_tokens == pytest.approx(idle.free_tokens - 4 * 50)


def test_a_dead_relay_leaves_the_own_demand_for_each_instance():
    """The digests of the domain end, and its sum expires after 2.5 s."""
    knower = Knower()
    knower.hear_domain(make_demand(1_000), west=30, east=0)
    knower.now_s += PEER_REPORT_TTL_S
    assert knower.tokens_per_s() == pytest.approx(1_000)
    assert knower.load().complete
    knower.now_s += 0.2
    knower.arrive(100)
    load = knower.load()
    assert knower.tokens_per_s() == pytest.approx(3_000, rel=0.02)
    assert (load.complete, load.instances) == (False, 30)


def test_a_relay_that_replaces_the_lead_uses_the_last_sum_until_it_has_reports():
    """It would else tell a demand near 0, and its domain would admit everything."""
    knower = Knower(power=2.0)
    knower.list_peers("west-2")
    knower.hear_domain(make_demand(1_000), west=3, east=0)
    knower.now_s += 1.5
    knower.exchange.observe_lead(knower.now_s)
    assert knower.exchange.next_digest(4, knower.now_s, to_remote=True) is None
    assert knower.tokens_per_s() == pytest.approx(1_000)
    for address in ("10.1.0.2:7", "10.1.0.3:7"):
        report = DemandSum(knower.now_s, (make_demand(300),))
        knower.exchange.record_report(address, report, knower.now_s)
    knower.now_s += SETTLING_S
    knower.exchange.observe_lead(knower.now_s)
    assert knower.tokens_per_s() == pytest.approx(600)
    assert knower.load().age_s == pytest.approx(SETTLING_S)
    digest = knower.exchange.next_digest(8, knower.now_s, to_remote=True)
    assert digest.demands[0].rows[0].tokens_per_s == pytest.approx(600)


def test_a_domain_that_was_never_heard_is_left_out():
    knower = Knower()
    knower.hear_domain(make_demand(1_000), west=3, east=2)
    load = knower.load()
    assert load.room == fleet_room(small_model.SHAPE, OF_WEST, {})
    assert (load.instances, load.complete) == (3, False)
    assert knower.tokens_per_s() == pytest.approx(1_000)


def test_a_domain_whose_digests_end_is_left_out_when_its_sum_expires():
    """A partition: the far engines can't be used, and nobody here counts their load."""
    knower = Knower()
    knower.hear_other(make_demand(500))
    knower.hear_domain(make_demand(1_000))
    assert knower.load().complete
    knower.now_s += PEER_REPORT_TTL_S + 0.1
    knower.hear_domain(make_demand(1_000))
    load = knower.load()
    assert not load.complete
    assert load.room == fleet_room(small_model.SHAPE, OF_WEST, {})
    assert knower.tokens_per_s() == pytest.approx(1_000)


def test_a_domain_that_is_cut_off_is_left_out_after_the_roster_forgot_it():
    """Its engines would count as idle, since nobody here knows their load."""
    knower = Knower()
    knower.hear_other(make_demand(500))
    knower.hear_domain(make_demand(1_000))
    assert knower.load().complete
    knower.now_s += 50.0
    knower.hear_domain(make_demand(1_000), east=0)
    assert "east" not in knower.roster.counts()
    assert knower.load().room == fleet_room(small_model.SHAPE, OF_WEST, {})
    knower.now_s += PEAK_COUNT_WINDOW_S
    knower.hear_domain(make_demand(1_000), east=0)
    assert knower.load().complete


def test_the_first_digests_without_a_demand_do_not_mean_that_there_is_none():
    """An instance that starts during a shortage would admit everything at first."""
    knower = Knower()
    knower.arrive(100)
    for _ in range(2):
        knower.hear_domain(east=0)
        assert not knower.load().complete
        assert knower.tokens_per_s() == pytest.approx(300, rel=0.02)
    knower.now_s += FIRST_SUM_S + 0.1
    knower.hear_domain(east=0)
    assert knower.load().complete


def test_engines_of_a_domain_without_instances_count():
    """No instance there could report; the users of its engines report their loads."""
    knower = Knower()
    knower.hear_domain(make_demand(1_000), east=0)
    load = knower.load()
    assert load.complete
    assert load.room == fleet_room(small_model.SHAPE, ENGINES, {})


def test_a_relay_uses_what_it_hears_of_other_domains_itself():
    knower = Knower()
    knower.hear_domain(make_demand(1_000))
    total = DemandSum(knower.now_s - 0.7, (make_demand(500),))
    knower.exchange.record_remote_digest("east", total, knower.now_s, has_loads=True)
    assert knower.tokens_per_s() == pytest.approx(1_500)
    assert knower.load().age_s == pytest.approx(0.7)


def test_a_load_is_kept_for_a_short_time_and_grows_older():
    knower = Knower()
    knower.hear_domain(make_demand(1_000), east=0)
    first = knower.load()
    knower.hear_domain(make_demand(2_000), east=0)
    knower.now_s += CACHE_S / 2
    kept = knower.load()
    assert kept.demand == first.demand
    assert kept.age_s == pytest.approx(first.age_s + CACHE_S / 2)
    knower.now_s += CACHE_S
    assert knower.tokens_per_s() == pytest.approx(2_000)


def test_a_load_of_many_engines_is_kept_for_longer():
    knower = Knower()
    many = [PathEngine(str(n), "a:1", "west", "card", WHOLE) for n in range(4_000)]
    knower.knowledge.engines = lambda service, now_s: many
    knower.hear_domain(make_demand(1_000), east=0)
    knower.load()
    knower.hear_domain(make_demand(2_000), east=0)
    knower.now_s += 0.9 * CACHE_S_PER_ENGINE * len(many)
    assert knower.tokens_per_s() == pytest.approx(1_000)
    knower.now_s += 0.2 * CACHE_S_PER_ENGINE * len(many)
    assert knower.tokens_per_s() == pytest.approx(2_000)


def test_a_service_with_little_free_memory_is_short():
    knower = Knower()
    knower.hear_domain(east=0)
    room = knower.load().room
    assert not knower.knowledge.is_short("llm", knower.now_s)
    used = room.total_tokens / len(ENGINES)
    loads = {each.id: Load(9, 8 * used * 0.9) for each in ENGINES}
    knower.now_s += 1.0
    knower.hear_domain(east=0, loads=loads)
    assert knower.knowledge.is_short("llm", knower.now_s)


def test_the_gauges_show_room_demand_and_age():
    knower = Knower()
    knower.hear_domain(make_demand(1_000), east=0)
    room = knower.load().room
    assert knower.knowledge.gauges(knower.now_s) == {
        "room.total.llm": room.total_tokens,
        "room.free.llm": room.free_tokens,
        "demand.tokens_per_s.llm": 1_000.0,
        "load_knowledge.age_s": pytest.approx(0.2),
    }
