"""Fakes of a store's feeds and of relays, for tests of followers."""

import asyncio

from celeryfork_base.counters import Counters
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.peer_state import CHANGES_PATH
from celeryfork_entry.ports import Peer
from celeryfork_entry.store_follower import StoreFollower
from celeryfork_entry.target_http import LostError, TargetConnections
from celeryfork_entry.targets import Target, TargetTable
from logbook import Logger

DOMAIN = "a"
TARGET = Target("t1", "llm", "10.0.0.1:80", "a")


class Feed:
    """Returns or raises the given answers in order, then blocks forever."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.full_read_requested = False
        self.position = None

    def request_full_read(self):
        self.full_read_requested = True

    async def poll(self):
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, list):
            full, self.full_read_requested = self.full_read_requested, False
            return None if full else answer
        return answer

    def full_list(self):
        return [TARGET]


class FakePeerFollower(StoreFollower):
    """Calls ``request_peer`` instead of sending requests to peers."""

    request_peer = None

    async def _request(self, address, path):
        return await self.request_peer(address, path)


def make_follower(table=None, **fields):
    return FakePeerFollower(
        Feed(), Feed(), table or TargetTable(), TargetConnections(), Logger("test"),
        Counters(), lambda: [], domain=DOMAIN, **fields,
    )  # fmt: skip


class Relay:
    """A relay with its target list, and the paths that followers requested.

    Parameters
    ----------
    position
        Position in the store's log up to which its list was read.
    """

    def __init__(self, address="10.0.0.2:7", position=None, domain=DOMAIN):
        self.follower = make_follower()
        self.table.position = position
        self.peer = Peer("relay", domain, address)
        self.age_s = 0.0
        self.list_is_stale = False
        self.reads_store = True
        self.requested_paths = []

    @property
    def table(self):
        return self.follower._table

    def digest(self):
        return RelayDigest(
            self.peer, None, -1, {}, {}, (), {},
            revision=self.table.changes.revision, list_age_s=self.age_s,
            list_is_stale=self.list_is_stale, counts={}, remote_loads={},
            list_position=self.table.position, list_from_store=self.reads_store,
        )  # fmt: skip


def follow_relays(*relays, table=None):
    """Return a follower that fetches changes from the given relays."""
    by_address = {relay.peer.address: relay for relay in relays}

    async def request_peer(address, path):
        relay = by_address[address]
        if relay.requested_paths and relay.requested_paths[-1] == "silent":
            raise LostError("no answer")
        relay.requested_paths.append(path)
        revision = path.removeprefix(CHANGES_PATH)
        known = int(revision) if revision.isdecimal() else -1
        return relay.follower.changes_since(known)

    follower = make_follower(table, reads_store=lambda: False)
    follower.request_peer = request_peer
    return follower


def receive_digests(follower, *relays):
    async def receive_all():
        for relay in relays:
            follower.receive_digest(relay.digest())
            await asyncio.sleep(0.01)

    asyncio.run(receive_all())
