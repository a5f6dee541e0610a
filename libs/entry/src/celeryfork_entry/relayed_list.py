"""Follows the target list of a relay of this instance's domain.

Relays read the store. They send digests, which name the revision and the age of their
target lists, to the instances that don't (followers). A list is only replaced by one
that was read from the store as late or later: its position in the store's log travels
with it.
"""

import random
import time
from collections.abc import Awaitable, Callable, Mapping
from math import inf

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.peer_state import CHANGES_PATH, TargetChanges, decode_changes
from celeryfork_entry.target_http import LostError, NotSentError
from celeryfork_entry.targets import Listed, TargetTable, Unlisted

STALE_S = 2.6
"""Age in seconds of a relay's target list from which another relay, or else the store,
is used; a relay reads the store at least every 2 s."""
STALE_SPREAD_S = 6.0
"""Seconds over which followers spread their switch to the store while live relays have
stale lists: usually the store itself is unavailable, and all followers would read it at
the moment of its return."""
UNREAD_AGE_S = 3_600.0
"""Age in seconds that is reported for a target list that was never read."""
RELAY_SILENCE_S = 0.6
"""Seconds without a digest after which a follower switches to another relay: two digest
intervals."""
REMOTE_RELAY_SILENCE_S = 2.2
"""The same for a relay of another domain, which sends once a second."""
FETCH_RETRY_S = 1.0
"""Seconds for which a relay whose list couldn't be fetched is followed only if no other
one sends digests."""


@define(eq=False)
class RelayedList:
    """Applies the changes of one relay's target list to the table.

    Parameters
    ----------
    request
        Sends a GET request for a path to a peer's address; raises as
        :meth:`TargetConnections.send`.
    spawn
        Starts a concurrent task.
    domain
        Failure domain of this instance. Relays of other domains are followed only while
        none of this domain reads the store.
    on_change
        Called when the target list has changed.
    current_relay
        Address of the relay whose list is in the table, empty for none.
    """

    _table: TargetTable
    _log: Logger
    _counters: Counters
    _request: Callable[[str, str], Awaitable[bytes]]
    _spawn: Callable[[Awaitable[object]], object]
    domain: str = ""
    on_change: Callable[[], None] = lambda: None
    current_relay: str = ""
    _revision: int = -1
    _fetching: bool = False
    _usable_s: float = field(factory=time.monotonic)
    _digest_by_relay: dict[str, tuple[RelayDigest, float]] = field(factory=dict)
    _unanswered_s_by_relay: dict[str, float] = field(factory=dict)
    _store_timeout_s: float = field(
        factory=lambda: STALE_S + random.uniform(0.0, STALE_SPREAD_S)
    )

    def record_digest(self, digest: RelayDigest) -> None:
        """Record a relay's digest and its time of receipt."""
        now_s = time.monotonic()
        self._digest_by_relay[digest.sender.address] = (digest, now_s)
        answers = self._answers(digest.sender.address, now_s)
        if answers and self._is_near(digest) and self._is_usable(digest):
            self._usable_s = now_s

    def _answers(self, address: str, now_s: float) -> bool:
        """Return False if a relay's list couldn't be fetched a moment ago.

        Its digests may arrive though its list doesn't.
        """
        unanswered_s = self._unanswered_s_by_relay.get(address, -inf)
        return now_s - unanswered_s >= FETCH_RETRY_S

    def _is_near(self, digest: RelayDigest) -> bool:
        return digest.sender.domain == self.domain

    def _is_usable(self, digest: RelayDigest) -> bool:
        """Return True if a relay has read its list, and not before that in the table.

        A relay that was paused, or that has just started, may have an older list, which
        lacks the removals since.
        """
        unread = digest.list_age_s >= UNREAD_AGE_S
        return not unread and not self._table.is_newer_than(digest.list_position)

    def reset(self) -> None:
        """Fetch a relay's full list next time: the table came from another source."""
        self.current_relay = ""

    def should_follow(self, digest: RelayDigest) -> bool:
        """Return True if a digest is from the relay to follow."""
        return self._is_usable(digest) and (
            digest.sender.address == self._relay_to_follow(time.monotonic())
        )

    def fetch_changes(self, digest: RelayDigest) -> None:
        """Fetch the changes announced by a digest, unless a fetch is in progress."""
        state = (digest.sender.address, digest.revision)
        if state != (self.current_relay, self._revision) and not self._fetching:
            self._fetching = True
            self._spawn(self._fetch_changes(digest.sender.address))

    def is_stale(self) -> bool:
        """Return True if the store must be read.

        No relay of the domain has sent a digest recently, or the target lists of all
        are stale, or older than that in the table, or can't be fetched.
        """
        now_s = time.monotonic()
        ages = self._near(self._ages_by_relay(now_s))
        age_s = min(ages.values(), default=STALE_S + STALE_SPREAD_S)
        return max(age_s, now_s - self._usable_s) >= self._store_timeout_s

    def _relay_to_follow(self, now_s: float) -> str:
        """Return the current relay, or another one if that is the better source.

        A relay that reads the store goes before one that the store turns away, which
        may have copied an old list; those of this domain go before others. If nobody
        reads the store, the current relay is left only if it is silent or its list
        stale. If all lists are stale, as in an outage of the store, a switch wouldn't
        help.
        """
        ages = self._ages_by_relay(now_s)
        sending = {
            address: age_s
            for address, age_s in ages.items()
            if self._is_sending(address, now_s)
        }
        reading = self._reading(sending)
        if self.current_relay in reading:
            return self.current_relay
        if reading:
            return _youngest(reading)
        near = self._near(sending)
        youngest_s = min(near.values(), default=STALE_S)
        if self.current_relay in near and (
            near[self.current_relay] < STALE_S or youngest_s >= STALE_S
        ):
            return self.current_relay
        return _youngest(near or self._near(ages))

    def _reading(self, ages: Mapping[str, float]) -> Mapping[str, float]:
        """Return the relays that read the store: this domain's, if it has any."""
        reading = {
            address: age_s
            for address, age_s in ages.items()
            if (digest := self._digest_by_relay[address][0]).list_from_store
            and digest.list_age_s < STALE_S
        }
        return self._near(reading) or reading

    def _is_sending(self, address: str, now_s: float) -> bool:
        """Return True if a relay isn't silent, and its list may be used."""
        digest, at_s = self._digest_by_relay[address]
        near = self._is_near(digest)
        silence_s = RELAY_SILENCE_S if near else REMOTE_RELAY_SILENCE_S
        is_silent = now_s - at_s >= silence_s or not self._answers(address, now_s)
        return not is_silent and self._is_usable(digest)

    def _near(self, ages: Mapping[str, float]) -> dict[str, float]:
        """Return the relays of this domain."""
        return {
            address: age_s
            for address, age_s in ages.items()
            if self._is_near(self._digest_by_relay[address][0])
        }

    def _ages_by_relay(self, now_s: float) -> dict[str, float]:
        """Return the list age of each relay that has sent a digest recently."""
        ages = {
            address: now_s - at_s + digest.list_age_s
            for address, (digest, at_s) in self._digest_by_relay.items()
            if now_s - at_s < STALE_S
        }
        self._digest_by_relay = {each: self._digest_by_relay[each] for each in ages}
        self._unanswered_s_by_relay = {
            each: at_s
            for each, at_s in self._unanswered_s_by_relay.items()
            if each in ages
        }
        return ages

    async def _fetch_changes(self, address: str) -> None:
        try:
            known_revision = self._revision if address == self.current_relay else -1
            path = f"{CHANGES_PATH}{known_revision}"
            changes = decode_changes(await self._request(address, path))
        except (NotSentError, LostError, TimeoutError, ValueError) as error:
            self._counters.add("peers.unanswered")
            self._log.info("peer_unanswered", peer=address, reason=repr(error))
            self._unanswered_s_by_relay[address] = time.monotonic()
            return
        finally:
            self._fetching = False
        if self._table.is_newer_than(changes.position):
            self._log.info(
                "older_list_ignored",
                relay=address,
                **_position_inputs("", changes.position),
                **_position_inputs("own_", self._table.position),
            )
            return
        self._unanswered_s_by_relay.pop(address, None)
        self._apply_changes(changes)
        if address != self.current_relay:
            self._log.info(
                "relay_followed",
                relay=address,
                revision=changes.revision,
                targets=len(self._table.by_id),
                before=self.current_relay,
            )
        self.current_relay, self._revision = address, changes.revision
        self.on_change()

    def _apply_changes(self, changes: TargetChanges) -> None:
        self._counters.add("peers.changes_taken")
        self._table.move_to(changes.position)
        if changes.whole:
            self._table.replace_all(changes.targets)
            return
        self._table.apply([Unlisted(target_id) for target_id in changes.removed])
        self._table.apply([Listed(target) for target in changes.targets])


def _youngest(ages: Mapping[str, float]) -> str:
    """Return the relay with the youngest list, empty for none."""
    return min(ages, key=lambda each: (ages[each], each), default="")


def _position_inputs(prefix: str, position: LogPosition | None) -> dict[str, int]:
    """Return the log fields of a position."""
    if position is None:
        return {}
    return {f"{prefix}era": position.era, f"{prefix}offset": position.offset}
