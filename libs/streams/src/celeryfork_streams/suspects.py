"""Which engines run a request that may have crashed another.

After a crash, every request that had not yet proved harmless is a suspect. A suspect
runs where no other suspect does, so that the next crash convicts the right one; others
keep away until it has proved harmless. Without this, requests that were young at two
crashes were refused together with the one that caused both.
"""

import asyncio
from collections import Counter

from celeryfork_streams.lost import Lost
from celeryfork_streams.ports import Chain, PoisonPort
from celeryfork_streams.requests import RecoveryKind

# Tokens after which an attempt counts as proof that its request crashes no engine.
PROVEN_TOKENS = 8
# From this crash on, it is counted even where the attempt had made tokens before.
CRASHES_EXCUSED = 2

_CRASHES = frozenset({RecoveryKind.CUT, RecoveryKind.STAGE_LOST})


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


class Suspicion:
    """What one request's attempts say of whether it crashes engines."""

    def __init__(
        self, suspects: Suspects, poison: PoisonPort, fingerprint: str
    ) -> None:
        self._suspects = suspects
        self._poison = poison
        self._fingerprint = fingerprint
        self._crashes = 0
        self._ran_before: frozenset[str] = frozenset()
        self._running_on: Chain | None = None

    @property
    def stands(self) -> bool:
        """Whether an engine has crashed that ran this request."""
        return self._poison.crashes(self._fingerprint) > 0

    def begin(self, chain: Chain) -> None:
        """Mark a chain's engines if the request is a suspect."""
        if self.stands:
            self._running_on = chain
            self._suspects.enter(chain)

    def passed(self, tokens: int) -> None:
        """Lift the mark once the attempt has proved harmless."""
        if self._running_on is not None and tokens >= PROVEN_TOKENS:
            self.end()

    def end(self) -> None:
        """Lift the mark."""
        chain, self._running_on = self._running_on, None
        if chain is not None:
            self._suspects.leave(chain)

    def count(self, lost: Lost, tokens: int, chain: Chain) -> None:
        """Hold a crash against the request unless it had proved harmless.

        An engine that was taken over from the last attempt and gave no token in this
        one may have died together with the first, as when a rack fails.

        Raises
        ------
        RequestRefusedError
            It has crashed too many engines.
        """
        if lost.kind not in _CRASHES:
            return
        before, self._ran_before = self._ran_before, _ids_of(chain)
        if tokens == 0 and lost.blamed <= before:
            return
        self._crashes += 1
        if tokens >= PROVEN_TOKENS and self._crashes <= CRASHES_EXCUSED:
            return
        for target_id in lost.blamed:
            self._poison.record_crash(self._fingerprint, target_id)
        self._poison.check(self._fingerprint)


def _ids_of(chain: Chain) -> frozenset[str]:
    return frozenset(hop.target.id for hop in chain.hops)
