"""Weighted fair queueing between organisations, with bounded waiting.

Start-time fair queueing: each request gets a finish tag of
``max(virtual time, organisation's last tag) + cost / weight``; the lowest tag is served
first. Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

import heapq
from collections.abc import Iterator

from attrs import define, field


@define(eq=False)
class Waiting:
    """One request that waits for a slot.

    Parameters
    ----------
    organisation
        Whose request it is.
    cost
        Its estimated tokens.
    weight
        The organisation's share relative to others.
    expires_s
        Monotonic time at which it is given up, in seconds.
    """

    organisation: str
    cost: float
    weight: float
    expires_s: float
    start_tag: float = 0.0
    finish_tag: float = 0.0
    gone: bool = False


@define
class FairQueue:
    """Requests that wait, in the order in which they will be served."""

    virtual_time: float = 0.0
    waiting_count: int = 0
    waiting_cost: float = 0.0
    _sequence: int = 0
    _heap: list[tuple[float, int, Waiting]] = field(factory=list)
    _expiry_heap: list[tuple[float, int, Waiting]] = field(factory=list)
    _last_tag_by_organisation: dict[str, float] = field(factory=dict)
    _count_by_organisation: dict[str, int] = field(factory=dict)

    def push(self, waiting: Waiting) -> None:
        """Add a request and give it its place."""
        last_tag = self._last_tag_by_organisation.get(waiting.organisation, 0.0)
        waiting.start_tag = max(self.virtual_time, last_tag)
        waiting.finish_tag = waiting.start_tag + waiting.cost / waiting.weight
        self._last_tag_by_organisation[waiting.organisation] = waiting.finish_tag
        self._sequence += 1
        entry = (waiting.start_tag, self._sequence, waiting)
        heapq.heappush(self._heap, entry)
        heapq.heappush(self._expiry_heap, (waiting.expires_s, self._sequence, waiting))
        self.waiting_count += 1
        self.waiting_cost += waiting.cost
        count = self._count_by_organisation.get(waiting.organisation, 0)
        self._count_by_organisation[waiting.organisation] = count + 1

    def pop(self) -> Waiting | None:
        """Take out the request that is next, None if none waits."""
        while self._heap:
            _, _, waiting = heapq.heappop(self._heap)
            if waiting.gone:
                continue
            self.virtual_time = max(self.virtual_time, waiting.start_tag)
            self._remove(waiting)
            return waiting
        self._last_tag_by_organisation.clear()
        self.virtual_time = 0.0
        return None

    def pop_expired(self, now_s: float) -> Iterator[Waiting]:
        """Take out the requests whose time is up."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now_s:
            _, _, waiting = heapq.heappop(self._expiry_heap)
            if not waiting.gone:
                self._remove(waiting)
                yield waiting

    def next_expiry_s(self) -> float | None:
        """Return when the next request is given up, None if none waits."""
        while self._expiry_heap and self._expiry_heap[0][2].gone:
            heapq.heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def withdraw(self, waiting: Waiting) -> bool:
        """Take out one request; False if it does not wait any more."""
        if waiting.gone:
            return False
        self._remove(waiting)
        return True

    def waiting_of(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        return self._count_by_organisation.get(organisation, 0)

    def waiting_by_organisation(self) -> dict[str, int]:
        """Return how many requests wait, by organisation."""
        return dict(self._count_by_organisation)

    def _remove(self, waiting: Waiting) -> None:
        waiting.gone = True
        self.waiting_count -= 1
        self.waiting_cost -= waiting.cost
        left = self._count_by_organisation[waiting.organisation] - 1
        if left:
            self._count_by_organisation[waiting.organisation] = left
        else:
            del self._count_by_organisation[waiting.organisation]
