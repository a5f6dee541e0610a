"""Order in which streams that wait for capacity repeat their path searches."""

import asyncio
import time

from attrs import define, field

from celeryfork_entry.call import Call

MIN_INTERVAL_S = 0.02
"""Least seconds between two searches of one call while others wait for theirs."""


@define(eq=False)
class _Waiter:
    call: Call
    since_s: float
    turn: asyncio.Future[None]

    def rank(self, now_s: float) -> tuple[object, ...]:
        """Return the key of the order; the lowest searches first."""
        arrived_s = self.call.request.arrived_s
        late = now_s - arrived_s > self.call.route.latency_goal_s
        return self.call.urgency, late, -arrived_s


@define(eq=False)
class SearchOrder:
    """Gives each search that falls due to the call that comes first.

    The more urgent come first, then those that can still meet their objective, newest
    first, then the others. A wait adds one search, so that their number is the same as
    without an order.
    """

    _waiters: list[_Waiter] = field(factory=list)

    async def wait_for_turn(self, call: Call, delay_s: float, until_s: float) -> None:
        """Wait until a call may search, at most until a monotonic time.

        Parameters
        ----------
        delay_s
            Seconds until the search that this wait adds.
        """
        loop = asyncio.get_running_loop()
        now_s = time.monotonic()
        waiter = _Waiter(call, now_s, loop.create_future())
        self._waiters.append(waiter)
        loop.call_later(delay_s, self._wake_first)
        try:
            await asyncio.wait({waiter.turn}, timeout=max(delay_s, until_s - now_s))
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake_first(self) -> None:
        now_s = time.monotonic()
        waiting = self._waiters
        rested = [each for each in waiting if now_s - each.since_s >= MIN_INTERVAL_S]
        if waiting:
            first = min(rested or waiting, key=lambda each: each.rank(now_s))
            waiting.remove(first)
            first.turn.set_result(None)
