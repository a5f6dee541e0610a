"""Follows the configuration and the list of targets; peers help while the store fails.

The store is the source. A peer is asked by an instance that knows no configuration yet,
and by one that hears of a newer version than its own.
"""

import asyncio
import time
from collections.abc import Callable, Sequence

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.known import KNOWN_PATH, Known, decode_known, encode_known
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
from celeryfork_entry.targets import TargetTable

LIST_PAUSE_S = 0.6
"""Pause between two readings of the list, so that its changes come together.

A leaving target gets no new work after 2 s, of which the list itself lags 0.8 s. The
reads of 690 instances stay below the store's 2,000 a second.
"""
STORE_RETRY_S = 0.3
"""Pause after the store gave no answer."""
LAPSE_S = 2.0
"""Time after the store's return in which entries that lapsed may come back."""
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
    _asked_by_address: dict[str, int] = field(factory=dict)

    @property
    def version(self) -> int:
        """Return the version in force, -1 for none."""
        return -1 if self.configuration is None else self.configuration.version

    async def follow_configuration(self) -> None:
        """Take each new configuration, for good."""
        while True:
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
            try:
                changes = await self._targets.poll()
            except StoreUnavailableError as error:
                await self._store_failed("targets", error)
                continue
            now_s = self.list_read_s = time.monotonic()
            if self._store_answered("targets"):
                self.spare_until_s = now_s + LAPSE_S
            spare = self._table.list_is_old = now_s < self.spare_until_s
            if changes is None:
                self._table.replace_all(self._targets.whole(), spare=spare)
            else:
                self._table.apply(changes, spare=spare)
            await asyncio.sleep(LIST_PAUSE_S)

    def away_s(self) -> float:
        """Return the time since the list was last read, 0 while the store answers."""
        if "targets" not in self.store_away:
            return 0.0
        return time.monotonic() - self.list_read_s

    def known(self) -> bytes:
        """Return the message to a peer that asks."""
        return encode_known(self.configuration, self._table.by_id.values())

    async def heard_of(self, version: int, address: str) -> None:
        """Ask a peer that has a newer configuration; the store may be slower."""
        if version <= max(self.version, self._asked_by_address.get(address, -1)):
            return
        self._asked_by_address[address] = version
        if not await self._ask(address):
            self._asked_by_address.pop(address, None)

    def _take(self, newest: Configuration | None, source: str) -> None:
        if newest is None or newest.version <= self.version:
            return
        self.configuration = newest
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
        """Ask peers until one knows a configuration."""
        for address in self.peers():
            await self._ask(address)
            if self.configuration is not None:
                return

    async def _ask(self, address: str) -> bool:
        """Take what a peer knows; return whether it answered."""
        try:
            known = await self._question(address)
        except (NotSentError, LostError, TimeoutError, ValueError) as error:
            self._counters.add("peers.unanswered")
            self._log.info("peer_unanswered", peer=address, reason=repr(error))
            return False
        if known.encoded:
            self._take(self._configurations.decode(known.encoded), address)
        if self.list_read_s == 0 and known.targets:
            self.list_read_s = time.monotonic()
            self._table.replace_all(known.targets)
            self._log.info("targets_taken", peer=address, targets=len(known.targets))
        return True

    async def _question(self, address: str) -> Known:
        async with asyncio.timeout(PEER_TIMEOUT_S):
            request = OutgoingRequest("GET", KNOWN_PATH)
            reply = await self._connections.send(address, request)
            try:
                body = await reply.read_all(MOST_KNOWN_BYTES)
            finally:
                reply.drop()
            if reply.status != 200:
                raise LostError(f"status {reply.status}")
            return decode_known(body)
