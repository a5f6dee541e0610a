"""Demand of members reaches the other instances, through their real datagrams."""

from unittest.mock import patch

import pytest
from celeryfork_admission.service_load import Urgency
from celeryfork_entry.demand_exchange import SETTLING_S, USUAL_PERIOD
from celeryfork_entry.demand_messages import MAX_SERVICES
from celeryfork_entry.peer_protocol import REMOTE_REPORT_PERIOD, REPORT_INTERVAL_S
from celeryfork_routing.engine_loads import PEER_REPORT_TTL_S
from instance_network import Network
from orjson import loads

URGENT = Urgency(0, 1)
TOKENS_PER_S = 400.0
"""Demand of each busy instance: a request of 100 tokens with each report."""


class ClockedNetwork(Network):
    """A network whose clock advances by one interval with each report."""

    def __init__(self, sizes=(8, 8)):
        self.now_s = 1000.0
        self.busy = {}
        super().__init__(sizes, clock=lambda: self.now_s)

    def report(self, times=1):
        with patch("time.monotonic", lambda: self.now_s):
            for _ in range(times):
                self.now_s += REPORT_INTERVAL_S
                for name, services in self.busy.items():
                    for service in services:
                        self[name].demand.meter.record_arrival(
                            service, URGENT, "xaka200", 100.0, self.now_s
                        )
                super().report(1)

    def exchange(self, name):
        return self[name].demand

    def domain_tokens(self, name, service="llm"):
        """Return tokens/s of the own domain as an instance knows them, or None."""
        known = self.exchange(name).own_domain(service, self.now_s)
        return known and sum(map(tokens, known.demands))

    def other_tokens(self, name, service="llm"):
        demands, _ = self.exchange(name).other_domains(service, self.now_s)
        return sum(map(tokens, demands))

    def other_domains(self, name):
        return set(self.exchange(name).other_domains("llm", self.now_s)[1])


def tokens(demand):
    return sum(row.tokens_per_s for row in demand.rows)


def demands_sent(network, name):
    """Return receiver and demand of the datagrams of an instance that have one."""
    sent = [(to, loads(data)) for to, data in network.sent_by_name.get(name, ())]
    return [(to, each["demand"]) for to, each in sent if "demand" in each]


def host(network, name):
    return network[name].roster.own.address.partition(":")[0]


def busy_network(*names, sizes=(8, 8), services=("llm",)):
    network = ClockedNetwork(sizes)
    network.busy = dict.fromkeys(names, services)
    network.report(8 * REMOTE_REPORT_PERIOD)
    network.sent_by_name.clear()
    return network


def test_the_demand_of_members_reaches_all_instances_of_their_domain():
    network = busy_network("west-2", "west-5", "west-8")
    for number in range(1, 9):
        found = network.domain_tokens(f"west-{number}")
        assert found == pytest.approx(3 * TOKENS_PER_S, rel=0.35), number
    (row,) = network.exchange("west-1").own_domain("llm", network.now_s).demands[0].rows
    assert (row.urgency, row.organisation) == (URGENT, "xaka200")


def test_the_demand_of_a_domain_reaches_relays_and_followers_of_another():
    network = busy_network("west-2", "west-5")
    for number in range(1, 9):
        found = network.other_tokens(f"east-{number}")
        assert found == pytest.approx(2 * TOKENS_PER_S, rel=0.35), number
        assert network.domain_tokens(f"east-{number}") == 0


def test_own_demand_that_the_digest_contains_is_not_counted_twice():
    """With three instances a busy one would see nearly twice the demand."""
    network = busy_network("west-3", sizes=(3, 3))
    assert network.domain_tokens("west-3") == pytest.approx(TOKENS_PER_S, rel=0.35)


def test_without_arrivals_no_demand_is_sent():
    network = busy_network()
    network.report(2 * REMOTE_REPORT_PERIOD)
    sent = [loads(data) for each in network.sent_by_name.values() for _, data in each]
    assert sent
    assert not any(each.keys() & {"demand", "demand_away"} for each in sent)


def test_a_member_reports_to_the_lead_relay_once_a_second():
    network = busy_network("west-5")
    network.report(3 * USUAL_PERIOD)
    receivers = [to for to, _ in demands_sent(network, "west-5")]
    assert receivers == [host(network, "west-1")] * 3
    to_follower = [
        to for to, _ in demands_sent(network, "west-1") if to == host(network, "west-5")
    ]
    assert len(to_follower) == 3


def test_a_small_demand_is_sent_with_each_report_during_a_shortage():
    network = busy_network("west-5")
    for instance in network.by_address.values():
        instance.demand.is_short = lambda service, now_s: service == "llm"
    network.report(USUAL_PERIOD)
    network.sent_by_name.clear()
    network.report(USUAL_PERIOD)
    assert len(demands_sent(network, "west-5")) == USUAL_PERIOD
    to_follower = [
        to for to, _ in demands_sent(network, "west-1") if to == host(network, "west-5")
    ]
    assert len(to_follower) == USUAL_PERIOD


def test_services_take_turns_in_a_datagram():
    services = [f"llm-{number}" for number in range(2 * MAX_SERVICES)]
    network = busy_network("west-5", services=services)
    network.report(USUAL_PERIOD)
    ((_, (_, rows)),) = demands_sent(network, "west-5")
    assert len(rows) == MAX_SERVICES
    network.report(2 * USUAL_PERIOD)
    for service in services:
        assert network.domain_tokens("west-8", service) > 0
        assert network.other_tokens("east-8", service) > 0


def test_a_dead_lead_relay_is_replaced_without_a_gap_in_the_sum():
    """A new lead relay without the members' reports would tell a sum near 0."""
    network = busy_network("west-2", "west-5", "west-8")
    network.silence("west-1")
    for _ in range(4 * REMOTE_REPORT_PERIOD):
        network.report()
        for number in range(2, 9):
            found = network.domain_tokens(f"west-{number}")
            assert found is not None
            assert found >= 0.6 * 3 * TOKENS_PER_S
    assert network.other_tokens("east-8") >= 0.6 * 3 * TOKENS_PER_S


def test_a_domain_that_is_cut_off_expires_at_relays_and_followers():
    """Followers get loads of a silent domain from their relays, as empty ones."""
    network = busy_network("west-5", "east-5")
    assert network.other_domains("east-8") == {"west"}
    network.silence(*(f"west-{number}" for number in range(1, 9)))
    network.report(int(2 * PEER_REPORT_TTL_S / REPORT_INTERVAL_S) + 5)
    for name in ("east-1", "east-2", "east-8"):
        assert network.other_tokens(name) == 0
        assert network.other_domains(name) == set()
        assert network.domain_tokens(name) == pytest.approx(TOKENS_PER_S, rel=0.35)


def test_demand_of_a_member_that_left_expires():
    network = busy_network("west-5")
    network.silence("west-5")
    network.report(int(PEER_REPORT_TTL_S / REPORT_INTERVAL_S) + 5)
    assert network.domain_tokens("west-1") == 0
    assert network.domain_tokens("west-8") == 0
    assert network.exchange("west-1")._by_member == {}


def test_a_single_instance_knows_its_own_demand():
    network = ClockedNetwork((1, 1))
    network.busy = {"west-1": ["llm"]}
    network.report(8)
    assert network.domain_tokens("west-1") == pytest.approx(TOKENS_PER_S, rel=0.35)
    assert network.now_s > SETTLING_S
