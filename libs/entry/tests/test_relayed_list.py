"""Choice of the relay whose target list an instance follows."""

import asyncio
import time

import pytest
from attrs import evolve
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.peer_messages import decode, encode_digest
from celeryfork_entry.peer_protocol import REMOTE_REPORT_PERIOD
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_entry.relayed_list import (
    RELAY_SILENCE_S,
    STALE_S,
    STALE_SPREAD_S,
)
from celeryfork_entry.roster import RELAYS_PER_DOMAIN
from celeryfork_entry.targets import Listed
from followed_store import (
    TARGET,
    Feed,
    Relay,
    follow_relays,
    make_follower,
    receive_digests,
)
from instance_network import Network
from orjson import dumps, loads

LEAVING = evolve(TARGET, draining=True, entry_number=1)
NEAR = "10.0.0.2:7"
NEAR_TOO = "10.0.0.3:7"
REMOTE = "10.1.0.2:7"
REMOTE_TOO = "10.1.0.3:7"


def make_reading(address=REMOTE, domain="b"):
    """Return a relay that reads the store, and knows that the target leaves."""
    relay = Relay(address, LogPosition(1, 6), domain)
    relay.table.apply([Listed(LEAVING)])
    relay.age_s = 0.9
    return relay


def make_turned_away(address=NEAR):
    """Return a relay of the domain with an older list, whom the store turns away."""
    relay = Relay(address, LogPosition(1, 5))
    relay.table.apply([Listed(TARGET)])
    relay.reads_store, relay.age_s = False, 0.1
    return relay


def follow_as_relay(*relays):
    """Return a relay that the store turns away, with the older list."""
    follower = follow_relays(*relays)
    follower.reads_store = lambda: True
    follower.unavailable_feeds = {"targets"}
    follower._table.apply([Listed(TARGET)])
    follower._table.position = LogPosition(1, 5)
    return follower


def current_relay(follower):
    return follower._relayed.current_relay


# The store turned away all relays of a domain, whose instances sent requests to an
# engine 3.2 s and more after it left (DRAIN); relays of other domains knew.
def test_a_relay_that_is_turned_away_follows_one_of_another_domain():
    near, remote = make_turned_away(), make_reading()
    follower = follow_as_relay(near, remote)
    receive_digests(follower, near, remote, near)
    assert follower._table.by_id[TARGET.id].draining
    assert current_relay(follower) == REMOTE


# An instance stayed with a relay that was turned away for up to 2.6 s, as the age of
# its list was less than that of the list of the relay that read the store.
@pytest.mark.parametrize("is_relay", [True, False], ids=["relay", "follower"])
def test_a_relay_that_reads_the_store_goes_before_one_that_is_turned_away(is_relay):
    copying, reading = make_turned_away(), make_reading(NEAR_TOO, "a")
    follower = follow_as_relay(copying, reading)
    follower.reads_store = lambda: is_relay
    receive_digests(follower, copying)
    receive_digests(follower, copying, reading)
    assert current_relay(follower) == NEAR_TOO
    assert follower._table.by_id[TARGET.id].draining


@pytest.mark.parametrize("followed", [False, True], ids=["new", "followed"])
@pytest.mark.parametrize("is_relay", [True, False], ids=["relay", "follower"])
def test_a_relay_whose_list_cannot_be_fetched_is_left(is_relay, followed):
    """Its digests were heard, so that its followers kept their list for good."""
    failing, answering = make_reading(NEAR, "a"), make_reading(NEAR_TOO, "a")
    failing.age_s = 0.1
    follower = follow_as_relay(failing, answering)
    follower.reads_store = lambda: is_relay
    if followed:
        receive_digests(follower, failing)
        assert current_relay(follower) == NEAR
    failing.requested_paths = ["silent"]
    added = evolve(TARGET, id="t2")
    for relay in (failing, answering):
        relay.table.apply([Listed(added)])
    receive_digests(follower, failing, answering, failing)
    assert current_relay(follower) == NEAR_TOO
    assert added.id in follower._table.by_id


@pytest.mark.parametrize("answers", [True, False])
def test_the_store_is_read_if_no_list_of_a_relay_can_be_fetched(answers):
    """A follower whose relays sent digests, but no list, never read the store."""
    relay = make_reading(NEAR, "a")
    follower = follow_relays(relay)
    if not answers:
        relay.requested_paths = ["silent"]
    receive_digests(follower, relay)
    follower._relayed._usable_s -= STALE_S + STALE_SPREAD_S
    receive_digests(follower, relay)
    assert follower.relays_are_stale() != answers


@pytest.mark.parametrize("usable", [True, False], ids=["old", "unusable"])
def test_relays_of_another_domain_do_not_keep_an_instance_from_the_store(usable):
    """Only relays hear them, and may not be one at the next moment."""
    near, remote = make_turned_away(), make_reading()
    follower = follow_as_relay(near, remote)
    if usable:
        near.age_s = STALE_S + STALE_SPREAD_S
    else:
        follower._table.position = LogPosition(1, 6)
        follower._relayed._usable_s -= STALE_S + STALE_SPREAD_S
    receive_digests(follower, near, remote)
    assert follower.relays_are_stale()


def test_a_relay_of_another_domain_is_left_when_one_of_its_own_reads_the_store():
    remote, near = make_reading(), make_reading(NEAR, "a")
    follower = follow_as_relay(remote, near)
    receive_digests(follower, remote)
    assert current_relay(follower) == REMOTE
    receive_digests(follower, remote, near, remote)
    assert current_relay(follower) == NEAR


def test_a_relay_of_another_domain_is_not_followed_where_one_of_its_own_reads():
    remote, near = make_reading(), make_reading(NEAR, "a")
    remote.age_s = 0.0
    follower = follow_as_relay(remote, near)
    receive_digests(follower, near, remote, near)
    assert remote.requested_paths == []


def test_a_follower_does_not_follow_a_relay_of_another_domain():
    """It sends few datagrams at any size: only relays talk to other domains."""
    near, remote = make_turned_away(), make_reading()
    follower = follow_relays(near, remote)
    receive_digests(follower, near, remote, near)
    assert current_relay(follower) == NEAR
    assert remote.requested_paths == []


def test_relays_of_another_domain_that_read_no_store_are_not_followed():
    """In an outage of the whole store, nobody copies lists across domains."""
    near, remote = make_turned_away(), make_reading()
    remote.reads_store = False
    follower = follow_as_relay(near, remote)
    receive_digests(follower, near, remote, near)
    assert remote.requested_paths == []


def test_a_relay_of_another_domain_is_kept_between_its_digests():
    """A switch costs a whole list: it sends once a second, and may read as rarely."""
    remote, other = make_reading(), make_reading(REMOTE_TOO)
    follower = follow_as_relay(remote, other)
    receive_digests(follower, remote, other)
    remote.age_s, other.age_s = STALE_S - 0.1, 0.1
    follower._relayed.record_digest(remote.digest())
    received_s = time.monotonic() - 2 * RELAY_SILENCE_S
    follower._relayed._digest_by_relay[REMOTE] = (remote.digest(), received_s)
    receive_digests(follower, other)
    assert current_relay(follower) == REMOTE


def test_what_was_taken_from_a_relay_is_announced():
    """The followers of a relay that was turned away heard of it 0.25 s later."""
    announced = []
    follower = follow_as_relay(remote := make_reading())
    follower.on_change = lambda: announced.append(follower.list_state().revision)
    receive_digests(follower, remote)
    assert announced == [follower._table.changes.revision]


class FailingStore(Feed):
    """Fails a number of times, then blocks forever."""

    def __init__(self, failures):
        super().__init__(*[StoreUnavailableError("away")] * failures)


@pytest.mark.parametrize(
    ("failures", "is_relay", "from_store"),
    [(0, True, True), (1, True, True), (2, True, False), (0, False, False)],
    ids=["reads", "failed-once", "turned-away", "follower"],
)
def test_an_instance_tells_if_it_reads_the_list_from_the_store(
    monkeypatch, failures, is_relay, from_store
):
    """All followers of a relay would leave it at each connection that is reset."""
    monkeypatch.setattr("celeryfork_entry.store_follower.STORE_RETRY_S", 0.001)
    follower = make_follower(reads_store=lambda: is_relay, is_relay=lambda: True)
    follower._targets = FailingStore(failures)

    async def run():
        task = asyncio.ensure_future(follower.follow_targets())
        while follower._targets.answers:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run())
    assert follower.list_state().from_store == from_store


@pytest.mark.parametrize("reads", [True, False])
def test_digests_tell_if_the_list_is_read_from_the_store(reads):
    digest = evolve(Relay().digest(), list_from_store=reads)
    assert decode(encode_digest(digest)).list_from_store == reads


@pytest.mark.parametrize("is_stale", [True, False])
def test_a_relay_of_an_earlier_release_tells_only_if_its_list_is_stale(is_stale):
    fields = loads(encode_digest(evolve(Relay().digest(), list_is_stale=is_stale)))
    del fields["reads"]
    assert decode(dumps(fields)).list_from_store == (not is_stale)


class Fleet:
    """Two domains of instances in memory, of which one is turned away by the store."""

    def __init__(self, sizes):
        self.network = Network(sizes)
        self.followers = {
            each.roster.own.address: self._make_follower(each)
            for each in self.network.by_address.values()
        }

    def _make_follower(self, instance):
        follower = make_follower(
            reads_store=lambda: instance.roster.is_relay,
            is_relay=lambda: instance.roster.is_relay,
        )
        follower.domain = follower._relayed.domain = instance.domain
        follower.request_peer = self.request
        follower.on_change = instance.announce_changes
        instance.on_digest = follower.receive_digest
        instance.list_state = follower.list_state
        return follower

    async def request(self, address, path):
        revision = int(path.rpartition("/")[2].rpartition("=")[2])
        return self.followers[address].changes_since(revision)

    def of_domain(self, domain):
        return [each for each in self.followers.values() if each.domain == domain]

    def read_store(self, domain, target, offset):
        """Let the relays of a domain read a change, at another time each."""
        for follower in self.of_domain(domain):
            if follower.reads_store():
                follower._table.move_to(LogPosition(1, offset))
                follower._table.apply([Listed(target)])
                follower.list_read_s = time.monotonic()

    async def report(self, times):
        for _ in range(times):
            self.network.report(1)
            await asyncio.sleep(0.05)


def test_a_domain_whose_relays_are_all_turned_away_learns_what_other_domains_read():
    """Its followers read the store only after 2.6 to 8.6 s, each by itself.

    An engine that left got requests for up to 6.7 s (a day with a release while the
    store turns a third of the instances away).
    """
    fleet = Fleet((RELAYS_PER_DOMAIN + 2, RELAYS_PER_DOMAIN))

    async def run():
        await fleet.report(2)
        for domain in ("east", "west"):
            fleet.read_store(domain, TARGET, 5)
        await fleet.report(2)
        for follower in fleet.of_domain("east"):
            follower.unavailable_feeds = {"targets"}
            follower._failures_by_feed = {"targets": 2}
        fleet.read_store("west", LEAVING, 6)
        await fleet.report(REMOTE_REPORT_PERIOD + 1)

    asyncio.run(run())
    for follower in fleet.followers.values():
        assert follower._table.by_id[TARGET.id].draining, follower.domain
