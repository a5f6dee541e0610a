"""Weighted fair queueing between organisations, with bounded waiting times.

Start-time fair queueing: each request gets a start tag of
``max(virtual time, organisation's last finish tag)`` and a finish tag of
``start tag + cost / weight``; the lowest start tag is served first. Source: Goyal, Vin,
Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

import heapq
from collections.abc import Iterator

from attrs import define, field


@define(eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    organisation
        Organisation of the caller.
    cost
        Estimated tokens.
    weight
        Share of the served tokens relative to other organisations; it grows with the
        priority.
    expires_s
        Monotonic time at which the wait expires, in seconds.
    removed
        True once it was served, has expired or was withdrawn; the heaps drop such
        entries later.
    """

    organisation: str
    cost: float
    weight: float
    expires_s: float
    start_tag: float = 0.0
    finish_tag: float = 0.0
    removed: bool = False


@define
class FairQueue:
    """Queued requests in the order in which they are served."""

    virtual_time: float = 0.0
    waiting_count: int = 0
    waiting_cost: float = 0.0
    _sequence: int = 0
    _start_tag_heap: list[tuple[float, int, QueuedRequest]] = field(factory=list)
    _expiry_heap: list[tuple[float, int, QueuedRequest]] = field(factory=list)
    _last_tag_by_organisation: dict[str, float] = field(factory=dict)
    _count_by_organisation: dict[str, int] = field(factory=dict)

    def push(self, queued: QueuedRequest) -> None:
        """Add a request at the position that its tags give."""
        last_tag = self._last_tag_by_organisation.get(queued.organisation, 0.0)
        queued.start_tag = max(self.virtual_time, last_tag)
        queued.finish_tag = queued.start_tag + queued.cost / queued.weight
        self._last_tag_by_organisation[queued.organisation] = queued.finish_tag
        self._sequence += 1
        entry = (queued.start_tag, self._sequence, queued)
        heapq.heappush(self._start_tag_heap, entry)
        heapq.heappush(self._expiry_heap, (queued.expires_s, self._sequence, queued))
        self.waiting_count += 1
        self.waiting_cost += queued.cost
        count = self._count_by_organisation.get(queued.organisation, 0)
        self._count_by_organisation[queued.organisation] = count + 1

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, None if the queue is empty."""
        while self._start_tag_heap:
            _, _, queued = heapq.heappop(self._start_tag_heap)
            if queued.removed:
                continue
            self.virtual_time = max(self.virtual_time, queued.start_tag)
            self._remove(queued)
            return queued
        self._last_tag_by_organisation.clear()
        self.virtual_time = 0.0
        return None

    def pop_expired(self, now_s: float) -> Iterator[QueuedRequest]:
        """Remove and yield the requests whose wait has expired."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now_s:
            _, _, queued = heapq.heappop(self._expiry_heap)
            if not queued.removed:
                self._remove(queued)
                yield queued

    def next_expiry_s(self) -> float | None:
        """Return the earliest expiry time in the queue, None if it is empty."""
        while self._expiry_heap and self._expiry_heap[0][2].removed:
            heapq.heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def withdraw(self, queued: QueuedRequest) -> bool:
        """Remove a request; return False if it is not in the queue any more."""
        if queued.removed:
            return False
        self._remove(queued)
        return True

    def waiting_of(self, organisation: str) -> int:
        """Return the number of queued requests of an organisation."""
        return self._count_by_organisation.get(organisation, 0)

    def waiting_by_organisation(self) -> dict[str, int]:
        """Return the numbers of queued requests by organisation."""
        return dict(self._count_by_organisation)

    def _remove(self, queued: QueuedRequest) -> None:
        queued.removed = True
        self.waiting_count -= 1
        self.waiting_cost -= queued.cost
        left = self._count_by_organisation[queued.organisation] - 1
        if left:
            self._count_by_organisation[queued.organisation] = left
        else:
            del self._count_by_organisation[queued.organisation]
