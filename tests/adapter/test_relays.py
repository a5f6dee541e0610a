"""Relays and followers of one failure domain, as processes.

Relays read the store; followers get its contents from the relays.
"""

import json
import time

import pytest
from celeryfork_adapter.feeds import LONG_POLL_S
from celeryfork_entry.roster import RELAYS_PER_DOMAIN
from celeryfork_entry.store_follower import LIST_READ_INTERVAL_S
from entry_process import Entry, wait_for

FOLLOWERS = 2
MAX_READS_PER_SECOND = 1 / LIST_READ_INTERVAL_S + 1 / LONG_POLL_S
"""Maximum rate of reads of one instance that reads the store itself."""
IGNORE_LIST_CHANGES = """
from celeryfork_entry.relayed_list import RelayedList
RelayedList.fetch_changes = lambda self, digest: None
"""
"""Planted fault: followers ignore changes of the target list."""
ALL_READ_STORE = """
from celeryfork_entry.instance import Instance
Instance._reads_store = lambda self: True
"""
"""Planted fault: followers read the store too."""
TAKE_OLDER_CONFIGURATION = """
from celeryfork_entry.store_follower import CONFIGURATION_PATH, StoreFollower
from celeryfork_entry.peer_protocol import PeerProtocol
take_common = PeerProtocol._handle_common
versions = []
def any_version(self, message):
    if versions and -1 < message.version < min(versions[0], self.version()):
        self.on_version(message.version, message.sender.address)
    take_common(self, message)
async def fetch_configuration(self, version, address):
    await self._fetch_from(address, CONFIGURATION_PATH)
def take(self, newest, source):
    if newest is None or (versions and min(versions) < versions[0]):
        return
    self.configuration = newest
    versions.append(newest.version)
PeerProtocol._handle_common = any_version
StoreFollower.fetch_configuration = fetch_configuration
StoreFollower._adopt = take
"""
"""Planted fault: accepts a configuration older than the first, and then no other.

The older one may come from the store or from a peer. An instance that accepted every
version would alternate with its peers, which learn of new versions at other times.
"""
PROPAGATION_S = 2.0
"""Seconds within which all instances know of a new configuration or draining target."""


@pytest.fixture
def domain(request, start_entry, fleet, tmp_path):
    """Return the relays and the followers of one domain, once all know each other.

    The optional fixture parameter is a fault that is planted in each instance.
    """
    planted = getattr(request, "param", "")
    entry = start_entry(planted)
    others = [
        Entry(fleet, tmp_path, f"entry-{number}", "west", beside=entry).start(planted)
        for number in range(2, RELAYS_PER_DOMAIN + FOLLOWERS + 1)
    ]
    instances = [entry, *[other.wait_ready() for other in others]]
    wait_for(lambda: is_settled(instances), 15)
    # A follower's last long poll of the store may still be in progress.
    time.sleep(LONG_POLL_S + LIST_READ_INTERVAL_S)
    yield split_by_role(instances)
    for other in others:
        other.end()
        assert not other.events("task_failed")
        assert not other.events("unstructured")


def dump(instance):
    return json.loads(instance.ask("/dump"))


def is_settled(instances):
    dumps = [dump(each) for each in instances]
    return (
        sum(each["is_relay"] for each in dumps) == RELAYS_PER_DOMAIN
        and all(each["instances"] == RELAYS_PER_DOMAIN + FOLLOWERS for each in dumps)
        and sum(each["duty"]["held"] for each in dumps) == 1
    )


def split_by_role(instances):
    relays = [each for each in instances if dump(each)["is_relay"]]
    return relays, [each for each in instances if each not in relays]


def followers_ignoring_draining_target(followers, fleet):
    """Drain a target; return the followers that don't know it in time."""
    fleet.services["west-desk"].state = "draining"
    fleet.put_entry("west-desk", fleet.services["west-desk"].entry())
    time.sleep(PROPAGATION_S)
    return [
        follower
        for follower in followers
        if not dump(follower)["targets"]["west-desk"]["draining"]
    ]


def count_reads(fleet, seconds):
    """Return the number of reads of the store while its target list keeps changing."""
    calls_before = len(fleet.store.calls)
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        fleet.put_entry("west-desk", fleet.services["west-desk"].entry())
        time.sleep(0.05)
    return fleet.store.calls[calls_before:].count("/-/log-read")


def max_reads(seconds):
    """Return the maximum number of reads by the relays.

    It includes the reads that are in progress when the count starts.
    """
    return RELAYS_PER_DOMAIN * (MAX_READS_PER_SECOND * seconds + 2)


def test_only_relays_read_the_store(domain, fleet):
    """Guards against reads that grow with the number of instances.

    88 instances made 8,000 calls on a quiet day, which cost a tenth of the day's value.
    """
    assert count_reads(fleet, 4.0) <= max_reads(4.0)


@pytest.mark.parametrize("domain", [ALL_READ_STORE], indirect=True, ids=["all-read"])
def test_reads_by_all_instances_are_detected(domain, fleet):
    assert count_reads(fleet, 4.0) > max_reads(4.0)


def test_followers_notice_a_draining_target(domain, fleet):
    _, followers = domain
    assert followers_ignoring_draining_target(followers, fleet) == []


@pytest.mark.parametrize(
    "domain", [IGNORE_LIST_CHANGES], indirect=True, ids=["ignored"]
)
def test_followers_that_ignore_list_changes_are_detected(domain, fleet):
    _, followers = domain
    assert followers_ignoring_draining_target(followers, fleet) == followers


def followers_accepting_withdrawn_key(followers, fleet):
    """Withdraw a key, then publish the older configuration that contains it.

    Returns the followers that accept the key again.
    """
    fleet.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])

    def accepting():
        return [
            each
            for each in followers
            if each.request("GET", "/look/1", "key", key="key-3").status != 401
        ]

    wait_for(lambda: not accepting(), 2 * PROPAGATION_S)
    fleet.version -= 8
    fleet.configure()
    time.sleep(2 * PROPAGATION_S)
    return accepting()


def test_followers_never_revert_to_an_older_configuration(domain, fleet):
    _, followers = domain
    assert followers_accepting_withdrawn_key(followers, fleet) == []


@pytest.mark.parametrize(
    "domain", [TAKE_OLDER_CONFIGURATION], indirect=True, ids=["any"]
)
def test_followers_that_revert_the_configuration_are_detected(domain, fleet):
    _, followers = domain
    assert followers_accepting_withdrawn_key(followers, fleet) == followers


def test_followers_get_the_contents_of_the_store_from_relays(domain, fleet):
    """Followers must not need the store: 88 instances that read it make 8,000 calls."""
    relays, followers = domain
    version = fleet.configure()["version"]
    for follower in followers:
        wait_for(
            lambda: follower.versions_in_force()[-1] == version,  # noqa: B023
            PROPAGATION_S,
        )
    assert followers_ignoring_draining_target(followers, fleet) == []
    fleet.store.down = True
    for relay in relays:
        wait_for(lambda: relay.events("store_lost"), 5)  # noqa: B023
    for number, follower in enumerate(followers):
        assert not follower.events("store_lost")
        assert follower.stream(f"s{number}").status == 200


def test_followers_replace_relays_that_are_all_killed(domain, fleet):
    """All relays of a domain die at once, and the configuration changes after that."""
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
            PROPAGATION_S,
        )
    wait_for(lambda: sum(dump(each)["duty"]["held"] for each in followers) == 1, 10)
