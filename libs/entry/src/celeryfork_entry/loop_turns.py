"""Lets other tasks run while a peer's buffered input is handled.

Input that needs no wait would otherwise decide how long one task runs.
"""

import asyncio

from attrs import define

MAX_STEPS_PER_TURN = 64
"""Number of steps, such as parsed chunks, after which other tasks run."""


@define
class LoopTurns:
    """Counts the steps of one task."""

    _steps: int = 0

    async def step(self) -> None:
        """Count a step, and let other tasks run if there were enough of them."""
        self._steps += 1
        if self._steps >= MAX_STEPS_PER_TURN:
            self._steps = 0
            await asyncio.sleep(0)
