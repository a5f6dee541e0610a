"""Which engines run a request that may have crashed another.

Others keep away from them until the request has proved harmless, so that one poison
request doesn't bring its neighbours under suspicion twice.
"""

from collections import Counter

from celeryfork_streams.ports import Chain

# Tokens after which an attempt counts as proof that its request crashes no engine.
PROVEN_TOKENS = 8


class Suspects:
    """Engines that run suspects; belongs to the event loop's thread."""

    def __init__(self) -> None:
        self._count_by_target: Counter[str] = Counter()

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
