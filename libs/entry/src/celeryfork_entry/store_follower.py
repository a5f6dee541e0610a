"""Follows the configuration and the target list, from the store or from peers.

Relays read the store (see :mod:`celeryfork_entry.roster`); the other instances
(followers) copy from a relay of their domain. An instance asks a peer if it has no
configuration and the store is unavailable, or if it learns that the peer has a newer
version.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.list_changes import ListState
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.peer_state import (
    CONFIGURATION_PATH,
    STATE_PATH,
    PeerState,
    decode_state,
    encode_changes,
    encode_state,
)
from celeryfork_entry.ports import (
    ConfigurationFeed,
    StoreUnavailableError,
    TargetFeed,
)
from celeryfork_entry.relayed_list import UNREAD_AGE_S, RelayedList
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    OutgoingRequest,
    TargetConnections,
)
from celeryfork_entry.targets import ListChange, TargetTable

LIST_READ_INTERVAL_S = 0.6
"""Seconds between two reads of the target list, so that changes are batched.

A leaving target must get no new work after 2 s, of which the list itself lags 0.8 s.
The reads of 690 instances stay below the store's limit of 2,000 a second.
"""
STORE_RETRY_S = 0.3
"""Seconds before each retry of the store by a relay. A follower waits longer; it checks
at this interval if its wait has ended."""
MAX_STORE_RETRY_S = 3.0
"""Upper bound of a follower's wait, which doubles with each failure; relays meanwhile
forward what they read. A change must be in force within 4 s on large sites."""
FAILURES_OF_TURNED_AWAY = 2
"""Consecutive failures after which a relay counts as turned away by the store."""
EXPIRY_GRACE_S = 2.0
"""Seconds after the store's return for which expired entries of the target list are
kept, so that they may be renewed; also after a restore that no call has noticed."""
FOLLOWER_CHECK_INTERVAL_S = 0.2
"""Interval in seconds at which a follower checks if it has to read the store itself."""
MAX_CONCURRENT_PEER_REQUESTS = 4
"""Number of peers asked at the same time when an instance starts without the store."""
PEER_TIMEOUT_S = 0.5
"""Timeout in seconds for a peer's answer, which takes a few round trips."""
MIN_READ_S = 0.001
"""Least time of a read, as 0 stands for a list that was never read."""
MAX_STATE_BYTES = 16 << 20
"""Maximum size of a peer's answer; a configuration has a few MB at most."""


@define(eq=False)
class StoreFollower:
    """Keeps the configuration and the target table up to date.

    Parameters
    ----------
    peers
        Returns the addresses of peers that may be asked, the nearest first.
    list_read_s
        Monotonic time of the last read of the target list, by this instance or by the
        relay that it follows; 0 before the first.
    on_change
        Called when the target list or the configuration has changed.
    reads_store
        Returns True if this instance reads the store itself, as relays do.
    is_relay
        Returns True if this instance is a relay.
    unavailable_feeds
        Feeds of the store ("targets", "configuration") of which the last poll failed.
    grace_until_s
        Time until which expired targets are kept after an outage of the store.
    spawn
        Starts a concurrent task.
    domain
        Failure domain of this instance.
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
    grace_until_s: float = 0.0
    unavailable_feeds: set[str] = field(factory=set)
    reads_store: Callable[[], bool] = lambda: True
    is_relay: Callable[[], bool] = lambda: False
    spawn: Callable[[Awaitable[object]], object] = asyncio.ensure_future
    on_change: Callable[[], None] = lambda: None
    domain: str = ""
    _fetching: bool = False
    _failures_by_feed: dict[str, int] = field(factory=dict)
    _encoded: tuple[int, bytes] = (-1, b"")
    _relayed: RelayedList = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the copy of a relay's list, which uses the same table."""
        self._relayed = RelayedList(
            self._table,
            self._log,
            self._counters,
            lambda address, path: self._request(address, path),
            self.spawn,
            self.domain,
            lambda: self.on_change(),
        )

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, -1 for none."""
        return -1 if self.configuration is None else self.configuration.version

    async def follow_configuration(self) -> None:
        """Apply new configurations until cancelled."""
        while True:
            if self.configuration is not None and not self.reads_store():
                self._end_outage("configuration")
                self._configurations.request_full_read()
                await asyncio.sleep(FOLLOWER_CHECK_INTERVAL_S)
                continue
            try:
                newest = await self._configurations.poll()
            except StoreUnavailableError as error:
                await self._store_failed("configuration", error)
                continue
            self._store_answered("configuration")
            self._adopt(newest, "the store")

    async def follow_targets(self) -> None:
        """Apply changes of the target list until cancelled."""
        while True:
            if self.list_read_s > 0 and not self.reads_store():
                self._end_outage("targets")
                self._targets.request_full_read()
                await asyncio.sleep(FOLLOWER_CHECK_INTERVAL_S)
                continue
            followed, position = self._relayed.current_relay, self._table.position
            if followed:
                # The next changes don't tell what was removed before them.
                self._targets.request_full_read()
            try:
                changes = await self._targets.poll()
            except StoreUnavailableError as error:
                await self._store_failed("targets", error)
                continue
            if self._is_outdated(changes, followed, position):
                self._targets.request_full_read()
                continue
            if followed:
                self._log.info(
                    "store_followed",
                    before=followed,
                    list_age_s=round(time.monotonic() - self.list_read_s, 3),
                )
            now_s = self.list_read_s = time.monotonic()
            self._relayed.reset()
            regained = self._store_answered("targets")
            if regained or self._table.is_of_earlier_era(self._targets.position):
                self.grace_until_s = now_s + EXPIRY_GRACE_S
            self._table.move_to(self._targets.position)
            keep_expired = self._table.list_is_stale = now_s < self.grace_until_s
            if changes is None:
                self._table.replace_all(
                    self._targets.full_list(), keep_expired=keep_expired
                )
            else:
                self._table.apply(changes, keep_expired=keep_expired)
            self.on_change()
            await asyncio.sleep(LIST_READ_INTERVAL_S)

    def _is_outdated(
        self,
        changes: Sequence[ListChange] | None,
        followed: str,
        position: LogPosition | None,
    ) -> bool:
        """Return True if a relay's list that came meanwhile goes before an answer.

        Parameters
        ----------
        changes
            Answer of the store, None for a full read.
        followed, position
            Relay that was followed before the request, and the position of the list.
        """
        if self._relayed.current_relay != followed and changes is not None:
            return True
        return self._table.position != position and self._table.is_newer_than(
            self._targets.position
        )

    def store_outage_s(self) -> float:
        """Return the seconds since the last read of the target list.

        It is 0 while the store answers.
        """
        if "targets" not in self.unavailable_feeds:
            return 0.0
        return time.monotonic() - self.list_read_s

    def list_state(self) -> ListState:
        """Return the version and age of the target list."""
        read_s = self.list_read_s
        age_s = time.monotonic() - read_s if read_s else UNREAD_AGE_S
        return ListState(
            self._table.changes.revision,
            age_s,
            self._table.list_is_stale,
            self._table.position,
            from_store=self._reads_store_now(),
        )

    def _reads_store_now(self) -> bool:
        """Return True if this instance reads the list, and the store answers it.

        After one failure, such as a reset connection, the next read mostly succeeds.
        Followers that switch to another relay take its whole list.
        """
        failures = self._failures_by_feed.get("targets", 0)
        return failures < FAILURES_OF_TURNED_AWAY and self.reads_store()

    def known(self) -> bytes:
        """Return the configuration and targets as a message to a peer."""
        state = self.list_state()
        return encode_state(
            self.configuration, self._table.by_id.values(), state.position, state.age_s
        )

    def encoded_configuration(self) -> bytes:
        """Return the configuration without targets as a message to a peer."""
        if self._encoded[0] != self.version:
            self._encoded = (self.version, encode_state(self.configuration, ()))
        return self._encoded[1]

    def changes_since(self, revision: int) -> bytes:
        """Return the changes since a revision as a message to a follower."""
        changes, by_id = self._table.changes, self._table.by_id
        since = changes.since(revision)
        if since is None:
            return encode_changes(
                changes.revision,
                by_id.values(),
                (),
                whole=True,
                position=self._table.position,
            )
        changed, removed = since
        targets = [by_id[target_id] for target_id in changed if target_id in by_id]
        return encode_changes(
            changes.revision,
            targets,
            removed,
            whole=False,
            position=self._table.position,
        )

    def receive_digest(self, digest: RelayDigest) -> None:
        """Apply a relay's digest, unless this instance reads the store successfully.

        A relay of another domain is followed only by an instance that reads the store:
        the store may turn away all relays of a domain.
        """
        reads_store = self.reads_store()
        if digest.sender.domain != self.domain and not reads_store:
            return
        self._relayed.record_digest(digest)
        if reads_store and "targets" not in self.unavailable_feeds:
            return
        if not self._relayed.should_follow(digest):
            return
        read_s = time.monotonic() - digest.list_age_s
        self.list_read_s = max(self.list_read_s, read_s)
        self._table.list_is_stale = digest.list_is_stale
        same = digest.list_position is not None and (
            digest.list_position == self._table.position
        )
        if reads_store and same and not self._relayed.current_relay:
            return
        self._relayed.fetch_changes(digest)

    def relays_are_stale(self) -> bool:
        """Return True if no relay of the domain has a fresh target list."""
        return self._relayed.is_stale()

    async def fetch_configuration(self, version: int, address: str) -> None:
        """Fetch a newer configuration from a peer; the store may be slower."""
        if self._fetching or version <= self.version:
            return
        self._fetching = True
        try:
            await self._fetch_from(address, CONFIGURATION_PATH)
        finally:
            self._fetching = False

    def _adopt(self, newest: Configuration | None, source: str) -> None:
        if newest is None or newest.version <= self.version:
            return
        self.configuration = newest
        self.on_change()
        self._log.info("configuration_in_force", version=newest.version, source=source)

    async def _store_failed(self, what: str, error: Exception) -> None:
        if what not in self.unavailable_feeds:
            self.unavailable_feeds.add(what)
            self._table.list_is_stale |= what == "targets"
            self._log.info("store_lost", what=what, reason=str(error))
        self._counters.add("store.failed")
        if what == "configuration" and self.configuration is None:
            await self._fetch_from_any_peer()
        failures = self._failures_by_feed.get(what, 0) + 1
        self._failures_by_feed[what] = failures
        await self._wait_to_retry(failures)

    async def _wait_to_retry(self, failures: int) -> None:
        """Wait for a time that grows with the consecutive failures.

        A relay, or an instance that lacks the configuration or the target list, waits
        only for ``STORE_RETRY_S``.
        """
        share, started_s = random.uniform(0.5, 1.0), time.monotonic()
        while True:
            await asyncio.sleep(STORE_RETRY_S)
            if self.is_relay() or self.configuration is None or self.list_read_s == 0:
                return
            pause_s = min(MAX_STORE_RETRY_S, STORE_RETRY_S * 2 ** min(failures, 8))
            if time.monotonic() - started_s >= share * pause_s:
                return

    def _end_outage(self, what: str) -> None:
        self.unavailable_feeds.discard(what)
        self._failures_by_feed.pop(what, None)

    def _store_answered(self, what: str) -> bool:
        """Record an answer of the store; return True if it ends an outage."""
        if what not in self.unavailable_feeds:
            return False
        self._end_outage(what)
        self._log.info("store_regained", what=what)
        return True

    async def _fetch_from_any_peer(self) -> None:
        """Ask peers, a few at a time, until one has a configuration.

        The newest of a batch is used: a single peer may have been cut off for a while.
        """
        for addresses in _batched(self.peers(), MAX_CONCURRENT_PEER_REQUESTS):
            await asyncio.gather(
                *(self._fetch_from(each, STATE_PATH) for each in addresses)
            )
            if self.configuration is not None:
                return

    async def _fetch_from(self, address: str, path: str) -> None:
        """Fetch and apply the state of a peer."""
        try:
            known = decode_state(await self._request(address, path))
        except (NotSentError, LostError, TimeoutError, ValueError) as error:
            self._counters.add("peers.unanswered")
            self._log.info("peer_unanswered", peer=address, reason=repr(error))
            return
        if known.configuration_bytes:
            self._adopt(
                await self._configurations.decode(known.configuration_bytes), address
            )
        if known.targets and self._lacks(known):
            self.list_read_s = max(MIN_READ_S, time.monotonic() - known.list_age_s)
            self._table.move_to(known.position)
            self._table.replace_all(known.targets)
            self._log.info("targets_taken", peer=address, targets=len(known.targets))

    def _lacks(self, known: PeerState) -> bool:
        """Return True if this instance has no list, or a peer's older than this one."""
        own = self._table.position
        return self.list_read_s == 0 or (
            self._targets.position is None
            and own is not None
            and known.position is not None
            and known.position > own
        )

    async def _request(self, address: str, path: str) -> bytes:
        async with asyncio.timeout(PEER_TIMEOUT_S):
            request = OutgoingRequest("GET", path)
            reply = await self._connections.send(address, request)
            try:
                body = await reply.read_all(MAX_STATE_BYTES)
            finally:
                reply.drop()
            if reply.status != 200:
                raise LostError(f"status {reply.status}")
            return body


def _batched(addresses: Sequence[str], count: int) -> Iterator[Sequence[str]]:
    """Yield the addresses in batches of ``count``; the last may be smaller."""
    for first in range(0, len(addresses), count):
        yield addresses[first : first + count]
