"""Relays and their followers as processes: five instances of one failure domain."""

import json
import time

import pytest
from celeryfork_adapter.feeds import CHANGE_WAIT_S
from celeryfork_entry.roster import RELAYS
from celeryfork_entry.store_follower import LIST_PAUSE_S
from entry_process import Entry, wait_for

FOLLOWERS = 2
READS_A_SECOND = 1 / LIST_PAUSE_S + 1 / CHANGE_WAIT_S
"""Most reads of one instance that reads the store itself."""
CHANGES_LEFT_OUT = """
from celeryfork_entry.relayed_list import RelayedList
RelayedList.take = lambda self, digest: None
"""
ALL_READ = """
from celeryfork_entry.instance import Instance
Instance._reads_store = lambda self: True
"""
ANY_CONFIGURATION = """
from celeryfork_entry.store_follower import CONFIGURATION_PATH, StoreFollower
from celeryfork_entry.peer_protocol import PeerProtocol
take_common = PeerProtocol._take_common
versions = []
def any_version(self, message):
    if versions and -1 < message.version < min(versions[0], self.version()):
        self.on_version(message.version, message.sender.address)
    take_common(self, message)
async def fetch_configuration(self, version, address):
    await self._ask(address, CONFIGURATION_PATH)
def take(self, newest, source):
    if newest is None or (versions and min(versions) < versions[0]):
        return
    self.configuration = newest
    versions.append(newest.version)
PeerProtocol._take_common = any_version
StoreFollower.fetch_configuration = fetch_configuration
StoreFollower._take = take
"""
"""Takes a configuration older than the first one, from the store or a peer, for good.

One that took each other version would go back and forth with its peers, which learn of
each new version at different times.
"""
IN_FORCE_S = 2.0
"""Bound for a change of the configuration and for a target that leaves."""


@pytest.fixture
def domain(request, start_entry, fleet, tmp_path):
    """Relays and followers of one domain, each with what the others tell.

    A parameter is a fault that is planted in each of them.
    """
    planted = getattr(request, "param", "")
    entry = start_entry(planted)
    others = [
        Entry(fleet, tmp_path, f"entry-{number}", "west", beside=entry).start(planted)
        for number in range(2, RELAYS + FOLLOWERS + 1)
    ]
    instances = [entry, *[other.wait_ready() for other in others]]
    wait_for(lambda: is_settled(instances), 15)
    # A follower's last waiting read of the store may still be under way.
    time.sleep(CHANGE_WAIT_S + LIST_PAUSE_S)
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


def ignore_a_leaving_target(followers, fleet):
    """Return the followers that still choose a target after it began to leave."""
    fleet.services["west-desk"].state = "draining"
    fleet.put_entry("west-desk", fleet.services["west-desk"].entry())
    time.sleep(IN_FORCE_S)
    return [
        follower
        for follower in followers
        if not dump(follower)["targets"]["west-desk"]["draining"]
    ]


def count_reads(fleet, seconds):
    """Return how often the store is read while its list changes all the time."""
    begun = len(fleet.store.calls)
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        fleet.put_entry("west-desk", fleet.services["west-desk"].entry())
        time.sleep(0.05)
    return fleet.store.calls[begun:].count("/-/log-read")


def most_reads(seconds):
    """Return what the relays may read, each with one read under way at the begin."""
    return RELAYS * (READS_A_SECOND * seconds + 2)


def test_relays_alone_read_the_store(domain, fleet):
    """Pattern: 88 instances made 8,000 calls on a quiet day, a tenth of its worth."""
    assert count_reads(fleet, 4.0) <= most_reads(4.0)


@pytest.mark.parametrize("domain", [ALL_READ], indirect=True, ids=["all-read"])
def test_instances_that_all_read_the_store_are_seen(domain, fleet):
    assert count_reads(fleet, 4.0) > most_reads(4.0)


def test_followers_leave_a_target_that_leaves(domain, fleet):
    _, followers = domain
    assert ignore_a_leaving_target(followers, fleet) == []


@pytest.mark.parametrize("domain", [CHANGES_LEFT_OUT], indirect=True, ids=["ignored"])
def test_followers_that_ignore_changes_are_seen(domain, fleet):
    _, followers = domain
    assert ignore_a_leaving_target(followers, fleet) == followers


def accept_a_withdrawn_key(followers, fleet):
    """Return the followers that accept a key again that was taken away before."""
    fleet.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])

    def accepting():
        return [
            each
            for each in followers
            if each.request("GET", "/look/1", "key", key="key-3").status != 401
        ]

    wait_for(lambda: not accepting(), 2 * IN_FORCE_S)
    fleet.version -= 8
    fleet.configure()
    time.sleep(2 * IN_FORCE_S)
    return accepting()


def test_followers_never_go_back_to_an_older_configuration(domain, fleet):
    _, followers = domain
    assert accept_a_withdrawn_key(followers, fleet) == []


@pytest.mark.parametrize("domain", [ANY_CONFIGURATION], indirect=True, ids=["any"])
def test_followers_that_go_back_are_seen(domain, fleet):
    _, followers = domain
    assert accept_a_withdrawn_key(followers, fleet) == followers


def test_followers_get_from_relays_what_the_store_says(domain, fleet):
    """Pattern: 88 instances that each read the store's topics make 8,000 calls."""
    relays, followers = domain
    version = fleet.configure()["version"]
    for follower in followers:
        wait_for(
            lambda: follower.versions_in_force()[-1] == version,  # noqa: B023
            IN_FORCE_S,
        )
    assert ignore_a_leaving_target(followers, fleet) == []
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
