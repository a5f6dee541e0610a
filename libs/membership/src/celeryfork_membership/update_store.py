"""Facts that spread from instance to instance inside heartbeats.

The board keeps the newest version of every (kind, subject), forgets it after its
time to live, and hands out a bounded selection for each heartbeat: the newest facts
that were not sent often yet, then a few old ones in rotation, which repairs what the
first spreading missed.
"""

import heapq
import threading
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import orjson
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_wire.gen.celeryfork.ttypes import News

from celeryfork_membership.gossip_update import (
    MOST_TTL_S,
    GossipUpdate,
    UpdateKey,
    check_size,
    decode,
    update_from_wire,
    update_to_wire,
)

MOST_ITEMS = 8192
MOST_NEWS_BYTES_PER_HEARTBEAT = 450
MOST_WEIGHTY_BYTES = 5400
MOST_OLD_ITEMS_PER_HEARTBEAT = 2
DEFAULT_SENDS_PER_ITEM = 6
LEAST_SPREADING_S = 10.0
MOST_FRESH_AT_EASE = 16

UpdateCallback = Callable[[str, dict[str, Any], str], None]


class UpdateStore:
    """The news that an instance knows; safe to use from any thread.

    Use `make_news_board`.
    """

    def __init__(self, clock: Clock, counters: Counters, origin: str) -> None:
        self.origin = origin
        self.sends_per_item = DEFAULT_SENDS_PER_ITEM
        self.background_kinds: set[str] = set()
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._items_by_key: dict[UpdateKey, GossipUpdate] = {}
        self._fresh_by_key: dict[UpdateKey, GossipUpdate] = {}
        self._old_keys: deque[UpdateKey] = deque()
        self._callbacks_by_kind: dict[str, list[UpdateCallback]] = {}
        self._on_fresh: list[Callable[[str], None]] = []

    def publish(
        self,
        kind: str,
        subject: str,
        body: dict[str, Any],
        ttl_s: float,
        version: int | None = None,
    ) -> None:
        """Put a fact of this instance on the board.

        Subscribers of this instance are not called: they hear only of peers' news.

        Parameters
        ----------
        kind, subject
            What the fact is about; the highest version of a pair wins.
        body
            JSON-able, at most `MOST_BODY_BYTES` when encoded.
        ttl_s
            How long anybody remembers it, in seconds.
        version
            Defaults to the wall clock in milliseconds, or one more than the version
            on the board if that is higher.

        Raises
        ------
        NewsTooLargeError
            The body or a name is too long to fit into a heartbeat.
        """
        encoded = orjson.dumps(body).decode()
        check_size(kind, subject, encoded)
        with self._lock:
            known = self._items_by_key.get((kind, subject))
            if version is None:
                version = self._clock.wall_ms()
                if known is not None:
                    version = max(version, known.version + 1)
            item = GossipUpdate(
                kind=kind,
                subject=subject,
                version=version,
                body=encoded,
                origin=self.origin,
                born_s=self._clock.monotonic(),
                ttl_s=min(ttl_s, MOST_TTL_S),
                taken_s=self._clock.monotonic(),
            )
            if not item.beats(known):
                return
            self._store(item)
        self._counters.add("news.published")
        self._tell_fresh(kind)

    def subscribe(self, kind: str, callback: UpdateCallback) -> None:
        """Call ``callback(subject, body, origin)`` for each newer fact from a peer."""
        with self._lock:
            self._callbacks_by_kind.setdefault(kind, []).append(callback)

    def on_fresh(self, callback: Callable[[str], None]) -> None:
        """Call ``callback(kind)`` whenever the board takes in something new."""
        self._on_fresh.append(callback)

    def to_send(self, limit: int, leave_out: UpdateKey | None = None) -> list[News]:
        """Return pieces that fit into one heartbeat.

        Parameters
        ----------
        limit
            The most pieces.
        leave_out
            (kind, subject) of a piece that the heartbeat says anyway.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            if leave_out is not None:
                self._fresh_by_key.pop(leave_out, None)
            chosen = self._choose_fresh(limit, now_s)
            chosen += self._choose_old(limit - len(chosen), chosen, now_s)
            return [update_to_wire(item, now_s) for item in chosen]

    def everything(self, limit: int) -> list[News]:
        """Return up to ``limit`` unexpired pieces, for a newcomer."""
        now_s = self._clock.monotonic()
        with self._lock:
            items = [i for i in self._items_by_key.values() if not i.expired(now_s)]
            return [update_to_wire(item, now_s) for item in items[:limit]]

    def receive(self, news: Iterable[News]) -> None:
        """Take in a peer's news; malformed pieces are counted and dropped."""
        for piece in news:
            item = update_from_wire(piece, self._clock.monotonic())
            if item is None:
                self._counters.add("news.malformed")
                continue
            body = decode(item.body)
            if body is None:
                self._counters.add("news.malformed")
                continue
            self._take(item, body)

    def current(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the bodies of all unexpired facts of a kind, by subject."""
        now_s = self._clock.monotonic()
        with self._lock:
            items = [i for i in self._items_by_key.values() if i.kind == kind]
        return {
            item.subject: orjson.loads(item.body)
            for item in items
            if not item.expired(now_s)
        }

    def version_of(self, kind: str, subject: str) -> int | None:
        """Return the version of an unexpired fact, None if there is none."""
        now_s = self._clock.monotonic()
        with self._lock:
            item = self._items_by_key.get((kind, subject))
            known = item is not None and not item.expired(now_s)
            return item.version if item is not None and known else None

    def dump(self) -> dict[str, object]:
        """Return the number of facts by kind, for the state dump."""
        with self._lock:
            counts: dict[str, int] = {}
            for kind, _ in self._items_by_key:
                counts[kind] = counts.get(kind, 0) + 1
            return {"items_by_kind": counts, "spreading": len(self._fresh_by_key)}

    def _take(self, item: GossipUpdate, body: dict[str, Any]) -> None:
        now_s = self._clock.monotonic()
        with self._lock:
            if item.expired(now_s):
                return
            if not item.beats(self._items_by_key.get(item.key)):
                self._counters.add("news.known_already")
                return
            self._store(item)
            callbacks = list(self._callbacks_by_kind.get(item.kind, ()))
        self._counters.add("news.received")
        for callback in callbacks:
            callback(item.subject, body, item.origin)
        self._tell_fresh(item.kind)

    def _tell_fresh(self, kind: str) -> None:
        for callback in self._on_fresh:
            callback(kind)

    def _store(self, item: GossipUpdate) -> None:
        if item.key not in self._items_by_key and len(self._items_by_key) >= MOST_ITEMS:
            self._make_room()
        self._items_by_key[item.key] = item
        self._fresh_by_key[item.key] = item

    def _make_room(self) -> None:
        """Drop the expired, or else the pieces that would expire first."""
        self._counters.add("news.evicted")
        by_expiry = sorted(
            self._items_by_key.values(), key=lambda item: item.born_s + item.ttl_s
        )
        for item in by_expiry[: MOST_ITEMS // 16]:
            self._drop(item.key)

    def _drop(self, key: UpdateKey) -> None:
        self._items_by_key.pop(key, None)
        self._fresh_by_key.pop(key, None)

    def _choose_fresh(self, limit: int, now_s: float) -> list[GossipUpdate]:
        for key in [k for k, i in self._fresh_by_key.items() if i.expired(now_s)]:
            self._drop(key)
        chosen: list[GossipUpdate] = []
        sent_bytes = 0
        ranked = heapq.nsmallest(limit, self._fresh_by_key.values(), key=self._rank)
        for item in ranked:
            background = item.kind in self.background_kinds
            most = MOST_NEWS_BYTES_PER_HEARTBEAT if background else MOST_WEIGHTY_BYTES
            if chosen and sent_bytes + item.size_bytes > most:
                break
            sent_bytes += item.size_bytes
            chosen.append(item)
            item.sends += 1
            if self._sent_enough(item, now_s):
                del self._fresh_by_key[item.key]
                self._old_keys.append(item.key)
        return chosen

    def _sent_enough(self, item: GossipUpdate, now_s: float) -> bool:
        """Return whether a fact need not be spread any more.

        Facts are sent for a while however often that is: a few exchanges at once can
        use all sends up among peers that know it already. Only a crowd of background
        news is given up earlier.
        """
        if item.sends < self.sends_per_item:
            return False
        crowded = len(self._fresh_by_key) > MOST_FRESH_AT_EASE
        if crowded and item.kind in self.background_kinds:
            return True
        return now_s - item.taken_s >= LEAST_SPREADING_S

    def _rank(self, item: GossipUpdate) -> tuple[bool, int, float]:
        """Order news for sending.

        Weighty kinds go first, the least sent before others, so that many at once
        all get their turn; of the background the newest facts.
        """
        background = item.kind in self.background_kinds
        return background, 0 if background else item.sends, -item.born_s

    def _choose_old(
        self, limit: int, chosen: list[GossipUpdate], now_s: float
    ) -> list[GossipUpdate]:
        left_bytes = MOST_NEWS_BYTES_PER_HEARTBEAT
        left_bytes -= sum(item.size_bytes for item in chosen)
        picked: list[GossipUpdate] = []
        for _ in range(min(limit, MOST_OLD_ITEMS_PER_HEARTBEAT)):
            item = self._next_old(now_s)
            if item is None or item.size_bytes > left_bytes:
                break
            if item not in chosen and item not in picked:
                left_bytes -= item.size_bytes
                picked.append(item)
        return picked

    def _next_old(self, now_s: float) -> GossipUpdate | None:
        for _ in range(min(len(self._old_keys), 16)):
            key = self._old_keys.popleft()
            item = self._items_by_key.get(key)
            if item is None or key in self._fresh_by_key:
                continue
            if item.expired(now_s):
                self._drop(key)
                continue
            self._old_keys.append(key)
            return item
        return None


def make_update_store(
    clock: Clock, counters: Counters, origin: str = ""
) -> UpdateStore:
    """Return an empty board; ``origin`` names the instance in what it publishes."""
    return UpdateStore(clock, counters, origin)
