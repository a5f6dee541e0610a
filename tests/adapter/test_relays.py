"""Relays and their followers as processes: five instances of one failure domain."""

import json

import pytest
from celeryfork_entry.roster import RELAYS
from entry_process import Entry, wait_for

FOLLOWERS = 2
IN_FORCE_S = 2.0
"""Bound for a change of the configuration and for a target that leaves."""


@pytest.fixture
def domain(entry, fleet, tmp_path):
    """Relays and followers of one domain, each with what the others tell."""
    others = [
        Entry(fleet, tmp_path, f"entry-{number}", "west", beside=entry).start()
        for number in range(2, RELAYS + FOLLOWERS + 1)
    ]
    instances = [entry, *[other.wait_ready() for other in others]]
    wait_for(lambda: is_settled(instances), 15)
    yield split(instances)
    for other in others:
        other.end()
        assert not other.events("task_failed")
        assert not other.events("unstructured")


def dump(instance):
    return json.loads(instance.ask("/dump"))


def is_settled(instances):
    dumps = [dump(each) for each in instances]
    return (
        sum(each["is_relay"] for each in dumps) == RELAYS
        and all(each["instances"] == RELAYS + FOLLOWERS for each in dumps)
        and sum(each["duty"]["held"] for each in dumps) == 1
    )


def split(instances):
    relays = [each for each in instances if dump(each)["is_relay"]]
    return relays, [each for each in instances if each not in relays]


def test_followers_get_from_relays_what_the_store_says(domain, fleet):
    """Pattern: 88 instances that each read the store's topics make 8,000 calls."""
    relays, followers = domain
    version = fleet.configure()["version"]
    for follower in followers:
        wait_for(
            lambda: follower.versions_in_force()[-1] == version,  # noqa: B023
            IN_FORCE_S,
        )
    fleet.services["west-desk"].state = "draining"
    fleet.put_entry("west-desk", fleet.services["west-desk"].entry())
    for follower in followers:
        wait_for(
            lambda: dump(follower)["targets"]["west-desk"]["draining"],  # noqa: B023
            IN_FORCE_S,
        )
    fleet.store.down = True
    for relay in relays:
        wait_for(lambda: relay.events("store_lost"), 5)  # noqa: B023
    for number, follower in enumerate(followers):
        assert not follower.events("store_lost")
        assert follower.stream(f"s{number}").status == 200


def test_followers_go_on_when_all_relays_are_killed(domain, fleet):
    """Pattern: herd_kill of a domain, and a change of the configuration after it."""
    relays, followers = domain
    for relay in relays:
        relay.end()
    for number, follower in enumerate(followers):
        assert follower.stream(f"s{number}").status == 200
    for follower in followers:
        wait_for(lambda: dump(follower)["is_relay"], 5)  # noqa: B023
    version = fleet.configure()["version"]
    for follower in followers:
        wait_for(
            lambda: follower.versions_in_force()[-1] == version,  # noqa: B023
            IN_FORCE_S,
        )
    wait_for(lambda: sum(dump(each)["duty"]["held"] for each in followers) == 1, 10)
