"""Whether a chain that goes on sending is too slow for its caller's deadline.

Silences alone don't tell: a chain's gaps are learned, so that one that degrades by less
than the gap factor teaches its slowness as usual.
"""

from attrs import define

from celeryfork_streams.gaps import GapBook
from celeryfork_streams.ports import Chain

# Some late tokens are no pace.
FEWEST_TOKENS = 4
# Less is what chains that run well differ by.
SLOWER_BY = 2.0


@define
class Pace:
    """The pace of an attempt since it was last judged.

    Parameters
    ----------
    from_tokens
        Tokens that the attempt had passed on by then.
    waited_s
        How long it has waited on the engine since, in seconds; time that the caller
        takes is not the engine's.
    """

    from_tokens: int = 0
    waited_s: float = 0.0

    def begin(self, tokens: int) -> None:
        """Begin anew after ``tokens`` tokens."""
        self.from_tokens, self.waited_s = tokens, 0.0

    def too_slow(
        self,
        tokens: int,
        tokens_left: int,
        left_s: float,
        gaps: GapBook,
        chain: Chain,
    ) -> bool:
        """Return whether the rest comes too late here, and not on other chains.

        Where the whole model has slowed down, leaving would only add to its load.

        Parameters
        ----------
        tokens
            What the attempt has passed on.
        left_s
            Time to the deadline, in seconds.
        """
        heard = tokens - self.from_tokens
        if heard < FEWEST_TOKENS or self.waited_s * tokens_left <= left_s * heard:
            return False
        usual_s = gaps.others_gap_s(chain)
        if usual_s is None or usual_s * tokens_left > left_s:
            return False
        return self.waited_s > SLOWER_BY * usual_s * heard
