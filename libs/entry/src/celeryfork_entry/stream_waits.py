"""Waiting for the events of a path, with checks of its engines during silence."""

import asyncio
import time
from typing import TypeVar

from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.path_attempts import PathAttempt

SILENCE_LIMIT_S = 1.2
"""Seconds without an event after which a path is abandoned even if its engines respond.

Callers disconnect after 2 s.
"""

Result = TypeVar("Result")


async def wait_with_checks(
    checks: EngineChecks,
    attempt: PathAttempt,
    task: asyncio.Future[Result],
    check_delay_s: float,
    speeds: bool,
    since_s: float | None = None,
) -> Result:
    """Wait for ``task``, and check the path's engines if it takes long.

    Parameters
    ----------
    check_delay_s
        Seconds of waiting for ``task`` before the first check. It doubles with each
        expiry.
    speeds
        True to also ask engines for their speed if it is unknown.
    since_s
        Monotonic time of the last complete event, None to count from now. Bytes
        that complete no event don't reset the timeout.

    Raises
    ------
    TimeoutError
        No event for :data:`SILENCE_LIMIT_S`, or the caller's time is up.
    """
    begun_s = time.monotonic() if since_s is None else since_s
    check: asyncio.Future[list[str]] | None = None
    try:
        while True:
            silent_s = time.monotonic() - begun_s
            left_s = min(SILENCE_LIMIT_S - silent_s, attempt.call.left_s)
            if left_s <= 0:
                raise TimeoutError(f"silent for {silent_s:.3f} s")
            await asyncio.wait({task}, timeout=min(check_delay_s, left_s))
            if task.done():
                return task.result()
            check_delay_s *= 2
            # Runs in the background, so that data arriving meanwhile is forwarded
            # without delay.
            if check is None or check.done():
                check = asyncio.ensure_future(
                    checks.find_down(attempt.path.engine_ids, speeds=speeds)
                )
    finally:
        task.cancel()
        if check is not None:
            check.cancel()
