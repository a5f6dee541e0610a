"""The list of targets as the relays of the domain have it, for their followers."""

import random
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.peer_state import CHANGES_PATH, KnownChanges, decode_changes
from celeryfork_entry.target_http import LostError, NotSentError
from celeryfork_entry.targets import Listed, TargetTable, Unlisted

STALE_S = 2.6
"""Age of a relay's list at which another relay, or else the store, is asked; a relay
reads at least each 2 s."""
STALE_SPREAD_S = 6.0
"""Time over which followers turn to the store while relays speak whose lists are old:
mostly the store itself is away, and all would read it at the moment when it is back."""
SILENT_RELAY_S = 0.6
"""Silence of the relay that is followed at which another one is: two of its digests."""


@define(eq=False)
class RelayedList:
    """Takes the changes of one relay's list into the table.

    Parameters
    ----------
    question
        Asks a peer at an address for a path; raises as :meth:`TargetConnections.send`.
    spawn
        Runs a task beside the others.
    """

    _table: TargetTable
    _log: Logger
    _counters: Counters
    _question: Callable[[str, str], Awaitable[bytes]]
    _spawn: Callable[[Awaitable[object]], object]
    followed: str = ""
    _revision: int = -1
    _taking: bool = False
    _digest_by_relay: dict[str, tuple[RelayDigest, float]] = field(factory=dict)
    _patience_s: float = field(
        factory=lambda: STALE_S + random.uniform(0.0, STALE_SPREAD_S)
    )

    def heard(self, digest: RelayDigest) -> None:
        """Note what a relay says of its list."""
        self._digest_by_relay[digest.sender.address] = (digest, time.monotonic())

    def left(self) -> None:
        """Note that the list came from elsewhere: a relay's is taken whole again."""
        self.followed = ""

    def is_to_follow(self, digest: RelayDigest) -> bool:
        """Return whether a digest is from the relay to follow."""
        return digest.sender.address == self._relay_to_follow(time.monotonic())

    def take(self, digest: RelayDigest) -> None:
        """Ask for the changes that a digest tells of, unless that is under way."""
        state = (digest.sender.address, digest.revision)
        if state != (self.followed, self._revision) and not self._taking:
            self._taking = True
            self._spawn(self._take_changes(digest.sender.address))

    def is_stale(self) -> bool:
        """Return whether to read the store: no relay speaks, or all lists are old."""
        ages = self._ages_by_relay(time.monotonic())
        return not ages or min(ages.values()) >= self._patience_s

    def _relay_to_follow(self, now_s: float) -> str:
        """Return the relay that is followed on, unless it is silent or its list old.

        Where all lists are old, as while the store is away, another one is no better.
        """
        ages = self._ages_by_relay(now_s)
        speaking = {
            address: age_s
            for address, age_s in ages.items()
            if now_s - self._digest_by_relay[address][1] < SILENT_RELAY_S
        }
        youngest_s = min(speaking.values(), default=STALE_S)
        if self.followed in speaking and (
            speaking[self.followed] < STALE_S or youngest_s >= STALE_S
        ):
            return self.followed
        choice = speaking or ages
        return min(choice, key=lambda each: (choice[each], each), default="")

    def _ages_by_relay(self, now_s: float) -> dict[str, float]:
        """Return the age of the list of each relay that has told of it lately."""
        ages = {
            address: now_s - at_s + digest.list_age_s
            for address, (digest, at_s) in self._digest_by_relay.items()
            if now_s - at_s < STALE_S
        }
        self._digest_by_relay = {each: self._digest_by_relay[each] for each in ages}
        return ages

    async def _take_changes(self, address: str) -> None:
        try:
            known_here = self._revision if address == self.followed else -1
            path = f"{CHANGES_PATH}{known_here}"
            changes = decode_changes(await self._question(address, path))
        except (NotSentError, LostError, TimeoutError, ValueError) as error:
            self._counters.add("peers.unanswered")
            self._log.info("peer_unanswered", peer=address, reason=repr(error))
            return
        finally:
            self._taking = False
        self._apply_changes(changes)
        if address != self.followed:
            self._log.info(
                "relay_followed",
                relay=address,
                revision=changes.revision,
                targets=len(self._table.by_id),
                before=self.followed,
            )
        self.followed, self._revision = address, changes.revision

    def _apply_changes(self, changes: KnownChanges) -> None:
        self._counters.add("peers.changes_taken")
        if changes.whole:
            self._table.replace_all(changes.targets)
            return
        self._table.apply([Unlisted(target_id) for target_id in changes.gone])
        self._table.apply([Listed(target) for target in changes.targets])
