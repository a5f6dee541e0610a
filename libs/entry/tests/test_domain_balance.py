"""Balancing of streams between domains: when it applies, and what it does to paths."""

from types import SimpleNamespace

import pytest
from celeryfork_base.counters import Counters
from celeryfork_entry import domain_balance
from celeryfork_entry.domain_balance import UPDATE_INTERVAL_S, DomainBalance
from celeryfork_entry.settings import Mode
from celeryfork_routing.engine_loads import EngineLoads, Load, domain_report_key
from celeryfork_routing.layer_paths import PathEngine, PathRequest, find_path
from celeryfork_routing.layers import LayerRange, room_for_requests
from small_model import SHAPE

HALVES = (LayerRange(0, 4), LayerRange(4, 8))
ROOM = room_for_requests(SHAPE, SHAPE.accelerators_by_name["card"], 4)


def count_calls(monkeypatch, name):
    """Return a list that grows with each call of a function of the module."""
    calls, real = [], getattr(domain_balance, name)

    def record(*arguments):
        calls.append(arguments)
        return real(*arguments)

    monkeypatch.setattr(domain_balance, name, record)
    return calls


class Fleet:
    """An instance of domain a with the reports of two or three domains."""

    def __init__(self, mode=Mode.AUTO, domains="abc", instances=6, applies=True):
        self.engines = [
            PathEngine(f"{domain}{held.first}", "", domain, "card", held)
            for domain in domains
            for held in HALVES
        ]
        self.lines, self.counters = [], Counters()
        self.loads, self.now_s = EngineLoads(), 100.0
        context = SimpleNamespace(
            domain="a", instance_count=lambda: instances, counters=self.counters,
            log=SimpleNamespace(info=lambda event, **f: self.lines.append((event, f))),
        )  # fmt: skip
        self.balance = DomainBalance(mode, "a-1", context, self.loads, lambda: applies)

    def report(self, **fill_by_domain):
        """Report requests of each domain that fill its own engines to some part."""
        for domain, fill in fill_by_domain.items():
            loads = {
                f"{domain}{held.first}": Load(9, fill * ROOM) for held in HALVES if fill
            }
            self.loads.set_peer_report(domain_report_key(domain), loads, self.now_s)

    def pick(self):
        return self.balance.pick("llm", SHAPE, lambda: self.engines, self.now_s)

    def picks(self, seconds, **fill_by_domain):
        """Return the picks of some seconds, 20 a second, with fresh reports."""
        picked = []
        for _ in range(round(seconds * 20)):
            self.report(**fill_by_domain)
            picked.append(self.pick())
            self.now_s += 0.05
        return picked


@pytest.mark.parametrize(("mode", "balanced"), [(Mode.AUTO, False), (Mode.ON, True)])
def test_a_configuration_with_one_urgency_is_balanced_only_if_switched_on(
    mode, balanced
):
    """Deployments whose configuration doesn't ask for it are served as before."""
    picked = Fleet(mode, applies=False).picks(2, a=0.9, b=0.1, c=0.1)
    assert (set(picked) != {None}) == balanced


@pytest.mark.parametrize(
    ("mode", "a", "expected"),
    [
        (Mode.OFF, 0.9, {None}),
        (Mode.AUTO, 0.3, {None}),
        (Mode.AUTO, 0.39, {None}),
        (Mode.AUTO, 0.9, {"a", "b", "c"}),
        (Mode.ON, 0.1, {"a"}),
    ],
)
def test_the_mode_and_the_loads_decide_whether_it_applies(mode, a, expected):
    """Existing deployments must be served as before unless loads are uneven."""
    assert set(Fleet(mode).picks(5, a=a, b=0.1, c=0.1)) == expected


def test_auto_ends_once_the_shares_have_fallen():
    fleet = Fleet()
    fleet.picks(5, a=0.9, b=0.1, c=0.1)
    assert None not in fleet.picks(0.5, a=0.2, b=0.1, c=0.1)
    fleet.picks(10, a=0.2, b=0.1, c=0.1)
    assert set(fleet.picks(1, a=0.2, b=0.1, c=0.1)) == {None}


def test_nothing_is_sent_to_a_domain_without_a_report():
    """A silent domain looked idle, and would have attracted the surplus of all."""
    assert "b" not in Fleet().picks(5, a=0.9, c=0.1)
    fleet = Fleet()
    fleet.picks(5, a=0.9, b=0.1, c=0.1)
    picked = fleet.picks(5, a=0.9, c=0.1)
    assert "b" in picked[:40]
    assert "b" not in picked[60:]


def test_nothing_is_sent_to_a_domain_whose_engines_are_excluded():
    fleet = Fleet()
    fleet.picks(5, a=0.9, b=0.1, c=0.1)
    fleet.engines = [each for each in fleet.engines if each.id != "b4"]
    fleet.now_s += UPDATE_INTERVAL_S
    assert "b" not in fleet.picks(2, a=0.9, b=0.1, c=0.1)


def test_domains_that_share_one_copy_of_the_model_are_not_uneven():
    """Guards against balancing in deployments without a whole copy in each domain."""
    fleet = Fleet()
    fleet.engines = [each for each in fleet.engines if each.id not in {"b4", "c0"}]
    assert set(fleet.picks(5, a=0.9, b=0.1, c=0.1)) == {None}
    fleet.engines = [each for each in fleet.engines if each.domain != "a"]
    assert set(fleet.picks(5, a=0.9, b=0.1, c=0.1)) == {None}


def test_a_domain_that_lost_its_engines_sends_all_by_the_others_room():
    fleet = Fleet(Mode.ON)
    fleet.engines = [each for each in fleet.engines if each.domain != "a"]
    busy = {"b0": Load(9, 0.2 * ROOM), "c0": Load(9, 0.2 * ROOM)}
    picked = []
    for _ in range(200):
        fleet.report(b=0.1, c=0.1)
        fleet.loads.set_peer_report(domain_report_key("a"), busy, fleet.now_s)
        picked.append(fleet.pick())
        fleet.now_s += 0.05
    assert picked[100:].count("a") <= 5
    assert picked[100:].count("b") == pytest.approx(50, abs=5)


def test_without_the_own_domains_sum_own_loads_count_for_all_its_instances():
    """A follower that hears no relay would take its busy domain for idle."""
    fleet = Fleet(instances=9)
    path = find_path(SHAPE, fleet.engines[:2], {}, PathRequest(1, 1, "a"))
    fleet.loads.begin(path, 0.3 * ROOM / 4)
    assert "b" in fleet.picks(5, b=0.1, c=0.1)
    alone = Fleet(instances=3)
    alone.loads.begin(path, 0.3 * ROOM / 4)
    assert set(alone.picks(5, b=0.1, c=0.1)) == {None}


def test_requests_that_already_run_elsewhere_count_as_demand():
    """The share fell as soon as it took effect, so that it went up and down."""
    fleet = Fleet()
    spread = {
        each.id: Load(9, (0.5 if each.domain == "a" else 0.3) * ROOM)
        for each in fleet.engines
    }
    for _ in range(100):
        fleet.report(b=0.0, c=0.0)
        fleet.loads.set_peer_report(domain_report_key("a"), spread, fleet.now_s)
        fleet.pick()
        fleet.now_s += 0.05
    shares = fleet.balance._by_service["llm"].shares.by_domain
    assert sum(shares.values()) > 0


def test_a_full_domain_is_not_one_without_engines():
    """No path has room there; its share of the requests must not all leave at once."""
    fleet = Fleet()
    picked = fleet.picks(20, a=1.0, b=0.3, c=0.3)[200:]
    assert 0.2 < 1 - picked.count("a") / len(picked) < 0.6


def test_a_change_of_a_share_is_logged_with_its_inputs_and_shown_as_a_gauge():
    fleet = Fleet(domains="ab")
    fleet.picks(10, a=0.9, b=0.1)
    event, fields = fleet.lines[0]
    assert event == "domain_share_changed"
    assert fields["domain"] == "b"
    assert abs(fields["share"] - fields["before"]) > 0.1
    assert set(fields["used_by_domain"]) == set(fields["age_ms"]) == {"a", "b"}
    assert len(fleet.lines) < 6
    assert fleet.counters.gauges()["balance.share.llm.b"] > 0.2
    fleet.picks(20, a=0.1, b=0.1)
    assert fleet.counters.gauges()["balance.share.llm.b"] == 0
    assert fleet.lines[-1][1]["share"] == 0


def test_paths_are_searched_once_in_half_a_second_and_domain(monkeypatch):
    """Searches in nine domains at each update took up to 10% of a processor."""
    searches = count_calls(monkeypatch, "find_path")
    Fleet().picks(5, a=0.9, b=0.1, c=0.1)
    assert 0 < len(searches) <= 3 * 11


def test_loads_are_looked_at_twice_a_second_while_they_are_even(monkeypatch):
    """The cost for deployments that don't need balancing."""
    looks = count_calls(monkeypatch, "room_by_domain")
    Fleet().picks(5, a=0.3, b=0.3, c=0.3)
    assert len(looks) <= 11


def test_shares_are_updated_at_most_every_100_ms():
    fleet, updates = Fleet(), []
    fleet.picks(5, a=0.9, b=0.1, c=0.1)
    for _ in range(100):
        fleet.balance.pick(
            "llm", SHAPE, lambda: updates.append(1) or fleet.engines, fleet.now_s
        )
        fleet.now_s += 0.01
    assert 5 <= len(updates) <= 11
