"""When an instance places the layers of its own domain."""

from itertools import product

import pytest
from attrs import evolve
from celeryfork_entry.acting_leader import (
    HOLDER_SILENCE_CUT_OFF_S,
    HOLDER_SILENCE_S,
    DomainView,
    stands_in,
)

ALONE = DomainView(
    address="10.0.0.1:7",
    listed={"10.0.0.2:7", "10.0.0.3:7"},
    heard={"10.0.0.2:7", "10.0.0.3:7"},
    holder_silent_s=HOLDER_SILENCE_S,
    store_away_s=HOLDER_SILENCE_S,
    cut_off=False,
)


def test_the_first_of_a_domain_without_store_and_holder_stands_in():
    """Pattern: the holder dies while the store is down, and engines are lost then."""
    assert stands_in(ALONE)
    assert not stands_in(evolve(ALONE, address="10.0.0.4:7"))


def test_a_domain_that_is_cut_off_waits_less():
    """Pattern: troskgille-hosting trouble-3, a cut of 6 s while the store is silent."""
    waiting = evolve(
        ALONE, holder_silent_s=HOLDER_SILENCE_CUT_OFF_S, store_away_s=0.0, cut_off=True
    )
    assert stands_in(waiting)
    assert not stands_in(evolve(waiting, cut_off=False))


@pytest.mark.parametrize(
    "change",
    [
        {"holder_silent_s": 1.0},
        {"holder_silent_s": 1.0, "cut_off": True},
        {"store_away_s": 0.0},
    ],
)
def test_nobody_stands_in_while_the_holder_or_the_store_may_be_heard(change):
    assert not stands_in(evolve(ALONE, **change))


@pytest.mark.parametrize(
    ("listed", "heard"),
    [
        ({"10.0.0.2:7", "10.0.0.3:7"}, set()),
        ({f"10.0.0.{n}:7" for n in range(2, 7)}, {"10.0.0.2:7"}),
        (set(), set()),
        ({"10.0.0.2:7", "10.0.0.3:7"}, {"10.0.0.8:7", "10.0.0.9:7"}),
    ],
)
def test_an_instance_that_hears_few_of_its_domain_may_be_cut_off_itself(listed, heard):
    view = evolve(ALONE, listed=listed, heard=heard, cut_off=True)
    assert not stands_in(view)


def test_of_instances_that_hear_each_other_one_stands_in():
    addresses = [f"10.0.0.{number}:7" for number in range(1, 6)]
    for alive in product([False, True], repeat=len(addresses)):
        heard = {a for a, lives in zip(addresses, alive, strict=True) if lives}
        acting = [
            address
            for address in heard
            if stands_in(
                evolve(
                    ALONE,
                    address=address,
                    listed=set(addresses) - {address},
                    heard=heard - {address},
                )
            )
        ]
        assert len(acting) == (2 * len(heard) > len(addresses))
