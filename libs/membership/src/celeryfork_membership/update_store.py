"""Store of the updates that instances exchange in heartbeats.

It keeps the newest version of each (kind, subject) until its time to live is over, and
selects a bounded number of updates for each heartbeat. Fresh updates, not sent often
enough yet, come first. A few settled ones follow in rotation, for peers that they have
not reached.
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
    MAX_TTL_S,
    GossipUpdate,
    UpdateKey,
    check_size,
    decode_body,
    update_from_wire,
    update_to_wire,
)

MAX_UPDATES = 8192
# Limits on the size of all updates in a heartbeat: no background or settled update is
# added beyond the first limit, no urgent one beyond the second. The first fresh update
# is sent in any case.
MAX_UPDATE_BYTES_PER_HEARTBEAT = 450
MAX_URGENT_BYTES_PER_HEARTBEAT = 5400
MAX_REPEATED_UPDATES_PER_HEARTBEAT = 2
DEFAULT_SENDS_PER_UPDATE = 6
MIN_SPREADING_S = 10.0
CROWDED_FRESH_COUNT = 16

UpdateCallback = Callable[[str, dict[str, Any], str], None]


class UpdateStore:
    """The gossip updates that an instance knows; thread-safe.

    Use `make_update_store`.

    Updates are fresh until they have been sent often enough, then settled. Those of
    ``background_kinds`` are less urgent than all others.
    """

    def __init__(self, clock: Clock, counters: Counters, origin: str) -> None:
        self.origin = origin
        self.sends_per_update = DEFAULT_SENDS_PER_UPDATE
        self.background_kinds: set[str] = set()
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._updates_by_key: dict[UpdateKey, GossipUpdate] = {}
        self._fresh_by_key: dict[UpdateKey, GossipUpdate] = {}
        self._settled_keys: deque[UpdateKey] = deque()
        self._callbacks_by_kind: dict[str, list[UpdateCallback]] = {}
        self._new_update_callbacks: list[Callable[[str], None]] = []

    def publish(
        self,
        kind: str,
        subject: str,
        body: dict[str, Any],
        ttl_s: float,
        version: int | None = None,
    ) -> None:
        """Store an update of this instance for sending.

        Subscribers of this instance are not called: they receive only updates from
        peers.

        Parameters
        ----------
        kind, subject
            Identify the update; the highest version of a pair wins.
        body
            A JSON object, at most `MAX_BODY_BYTES` long when encoded.
        ttl_s
            Time to live in seconds, on every instance.
        version
            Defaults to the wall clock in milliseconds, or one more than the stored
            version if that is higher.

        Raises
        ------
        NewsTooLargeError
            The body, kind or subject is too long to fit into a heartbeat.
        """
        encoded = orjson.dumps(body).decode()
        check_size(kind, subject, encoded)
        with self._lock:
            known = self._updates_by_key.get((kind, subject))
            if version is None:
                version = self._clock.wall_ms()
                if known is not None:
                    version = max(version, known.version + 1)
            update = GossipUpdate(
                kind=kind,
                subject=subject,
                version=version,
                body=encoded,
                origin=self.origin,
                published_s=self._clock.monotonic(),
                ttl_s=min(ttl_s, MAX_TTL_S),
                stored_s=self._clock.monotonic(),
            )
            if not update.supersedes(known):
                return
            self._store(update)
        self._counters.add("news.published")
        self._notify_new_update(kind)

    def subscribe(self, kind: str, callback: UpdateCallback) -> None:
        """Call ``callback(subject, body, origin)`` for each new update from a peer."""
        with self._lock:
            self._callbacks_by_kind.setdefault(kind, []).append(callback)

    def on_new_update(self, callback: Callable[[str], None]) -> None:
        """Call ``callback(kind)`` whenever a new update is stored."""
        self._new_update_callbacks.append(callback)

    def select_for_heartbeat(
        self, limit: int, excluded_key: UpdateKey | None = None
    ) -> list[News]:
        """Return the updates to send in one heartbeat.

        Parameters
        ----------
        limit
            Maximum number of updates.
        excluded_key
            (kind, subject) of an update that the fields of the heartbeat contain
            anyway; it is no longer sent as a fresh one.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            if excluded_key is not None:
                self._fresh_by_key.pop(excluded_key, None)
            chosen = self._select_fresh(limit, now_s)
            chosen += self._select_settled(limit - len(chosen), chosen, now_s)
            return [update_to_wire(update, now_s) for update in chosen]

    def all_updates(self, limit: int) -> list[News]:
        """Return up to ``limit`` unexpired updates, for a new peer."""
        now_s = self._clock.monotonic()
        with self._lock:
            updates = [u for u in self._updates_by_key.values() if not u.expired(now_s)]
            return [update_to_wire(update, now_s) for update in updates[:limit]]

    def receive(self, news: Iterable[News]) -> None:
        """Store updates from a peer; malformed ones are counted and dropped."""
        for wire_update in news:
            update = update_from_wire(wire_update, self._clock.monotonic())
            if update is None:
                self._counters.add("news.malformed")
                continue
            body = decode_body(update.body)
            if body is None:
                self._counters.add("news.malformed")
                continue
            self._accept(update, body)

    def current_bodies(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the bodies of all unexpired updates of a kind, by subject."""
        now_s = self._clock.monotonic()
        with self._lock:
            updates = [u for u in self._updates_by_key.values() if u.kind == kind]
        return {
            update.subject: orjson.loads(update.body)
            for update in updates
            if not update.expired(now_s)
        }

    def version_of(self, kind: str, subject: str) -> int | None:
        """Return the version of an unexpired update, None if there is none."""
        now_s = self._clock.monotonic()
        with self._lock:
            update = self._updates_by_key.get((kind, subject))
            known = update is not None and not update.expired(now_s)
            return update.version if update is not None and known else None

    def dump(self) -> dict[str, object]:
        """Return the number of updates by kind, for the state dump."""
        with self._lock:
            counts: dict[str, int] = {}
            for kind, _ in self._updates_by_key:
                counts[kind] = counts.get(kind, 0) + 1
            return {"items_by_kind": counts, "spreading": len(self._fresh_by_key)}

    def _accept(self, update: GossipUpdate, body: dict[str, Any]) -> None:
        now_s = self._clock.monotonic()
        with self._lock:
            if update.expired(now_s):
                return
            if not update.supersedes(self._updates_by_key.get(update.key)):
                self._counters.add("news.known_already")
                return
            self._store(update)
            callbacks = list(self._callbacks_by_kind.get(update.kind, ()))
        self._counters.add("news.received")
        for callback in callbacks:
            callback(update.subject, body, update.origin)
        self._notify_new_update(update.kind)

    def _notify_new_update(self, kind: str) -> None:
        for callback in self._new_update_callbacks:
            callback(kind)

    def _store(self, update: GossipUpdate) -> None:
        if (
            update.key not in self._updates_by_key
            and len(self._updates_by_key) >= MAX_UPDATES
        ):
            self._evict()
        self._updates_by_key[update.key] = update
        self._fresh_by_key[update.key] = update

    def _evict(self) -> None:
        """Remove the updates that expire first, 1/16 of `MAX_UPDATES`."""
        self._counters.add("news.evicted")
        by_expiry = sorted(
            self._updates_by_key.values(),
            key=lambda update: update.published_s + update.ttl_s,
        )
        for update in by_expiry[: MAX_UPDATES // 16]:
            self._remove(update.key)

    def _remove(self, key: UpdateKey) -> None:
        self._updates_by_key.pop(key, None)
        self._fresh_by_key.pop(key, None)

    def _select_fresh(self, limit: int, now_s: float) -> list[GossipUpdate]:
        for key in [k for k, u in self._fresh_by_key.items() if u.expired(now_s)]:
            self._remove(key)
        chosen: list[GossipUpdate] = []
        sent_bytes = 0
        ranked = heapq.nsmallest(
            limit, self._fresh_by_key.values(), key=self._send_order
        )
        for update in ranked:
            background = update.kind in self.background_kinds
            max_bytes = (
                MAX_UPDATE_BYTES_PER_HEARTBEAT
                if background
                else MAX_URGENT_BYTES_PER_HEARTBEAT
            )
            if chosen and sent_bytes + update.size_bytes > max_bytes:
                break
            sent_bytes += update.size_bytes
            chosen.append(update)
            update.send_count += 1
            if self._is_settled(update, now_s):
                del self._fresh_by_key[update.key]
                self._settled_keys.append(update.key)
        return chosen

    def _is_settled(self, update: GossipUpdate, now_s: float) -> bool:
        """Return True if an update has been sent often enough and for long enough.

        The number of sends is not enough: a few immediate exchanges can use all of
        them on peers that already have the update. So each update stays fresh for at
        least `MIN_SPREADING_S`, except background updates while more than
        `CROWDED_FRESH_COUNT` updates are fresh.
        """
        if update.send_count < self.sends_per_update:
            return False
        crowded = len(self._fresh_by_key) > CROWDED_FRESH_COUNT
        if crowded and update.kind in self.background_kinds:
            return True
        return now_s - update.stored_s >= MIN_SPREADING_S

    def _send_order(self, update: GossipUpdate) -> tuple[bool, int, float]:
        """Return the sort key for sending.

        Urgent kinds come first, the least often sent of them before the others, so
        that each of many simultaneous updates is sent. Background kinds follow, the
        newest first.
        """
        background = update.kind in self.background_kinds
        return background, 0 if background else update.send_count, -update.published_s

    def _select_settled(
        self, limit: int, chosen: list[GossipUpdate], now_s: float
    ) -> list[GossipUpdate]:
        remaining_bytes = MAX_UPDATE_BYTES_PER_HEARTBEAT
        remaining_bytes -= sum(update.size_bytes for update in chosen)
        selected: list[GossipUpdate] = []
        for _ in range(min(limit, MAX_REPEATED_UPDATES_PER_HEARTBEAT)):
            update = self._next_settled(now_s)
            if update is None or update.size_bytes > remaining_bytes:
                break
            if update not in chosen and update not in selected:
                remaining_bytes -= update.size_bytes
                selected.append(update)
        return selected

    def _next_settled(self, now_s: float) -> GossipUpdate | None:
        for _ in range(min(len(self._settled_keys), 16)):
            key = self._settled_keys.popleft()
            update = self._updates_by_key.get(key)
            if update is None or key in self._fresh_by_key:
                continue
            if update.expired(now_s):
                self._remove(key)
                continue
            self._settled_keys.append(key)
            return update
        return None


def make_update_store(
    clock: Clock, counters: Counters, origin: str = ""
) -> UpdateStore:
    """Return an empty store; ``origin`` is the instance named in its own updates."""
    return UpdateStore(clock, counters, origin)
