"""Feeds of a store and relays of its list, for tests of those that follow them."""

import asyncio

from celeryfork_base.counters import Counters
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.peer_state import CHANGES_PATH
from celeryfork_entry.ports import Peer
from celeryfork_entry.store_follower import StoreFollower
from celeryfork_entry.target_http import LostError, TargetConnections
from celeryfork_entry.targets import Target, TargetTable
from logbook import Logger

TARGET = Target("t1", "llm", "10.0.0.1:80", "a")


class Feed:
    """Gives what it was told, in order, then waits for good."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.begun_anew = False

    def request_full_read(self):
        self.begun_anew = True

    async def poll(self):
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def full_list(self):
        return [TARGET]


class AskingFollowing(StoreFollower):
    """Asks a function instead of a peer."""

    question = None

    async def _question(self, address, path):
        return await self.question(address, path)


def make_following(table=None, **fields):
    return AskingFollowing(
        Feed(), Feed(), table or TargetTable(), TargetConnections(), Logger("test"),
        Counters(), lambda: [], **fields,
    )  # fmt: skip


class Relay:
    """A relay that a follower asks, and what it says of its list."""

    def __init__(self, address="10.0.0.2:7"):
        self.following = make_following()
        self.peer = Peer("relay", "a", address)
        self.age_s = 0.0
        self.old = False
        self.asked = []

    @property
    def table(self):
        return self.following._table

    def digest(self):
        return RelayDigest(
            self.peer, None, -1, {}, {}, (), {},
            revision=self.table.changes.revision, list_age_s=self.age_s,
            list_is_stale=self.old, counts={}, away_loads={},
        )  # fmt: skip


def follow_relays(*relays, table=None):
    """Return a follower of relays that it can ask."""
    by_address = {relay.peer.address: relay for relay in relays}

    async def question(address, path):
        relay = by_address[address]
        if relay.asked and relay.asked[-1] == "silent":
            raise LostError("no answer")
        relay.asked.append(path)
        revision = path.removeprefix(CHANGES_PATH)
        known = int(revision) if revision.isdecimal() else -1
        return relay.following.changes_since(known)

    following = make_following(table, reads_store=lambda: False)
    following.question = question
    return following


def hear(following, *relays):
    async def take():
        for relay in relays:
            following.receive_digest(relay.digest())
            await asyncio.sleep(0.01)

    asyncio.run(take())
