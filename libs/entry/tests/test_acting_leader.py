"""Conditions for a relay to place the layers of its own domain as acting leader."""

from itertools import product

import pytest
from attrs import evolve
from celeryfork_entry.acting_leader import (
    LEADER_SILENCE_CUT_OFF_S,
    LEADER_SILENCE_S,
    DomainView,
    should_act,
)

ISOLATED_VIEW = DomainView(
    address="10.0.0.1:7",
    relays={"10.0.0.2:7", "10.0.0.3:7"},
    live_relays={"10.0.0.2:7", "10.0.0.3:7"},
    leader_silent_s=LEADER_SILENCE_S,
    store_outage_s=LEADER_SILENCE_S,
    cut_off=False,
)


def test_the_first_relay_without_store_and_leader_becomes_acting_leader():
    """The leader dies while the store is down; later losses need a new placement."""
    assert should_act(ISOLATED_VIEW)
    assert not should_act(evolve(ISOLATED_VIEW, address="10.0.0.4:7"))


def test_a_domain_that_is_cut_off_waits_for_a_shorter_time():
    """A partition of 6 s in a store outage keeps the leader's orders from a domain.

    (found by bench trial troskgille-hosting trouble-3)
    """
    cut_off_view = evolve(
        ISOLATED_VIEW,
        leader_silent_s=LEADER_SILENCE_CUT_OFF_S,
        store_outage_s=0.0,
        cut_off=True,
    )
    assert should_act(cut_off_view)
    assert not should_act(evolve(cut_off_view, cut_off=False))


@pytest.mark.parametrize(
    "change",
    [
        {"leader_silent_s": 1.0},
        {"leader_silent_s": 1.0, "cut_off": True},
        {"store_outage_s": 0.0},
    ],
)
def test_there_is_no_acting_leader_while_leader_or_store_is_reachable(change):
    assert not should_act(evolve(ISOLATED_VIEW, **change))


@pytest.mark.parametrize(
    ("relays", "live_relays"),
    [
        ({"10.0.0.2:7", "10.0.0.3:7"}, set()),
        ({f"10.0.0.{n}:7" for n in range(2, 7)}, {"10.0.0.2:7"}),
        (set(), set()),
        ({"10.0.0.2:7", "10.0.0.3:7"}, {"10.0.0.8:7", "10.0.0.9:7"}),
    ],
)
def test_an_instance_with_few_live_relays_is_no_acting_leader(relays, live_relays):
    view = evolve(ISOLATED_VIEW, relays=relays, live_relays=live_relays, cut_off=True)
    assert not should_act(view)


def test_exactly_one_relay_of_a_connected_majority_becomes_acting_leader():
    addresses = [f"10.0.0.{number}:7" for number in range(1, 6)]
    for alive in product([False, True], repeat=len(addresses)):
        live_relays = {a for a, lives in zip(addresses, alive, strict=True) if lives}
        acting = [
            address
            for address in live_relays
            if should_act(
                evolve(
                    ISOLATED_VIEW,
                    address=address,
                    relays=set(addresses) - {address},
                    live_relays=live_relays - {address},
                )
            )
        ]
        assert len(acting) == (2 * len(live_relays) > len(addresses))
