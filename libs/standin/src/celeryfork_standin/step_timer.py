"""One timer for the steps of a whole fleet.

Waking the event loop costs more than ending a step, so steps that end within the
same millisecond (the resolution of libuv's timers) share one wake-up.
"""

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush

RESOLUTION_S = 0.001

StepEnd = Callable[[int, float], None]


class StepTimer:
    """Calls back at the ends of steps; only for use on its loop."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, StepEnd, int]] = []
        self._armed_for = 0.0
        self._firing = False
        self._handle: asyncio.TimerHandle | None = None
        self._count = 0

    def at(self, due_s: float, now: float, end: StepEnd, incarnation: int) -> None:
        """Call ``end(incarnation, now)`` at the monotonic time ``due_s``."""
        self._count += 1
        heappush(self._due, (due_s, self._count, end, incarnation))
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
        ended = []
        due = self._due
        while due and due[0][0] <= until:
            ended.append(heappop(due))
        for _, _, end, incarnation in ended:
            end(incarnation, now)
        self._firing = False
        if due:
            self._arm(due[0][0], time.monotonic())
