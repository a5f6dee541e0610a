"""Waiting for the events of a path, with checks of its engines during silence.

A silent path is left only for another one: its engines may go on after a pause, and an
answer has nowhere else to come from.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, TypeVar

from celeryfork_entry.call import MAX_WAIT_S
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.path_attempts import PathAttempt

SILENCE_LIMIT_S = 1.2
"""Seconds without an event after which another path is sought even if the engines of
this one respond.

Callers disconnect after 2 s.
"""
LEAVE_RETRY_S = 0.02
"""Seconds between two attempts to leave a silent path."""

Result = TypeVar("Result")


class PathLeftError(Exception):
    """A silent path was given up, as another one was reserved."""


async def wait_with_checks(
    checks: EngineChecks,
    attempt: PathAttempt,
    task: asyncio.Future[Result],
    check_delay_s: float,
    speeds: bool,
    reserve_other: Callable[[PathAttempt], bool],
    since_s: float | None = None,
    fruitless: bool = False,
) -> Result:
    """Wait for ``task``, and check the path's engines if it takes long.

    Parameters
    ----------
    check_delay_s
        Seconds of waiting for ``task`` before the first check. It doubles with each
        expiry.
    speeds
        True to also ask engines for their speed if it is unknown.
    reserve_other
        Reserves another path, and returns True if there is one. It is called after
        :data:`SILENCE_LIMIT_S`, and once an engine of the path is doubted.
    since_s
        Monotonic time of the last complete event, None to count from now. Bytes
        that complete no event don't reset the timeout.
    fruitless
        True if bytes have arrived since that completed no event. Without such bytes,
        this process may be late, and the next events have arrived already.

    Raises
    ------
    PathLeftError
        The path is silent, and another one is reserved.
    TimeoutError
        The caller's time is up.
    """
    now_s = time.monotonic()
    begun_s = now_s if since_s is None else since_s
    check_s = now_s + check_delay_s
    check: asyncio.Future[list[str]] | None = None
    try:
        if fruitless:
            _raise_if_over(attempt, now_s - begun_s, reserve_other)
        while True:
            limit_s = begun_s + SILENCE_LIMIT_S
            if attempt.doubt or now_s >= limit_s:
                limit_s = now_s + LEAVE_RETRY_S
            waiting: set[asyncio.Future[Any]] = {task}
            if not attempt.doubt:
                waiting.add(attempt.doubted)
            wait_s = min(check_s - now_s, limit_s - now_s, MAX_WAIT_S)
            await asyncio.wait(
                waiting,
                timeout=max(0.0, min(wait_s, attempt.call.left_s)),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done():
                return task.result()
            now_s = time.monotonic()
            _raise_if_over(attempt, now_s - begun_s, reserve_other)
            # Runs in the background, so that data arriving meanwhile is forwarded
            # without delay.
            if now_s >= check_s:
                check_delay_s *= 2
                check_s = now_s + check_delay_s
                if check is None or check.done():
                    check = asyncio.ensure_future(
                        checks.find_down(attempt.path.engine_ids, speeds=speeds)
                    )
    finally:
        task.cancel()
        if check is not None:
            check.cancel()


def _raise_if_over(
    attempt: PathAttempt, silent_s: float, reserve_other: Callable[[PathAttempt], bool]
) -> None:
    """Raise an error if the wait is over without a result.

    Raises
    ------
    PathLeftError, TimeoutError
        As :func:`wait_with_checks`.
    """
    if attempt.call.left_s <= 0:
        raise TimeoutError("the time of the call is up")
    reason = attempt.doubt
    if silent_s >= SILENCE_LIMIT_S:
        reason = reason or f"silent for {silent_s:.3f} s"
    if reason and reserve_other(attempt):
        raise PathLeftError(reason)
