"""Follows the configuration and the list of targets; peers help while the store fails.

The store is the source. Relays read it (see :mod:`celeryfork_entry.roster`); the others
follow a relay of their domain. A peer is asked by an instance that knows no
configuration yet, and by one that hears of a newer version than its own.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.peer_state import (
    CONFIGURATION_PATH,
    KNOWN_PATH,
    decode_known,
    encode_changes,
    encode_known,
)
from celeryfork_entry.ports import (
    ConfigurationFeed,
    StoreUnavailableError,
    TargetFeed,
)
from celeryfork_entry.relayed_list import RelayedList
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    OutgoingRequest,
    TargetConnections,
)
from celeryfork_entry.targets import TargetTable

LIST_PAUSE_S = 0.6
"""Pause between two readings of the list, so that its changes come together.

A leaving target gets no new work after 2 s, of which the list itself lags 0.8 s. The
reads of 690 instances stay below the store's 2,000 a second.
"""
STORE_RETRY_S = 0.3
"""Pause after the store gave no answer, and between two looks whether to ask again."""
LONGEST_RETRY_S = 3.0
"""Longest such pause of a follower, which relays tell what they read meanwhile; it
doubles with each failure. A change must be in force within 4 s on large sites."""
LAPSE_S = 2.0
"""Time after the store's return in which entries that lapsed may come back."""
FOLLOWER_LOOK_S = 0.2
"""Pause of a follower between two looks whether it has to read the store itself."""
UNREAD_AGE_S = 3_600.0
"""Age that is told of a list that was never read."""
PEERS_AT_ONCE = 4
"""Peers that are asked at the same time at a start without the store."""
PEER_TIMEOUT_S = 0.5
"""Wait for a peer's answer; it is a few round trips."""
MOST_KNOWN_BYTES = 16 << 20
"""Longest answer of a peer; a configuration has a few MB at most."""


@define(eq=False)
class StoreFollower:
    """What this instance knows of the configuration, and how fresh it is.

    Parameters
    ----------
    peers
        Gives the addresses at which peers may be asked, the nearest first.
    on_change
        Called when the list or the configuration has changed.
    reads_store
        Tells whether this instance reads the store itself, as relays do.
    relays
        Tells whether it relays.
    spawn
        Runs a task beside the others.
    """

    _configurations: ConfigurationFeed
    _targets: TargetFeed
    _table: TargetTable
    _connections: TargetConnections
    _log: Logger
    _counters: Counters
    peers: Callable[[], Sequence[str]]
    configuration: Configuration | None = None
    list_read_s: float = 0.0
    spare_until_s: float = 0.0
    store_away: set[str] = field(factory=set)
    reads_store: Callable[[], bool] = lambda: True
    relays: Callable[[], bool] = lambda: False
    spawn: Callable[[Awaitable[object]], object] = asyncio.ensure_future
    on_change: Callable[[], None] = lambda: None
    _asking: bool = False
    _failures_by_feed: dict[str, int] = field(factory=dict)
    _encoded: tuple[int, bytes] = (-1, b"")
    _relayed: RelayedList = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Follow relays over the same table."""
        self._relayed = RelayedList(
            self._table,
            self._log,
            self._counters,
            lambda address, path: self._question(address, path),
            self.spawn,
        )

    @property
    def version(self) -> int:
        """Return the version in force, -1 for none."""
        return -1 if self.configuration is None else self.configuration.version

    async def follow_configuration(self) -> None:
        """Take each new configuration, for good."""
        while True:
            if self.configuration is not None and not self.reads_store():
                self._end_outage("configuration")
                self._configurations.request_full_read()
                await asyncio.sleep(FOLLOWER_LOOK_S)
                continue
            try:
                newest = await self._configurations.poll()
            except StoreUnavailableError as error:
                await self._store_failed("configuration", error)
                continue
            self._store_answered("configuration")
            self._take(newest, "the store")

    async def follow_targets(self) -> None:
        """Take each change of the list, for good."""
        while True:
            if self.list_read_s > 0 and not self.reads_store():
                self._end_outage("targets")
                self._targets.request_full_read()
                await asyncio.sleep(FOLLOWER_LOOK_S)
                continue
            try:
                changes = await self._targets.poll()
            except StoreUnavailableError as error:
                await self._store_failed("targets", error)
                continue
            now_s = self.list_read_s = time.monotonic()
            self._relayed.left()
            if self._store_answered("targets"):
                self.spare_until_s = now_s + LAPSE_S
            spare = self._table.list_is_stale = now_s < self.spare_until_s
            if changes is None:
                self._table.replace_all(self._targets.full_list(), spare=spare)
            else:
                self._table.apply(changes, spare=spare)
            self.on_change()
            await asyncio.sleep(LIST_PAUSE_S)

    def store_outage_s(self) -> float:
        """Return the time since the list was last read, 0 while the store answers."""
        if "targets" not in self.store_away:
            return 0.0
        return time.monotonic() - self.list_read_s

    def list_state(self) -> tuple[int, float, bool]:
        """Return the list's revision, its age in s, and whether it may be old."""
        read_s = self.list_read_s
        age_s = time.monotonic() - read_s if read_s else UNREAD_AGE_S
        return self._table.changes.revision, age_s, self._table.list_is_stale

    def known(self) -> bytes:
        """Return the message to a peer that asks."""
        return encode_known(self.configuration, self._table.by_id.values())

    def known_configuration(self) -> bytes:
        """Return the message to a peer that asks for the configuration alone."""
        if self._encoded[0] != self.version:
            self._encoded = (self.version, encode_known(self.configuration, ()))
        return self._encoded[1]

    def changes_since(self, revision: int) -> bytes:
        """Return the message to a follower that has the list of a revision."""
        changes, by_id = self._table.changes, self._table.by_id
        since = changes.since(revision)
        if since is None:
            return encode_changes(changes.revision, by_id.values(), (), whole=True)
        changed, gone = since
        targets = [by_id[target_id] for target_id in changed if target_id in by_id]
        return encode_changes(changes.revision, targets, gone, whole=False)

    def receive_digest(self, digest: RelayDigest) -> None:
        """Take what a relay of this domain says of its list, unless the store does."""
        self._relayed.heard(digest)
        if self.reads_store() and "targets" not in self.store_away:
            return
        if not self._relayed.is_to_follow(digest):
            return
        read_s = time.monotonic() - digest.list_age_s
        self.list_read_s = max(self.list_read_s, read_s)
        self._table.list_is_stale = digest.list_is_stale
        self._relayed.take(digest)

    def relays_are_stale(self) -> bool:
        """Return whether no relay of the domain has a fresh list."""
        return self._relayed.is_stale()

    async def fetch_configuration(self, version: int, address: str) -> None:
        """Ask a peer that has a newer configuration; the store may be slower."""
        if self._asking or version <= self.version:
            return
        self._asking = True
        try:
            await self._ask(address, CONFIGURATION_PATH)
        finally:
            self._asking = False

    def _take(self, newest: Configuration | None, source: str) -> None:
        if newest is None or newest.version <= self.version:
            return
        self.configuration = newest
        self.on_change()
        self._log.info("configuration_in_force", version=newest.version, source=source)

    async def _store_failed(self, what: str, error: Exception) -> None:
        if what not in self.store_away:
            self.store_away.add(what)
            self._table.list_is_stale |= what == "targets"
            self._log.info("store_lost", what=what, reason=str(error))
        self._counters.add("store.failed")
        if what == "configuration" and self.configuration is None:
            await self._ask_anyone()
        failures = self._failures_by_feed.get(what, 0) + 1
        self._failures_by_feed[what] = failures
        await self._wait_to_retry(failures)

    async def _wait_to_retry(self, failures: int) -> None:
        """Wait after so many failures in a row, for less long once this one relays."""
        share, begun_s = random.uniform(0.5, 1.0), time.monotonic()
        while True:
            await asyncio.sleep(STORE_RETRY_S)
            if self.relays() or self.configuration is None or self.list_read_s == 0:
                return
            pause_s = min(LONGEST_RETRY_S, STORE_RETRY_S * 2 ** min(failures, 8))
            if time.monotonic() - begun_s >= share * pause_s:
                return

    def _end_outage(self, what: str) -> None:
        self.store_away.discard(what)
        self._failures_by_feed.pop(what, None)

    def _store_answered(self, what: str) -> bool:
        """Note an answer; return whether it is the first after a while without."""
        if what not in self.store_away:
            return False
        self._end_outage(what)
        self._log.info("store_regained", what=what)
        return True

    async def _ask_anyone(self) -> None:
        """Ask peers, a few at a time, until one knows a configuration.

        The newest of theirs counts: one alone may have been cut off for a while.
        """
        for addresses in _batched(self.peers(), PEERS_AT_ONCE):
            await asyncio.gather(*(self._ask(each, KNOWN_PATH) for each in addresses))
            if self.configuration is not None:
                return

    async def _ask(self, address: str, path: str) -> None:
        """Take what a peer knows."""
        try:
            known = decode_known(await self._question(address, path))
        except (NotSentError, LostError, TimeoutError, ValueError) as error:
            self._counters.add("peers.unanswered")
            self._log.info("peer_unanswered", peer=address, reason=repr(error))
            return
        if known.encoded:
            self._take(await self._configurations.decode(known.encoded), address)
        if self.list_read_s == 0 and known.targets:
            self.list_read_s = time.monotonic()
            self._table.replace_all(known.targets)
            self._log.info("targets_taken", peer=address, targets=len(known.targets))

    async def _question(self, address: str, path: str) -> bytes:
        async with asyncio.timeout(PEER_TIMEOUT_S):
            request = OutgoingRequest("GET", path)
            reply = await self._connections.send(address, request)
            try:
                body = await reply.read_all(MOST_KNOWN_BYTES)
            finally:
                reply.drop()
            if reply.status != 200:
                raise LostError(f"status {reply.status}")
            return body


def _batched(addresses: Sequence[str], count: int) -> Iterator[Sequence[str]]:
    """Yield the addresses in groups of ``count``, the last one maybe smaller."""
    for first in range(0, len(addresses), count):
        yield addresses[first : first + count]
