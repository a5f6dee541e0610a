"""The record of what a fleet's engines ran, kept cheap for many tokens.

Plain tuples of numbers and texts leave the garbage collector's sight at its first
pass. Objects would stay, and hundreds of thousands of them make each full collection
a pause that every thread of the process feels.
"""

from collections import deque

from celeryfork_standin.engine_data import RanStage, RanToken

StageKey = tuple[str, int, int]
"""Engine, first layer and last layer of a stage."""

TokenKey = tuple[str, int, int, tuple[StageKey, ...], float, float]
"""Stream, attempt, position, stages, and when it began and ended."""


class TokenRecord:
    """What all engines of a fleet ran, bounded; the oldest are dropped first."""

    def __init__(self, most_tokens: int) -> None:
        self._ran: deque[TokenKey] = deque(maxlen=most_tokens)
        self.count = 0

    def add(self, token: TokenKey) -> None:
        """Note one token that a whole chain ran."""
        self.count += 1
        self._ran.append(token)

    def tokens(self) -> list[RanToken]:
        """Return the tokens kept, in the order in which they ended."""
        return [
            RanToken(stream, attempt, at, tuple(RanStage(*s) for s in ran), start, end)
            for stream, attempt, at, ran, start, end in self._ran.copy()
        ]
