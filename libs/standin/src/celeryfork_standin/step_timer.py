"""One timer for the steps and the slow hops of a whole fleet.

Waking the event loop costs more than ending a step, so whatever is due within the
same millisecond (the resolution of epoll's timeout) shares one wake-up.
"""

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

RESOLUTION_S = 0.001

Due = Callable[[Any, float], None]


class StepTimer:
    """Calls back at the times given; only for use on its loop."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Due, Any]] = []
        self._armed_for = 0.0
        self._firing = False
        self._handle: asyncio.TimerHandle | None = None
        self._count = 0

    def at(self, due_s: float, now: float, callback: Due, argument: Any) -> None:
        """Call ``callback(argument, now)`` at the monotonic time ``due_s``."""
        self._count += 1
        heappush(self._due, (due_s, self._count, callback, argument))
        if self._firing:
            return
        if self._handle is None or due_s < self._armed_for - RESOLUTION_S:
            self._arm(due_s, now)

    def _arm(self, due_s: float, now: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_for = due_s
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(0.0, due_s - now), self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._firing = True
        now = time.monotonic()
        until = now + RESOLUTION_S / 2
        due = self._due
        ripe = []
        while due and due[0][0] <= until:
            ripe.append(heappop(due))
        try:
            for _, _, callback, argument in ripe:
                callback(argument, now)
        finally:
            self._firing = False
            if due:
                self._arm(due[0][0], time.monotonic())
