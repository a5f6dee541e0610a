"""Acting leadership: a domain loses its leader while the store is down."""

import json

import pytest
from entry_process import Entry, wait_for


@pytest.fixture
def trio(entry, fleet, tmp_path):
    """Three instances of one domain that know each other; the first is the leader."""
    others = [
        Entry(fleet, tmp_path, f"entry-{number}", "west", beside=entry)
        for number in (2, 3)
    ]
    for other in others:
        other.start().wait_ready()
    wait_for(
        lambda: all(len(dump(each)["peers"]) == 2 for each in (entry, *others)), 10
    )
    yield entry, *others
    for other in others:
        other.end()
        assert not other.events("task_failed")


def dump(entry):
    return json.loads(entry.ask("/dump"))


def test_acting_leader_replaces_lost_layers_while_the_store_is_down(trio, fleet):
    """The leader dies while no successor can be elected, then an engine is lost.

    Without an acting leader, nobody would place the engine's layers on others.
    """
    leader, *others = trio
    assert dump(leader)["duty"]["held"]
    assert not any(dump(other)["duty"]["held"] for other in others)
    fleet.store.down = True
    wait_for(lambda: all(other.events("store_lost") for other in others), 10)
    leader.end()
    fleet.kill("west-big")
    west = [e for e in fleet.engines.values() if e.zone == "west"]
    orders_before = sum(len(engine.orders) for engine in west)
    wait_for(
        lambda: (
            {x for e in west if e.id != "west-big" for x in range(*e.held)}
            == set(range(8))
        ),
        15,
    )
    assert sum(len(engine.orders) for engine in west) > orders_before
    assert sum(bool(other.events("stands_in")) for other in others) == 1
    # With the store down, instances learn from peer datagrams what engines hold.
    for number, other in enumerate(others):
        wait_for(lambda: other.stream(f"s{number}").status == 200, 5)  # noqa: B023
    fleet.store.down = False
    wait_for(lambda: any(each.events("stands_in_no_more") for each in others), 10)
    wait_for(lambda: sum(dump(each)["duty"]["held"] for each in others) == 1, 10)
