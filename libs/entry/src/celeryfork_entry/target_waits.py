"""Waiting for a single target, which is left for another one if it is silent."""

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

from celeryfork_entry.call import MAX_WAIT_S, Call

LEAVE_RETRY_S = 0.05
"""Seconds between two attempts to leave a silent target."""

Result = TypeVar("Result")


def has_result(task: asyncio.Future[Result]) -> bool:
    """Return True if a task has ended with a result."""
    return task.done() and not task.cancelled() and task.exception() is None


async def wait_or_leave(
    task: asyncio.Future[Result],
    call: Call,
    leave_s: float,
    reserve_other: Callable[[], bool],
    *,
    fruitless: bool = False,
) -> Result:
    """Wait for the end of a task, which is cancelled if the wait is given up.

    Parameters
    ----------
    leave_s
        Monotonic time from which the target is left for another one.
    reserve_other
        Reserves a retry at another target, and returns True if there is one.
    fruitless
        True if the last result was no progress. A target that keeps sending such data
        would not be left otherwise.

    Raises
    ------
    TimeoutError
        The time of the call is up, or another target is to be tried.
    """
    try:
        while True:
            now_s = time.monotonic()
            if not fruitless:
                wait_s = min(call.left_s, leave_s - now_s, MAX_WAIT_S)
                await asyncio.wait({task}, timeout=max(0.0, wait_s))
                if task.done():
                    return task.result()
                now_s = time.monotonic()
            fruitless = False
            if call.left_s <= 0:
                raise TimeoutError("the time of the call is up")
            if now_s >= leave_s:
                if reserve_other():
                    raise TimeoutError("the target is silent, and there is another one")
                leave_s = now_s + LEAVE_RETRY_S
    finally:
        task.cancel()
