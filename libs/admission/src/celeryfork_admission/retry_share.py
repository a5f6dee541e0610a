"""One instance's share of a retry budget that all instances keep together.

Each instance allows itself the same part of the fixed allowance and its own requests'
part of the variable one, so that the sum stays within the budget without any call.
"""

from collections import deque

from attrs import define, field, frozen

KEPT_BACK = 0.1
"""Part of the share that stays unused: instances count windows at other moments."""


@frozen
class ShareState:
    """How much of a share is used.

    Parameters
    ----------
    repeats, allowed
        Repeats in the window, and how many it has room for.
    requests
        Requests in the window, from which a part of that follows.
    """

    repeats: int
    allowed: int
    requests: int


@frozen
class Repeat:
    """One repeat that was taken from a share.

    Parameters
    ----------
    at_s
        When it was taken, by the share's clock.
    """

    at_s: float


@define
class RetryShare:
    """Repeats allowed to one target in a sliding window.

    Parameters
    ----------
    ratio
        Repeats allowed for each request.
    slack
        Repeats allowed beside, over all instances.
    window_s
        Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _requests_s: deque[float] = field(factory=deque)
    _repeats_s: deque[float] = field(factory=deque)

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Take other bounds; what was counted stays."""
        self.ratio, self.slack, self.window_s = ratio, slack, window_s

    def request(self, now_s: float) -> None:
        """Count a request's first arrival at the target."""
        self._requests_s.append(now_s)

    def take(self, now_s: float, instances: int) -> Repeat | None:
        """Count one repeat; return None if the share has no room for it.

        Parameters
        ----------
        instances
            Number of instances that share the budget.
        """
        state = self.state(now_s, instances)
        if state.repeats >= state.allowed:
            return None
        self._repeats_s.append(now_s)
        return Repeat(now_s)

    def give_back(self, repeat: Repeat) -> None:
        """Count a repeat no more: it has reached no target."""
        if repeat.at_s in self._repeats_s:
            self._repeats_s.remove(repeat.at_s)

    def state(self, now_s: float, instances: int) -> ShareState:
        """Return how much of the share is used."""
        horizon_s = now_s - self.window_s
        for times_s in (self._requests_s, self._repeats_s):
            while times_s and times_s[0] < horizon_s:
                times_s.popleft()
        requests = len(self._requests_s)
        share = self.ratio * requests + self.slack / max(1, instances)
        return ShareState(len(self._repeats_s), int(share * (1 - KEPT_BACK)), requests)
