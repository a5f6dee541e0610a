"""Follows the configuration and the list of targets; peers help while the store fails.

The store is the source. Relays read it (see :mod:`celeryfork_entry.roster`); the others
follow a relay of their domain. A peer is asked by an instance that knows no
configuration yet, and by one that hears of a newer version than its own.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.known import (
    CHANGES_PATH,
    CONFIGURATION_PATH,
    KNOWN_PATH,
    KnownChanges,
    decode_changes,
    decode_known,
    encode_changes,
    encode_known,
)
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.ports import (
    ConfigurationFeed,
    StoreUnavailableError,
    TargetFeed,
)
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    OutgoingRequest,
    TargetConnections,
)
from celeryfork_entry.targets import Listed, TargetTable, Unlisted

LIST_PAUSE_S = 0.6
"""Pause between two readings of the list, so that its changes come together.

A leaving target gets no new work after 2 s, of which the list itself lags 0.8 s. The
reads of 690 instances stay below the store's 2,000 a second.
"""
STORE_RETRY_S = 0.3
"""Pause after the store gave no answer."""
LAPSE_S = 2.0
"""Time after the store's return in which entries that lapsed may come back."""
FOLLOWER_LOOK_S = 0.2
"""Pause of a follower between two looks whether it has to read the store itself."""
STALE_S = 2.6
"""Age of a relay's list at which another relay, or else the store, is asked; a relay
reads at least each 2 s."""
SILENT_RELAY_S = 0.6
"""Silence of the relay that is followed at which another one is: two of its digests."""
UNREAD_AGE_S = 3_600.0
"""Age that is told of a list that was never read."""
PEERS_AT_ONCE = 4
"""Peers that are asked at the same time at a start without the store."""
PEER_TIMEOUT_S = 0.5
"""Wait for a peer's answer; it is a few round trips."""
MOST_KNOWN_BYTES = 16 << 20
"""Longest answer of a peer; a configuration has a few MB at most."""


@define(eq=False)
class Following:
    """What this instance knows of the configuration, and how fresh it is.

    Parameters
    ----------
    peers
        Gives the addresses at which peers may be asked, the nearest first.
    on_change
        Called when the list or the configuration has changed.
    reads_store
        Tells whether this instance reads the store itself, as relays do.
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
    spawn: Callable[[Awaitable[object]], object] = asyncio.ensure_future
    on_change: Callable[[], None] = lambda: None
    _asking: bool = False
    _encoded: tuple[int, bytes] = (-1, b"")
    _followed: str = ""
    _followed_revision: int = -1
    _taking_changes: bool = False
    _digest_by_relay: dict[str, tuple[RelayDigest, float]] = field(factory=dict)

    @property
    def version(self) -> int:
        """Return the version in force, -1 for none."""
        return -1 if self.configuration is None else self.configuration.version

    async def follow_configuration(self) -> None:
        """Take each new configuration, for good."""
        while True:
            if self.configuration is not None and not self.reads_store():
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
                self.store_away.discard("targets")
                await asyncio.sleep(FOLLOWER_LOOK_S)
                continue
            try:
                changes = await self._targets.poll()
            except StoreUnavailableError as error:
                await self._store_failed("targets", error)
                continue
            now_s = self.list_read_s = time.monotonic()
            self._followed = ""
            if self._store_answered("targets"):
                self.spare_until_s = now_s + LAPSE_S
            spare = self._table.list_is_old = now_s < self.spare_until_s
            if changes is None:
                self._table.replace_all(self._targets.whole(), spare=spare)
            else:
                self._table.apply(changes, spare=spare)
            self.on_change()
            await asyncio.sleep(LIST_PAUSE_S)

    def away_s(self) -> float:
        """Return the time since the list was last read, 0 while the store answers."""
        if "targets" not in self.store_away:
            return 0.0
        return time.monotonic() - self.list_read_s

    def list_state(self) -> tuple[int, float, bool]:
        """Return the list's revision, its age in s, and whether it may be old."""
        read_s = self.list_read_s
        age_s = time.monotonic() - read_s if read_s else UNREAD_AGE_S
        return self._table.changes.revision, age_s, self._table.list_is_old

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

    def heard_digest(self, digest: RelayDigest) -> None:
        """Take what a relay of this domain says of its list, unless the store does."""
        now_s = time.monotonic()
        self._digest_by_relay[digest.sender.address] = (digest, now_s)
        if self.reads_store() and "targets" not in self.store_away:
            return
        if digest.sender.address != self._relay_to_follow(now_s):
            return
        self.list_read_s = max(self.list_read_s, now_s - digest.list_age_s)
        self._table.list_is_old = digest.list_is_old
        state = (digest.sender.address, digest.revision)
        followed = (self._followed, self._followed_revision)
        if state != followed and not self._taking_changes:
            self._taking_changes = True
            self.spawn(self._take_changes(digest.sender.address))

    def _relay_to_follow(self, now_s: float) -> str:
        """Return the relay that is followed on, unless it is silent or its list old."""
        ages = self._ages_by_relay(now_s)
        if not ages:
            return ""
        _, told_s = self._digest_by_relay.get(self._followed, (None, -SILENT_RELAY_S))
        silent = now_s - told_s >= SILENT_RELAY_S
        if silent or ages.get(self._followed, STALE_S) >= STALE_S:
            return min(ages, key=lambda address: (ages[address], address))
        return self._followed

    def _ages_by_relay(self, now_s: float) -> dict[str, float]:
        """Return the age of the list of each relay that has told of it lately."""
        ages = {
            address: now_s - at_s + digest.list_age_s
            for address, (digest, at_s) in self._digest_by_relay.items()
            if now_s - at_s < STALE_S
        }
        self._digest_by_relay = {each: self._digest_by_relay[each] for each in ages}
        return ages

    def relays_are_stale(self) -> bool:
        """Return whether no relay of the domain has a fresh list."""
        ages = self._ages_by_relay(time.monotonic())
        return min(ages.values(), default=STALE_S) >= STALE_S

    async def _take_changes(self, address: str) -> None:
        try:
            known_here = self._followed_revision if address == self._followed else -1
            path = f"{CHANGES_PATH}{known_here}"
            changes = decode_changes(await self._question(address, path))
        except (NotSentError, LostError, TimeoutError, ValueError) as error:
            self._counters.add("peers.unanswered")
            self._log.info("peer_unanswered", peer=address, reason=repr(error))
            return
        finally:
            self._taking_changes = False
        self._apply_changes(changes)
        if address != self._followed:
            self._log.info(
                "relay_followed",
                relay=address,
                revision=changes.revision,
                targets=len(self._table.by_id),
                before=self._followed,
            )
        self._followed, self._followed_revision = address, changes.revision

    def _apply_changes(self, changes: KnownChanges) -> None:
        self._counters.add("peers.changes_taken")
        if changes.whole:
            self._table.replace_all(changes.targets)
            return
        self._table.apply([Unlisted(target_id) for target_id in changes.gone])
        self._table.apply([Listed(target) for target in changes.targets])

    async def heard_of(self, version: int, address: str) -> None:
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
            self._table.list_is_old |= what == "targets"
            self._log.info("store_lost", what=what, reason=str(error))
        self._counters.add("store.failed")
        if what == "configuration" and self.configuration is None:
            await self._ask_anyone()
        await asyncio.sleep(STORE_RETRY_S)

    def _store_answered(self, what: str) -> bool:
        """Note an answer; return whether it is the first after a while without."""
        if what not in self.store_away:
            return False
        self.store_away.discard(what)
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
            self._take(self._configurations.decode(known.encoded), address)
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
