"""Which engines run a request that may have crashed another.

After a crash, every request that had not yet proved harmless is a suspect. A suspect
runs where no other suspect does, so that the next crash convicts the right one; others
keep away until it has proved harmless. Without this, requests that were young at two
crashes were refused together with the one that caused both.
"""

import asyncio
from collections import Counter

from celeryfork_streams.ports import Chain

# Tokens after which an attempt counts as proof that its request crashes no engine.
PROVEN_TOKENS = 8


class Suspects:
    """Engines that run suspects; belongs to the event loop's thread."""

    def __init__(self) -> None:
        self._count_by_target: Counter[str] = Counter()
        self._waiting: set[asyncio.Future[None]] = set()

    def targets(self) -> frozenset[str]:
        """Return the ids of the engines that run suspects."""
        return frozenset(self._count_by_target)

    def enter(self, chain: Chain) -> None:
        """Note that a suspect runs on a chain."""
        self._count_by_target.update(hop.target.id for hop in chain.hops)

    def leave(self, chain: Chain) -> None:
        """Note that it doesn't any more, or has proved harmless."""
        self._count_by_target.subtract(hop.target.id for hop in chain.hops)
        self._count_by_target = +self._count_by_target
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def one_left(self, timeout_s: float) -> None:
        """Wait until a suspect leaves, at most ``timeout_s`` seconds."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return
        finally:
            self._waiting.discard(future)
