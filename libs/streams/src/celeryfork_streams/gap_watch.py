"""Ends a wait on an engine that stays silent for too long.

One timer runs for each attempt and looks, when it fires, at when the engine was last
heard: a token costs no timer.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

from celeryfork_streams.errors import EngineStalledError

GRACE_S = 0.005


class GapWatch:
    """Cancels the current task's wait, and raises EngineStalledError in its place.

    Parameters
    ----------
    allowed_s
        Longest silence, in seconds.
    may_give_up
        Asked when the silence is reached; where it says no, twice the silence is
        allowed before it is asked again.
    """

    def __init__(
        self, address: str, allowed_s: float, may_give_up: Callable[[], bool]
    ) -> None:
        self._address = address
        self._may_give_up = may_give_up
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[object] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._listening = True
        self._fired = False
        self._doubted_s: float | None = None
        self.allowed_s = allowed_s
        self._heard_s = self._loop.time()

    @property
    def silent_s(self) -> float:
        """How long nothing has come, in seconds."""
        return self._loop.time() - self._heard_s

    def listen(self) -> None:
        """Begin to wait on the engine."""
        self._heard_s = self._loop.time()
        self._listening = True

    def hold(self) -> float:
        """Stop waiting on the engine, and return how long it was silent, in seconds.

        Time that the caller takes is not the engine's.
        """
        self._listening = False
        return self._loop.time() - self._heard_s

    def allow(self, allowed_s: float) -> None:
        """Change the longest silence, in seconds."""
        if allowed_s < self.allowed_s:
            self._reschedule(allowed_s)
        self.allowed_s = allowed_s

    def __enter__(self) -> Self:
        """Start to watch the current task."""
        self._task = asyncio.current_task()
        self._heard_s = self._loop.time()
        self._reschedule(self.allowed_s)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._fired or self._task is None:
            return
        if self._task.uncancel() == 0 and kind is asyncio.CancelledError:
            raise EngineStalledError(
                self._address,
                f"sent nothing for {self.allowed_s:.3f} s",
                "resume on another chain",
            ) from None

    def _reschedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._look)

    def _look(self) -> None:
        if not self._listening:
            self._reschedule(self.allowed_s)
            return
        left_s = self._heard_s + self.allowed_s - self._loop.time()
        if left_s > 0:
            self._reschedule(left_s)
        elif self._doubted_s != self._heard_s:
            # The loop may be late itself: what has come is read before the next look.
            self._doubted_s = self._heard_s
            self._reschedule(GRACE_S)
        elif self._may_give_up():
            self._fired = True
            assert self._task is not None
            self._task.cancel()
        else:
            self.allowed_s *= 2
            self._reschedule(self.allowed_s / 2)
