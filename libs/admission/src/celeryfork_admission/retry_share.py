"""One instance's share of a retry budget that all instances keep together.

Each instance allows itself the same part of the fixed allowance and its own requests'
part of the variable one, so that the sum stays within the budget without any call.
Repeats may be lent: the lender counts them in its own share until the borrower can use
them no more, so that the sum stays the same.
"""

from collections import deque

from attrs import define, field, frozen

RESERVED_SHARE = 0.1
"""Part of the share that stays unused: instances count windows at other moments."""
LENDABLE_SHARE = 0.5
"""Part of what is left of a share that is lent at once; it may need the rest itself."""


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

    retries: int
    allowed: int
    requests: int


@frozen
class OwnRetry:
    """One repeat that was taken from a share.

    Parameters
    ----------
    at_s
        When it was taken, by the share's clock.
    """

    at_s: float


@frozen
class BorrowedRetry:
    """One repeat of another instance's share.

    Parameters
    ----------
    until_s
        When it can't be used any more.
    """

    until_s: float


Retry = OwnRetry | BorrowedRetry


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
    _retries_s: deque[float] = field(factory=deque)
    _borrowed_until_s: list[float] = field(factory=list)

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Take other bounds; what was counted stays."""
        self.ratio, self.slack, self.window_s = ratio, slack, window_s

    def record_request(self, now_s: float) -> None:
        """Count a request's first arrival at the target."""
        self._requests_s.append(now_s)

    def acquire(
        self, now_s: float, instances: int, *, allow_borrowed: bool = True
    ) -> Retry | None:
        """Take one repeat, a lent one first; return None where there is none.

        Parameters
        ----------
        instances
            Number of instances that share the budget.
        allow_borrowed
            Whether it may be a lent one.
        """
        if allow_borrowed and self._has_borrowed(now_s):
            return BorrowedRetry(self._borrowed_until_s.pop(0))
        if self._remaining(now_s, instances) < 1:
            return None
        self._retries_s.append(now_s)
        return OwnRetry(now_s)

    def refund(self, retry: Retry) -> None:
        """Count a repeat no more: it has reached no target."""
        match retry:
            case OwnRetry(at_s):
                if at_s in self._retries_s:
                    self._retries_s.remove(at_s)
            case BorrowedRetry(until_s):
                self.borrow(1, until_s)

    def can_acquire(self, now_s: float, instances: int) -> bool:
        """Return whether :meth:`take` would give a repeat."""
        return self._has_borrowed(now_s) or self._remaining(now_s, instances) >= 1

    def lendable(self, now_s: float, instances: int) -> int:
        """Return how many repeats this instance would lend now."""
        return max(0, int(self._remaining(now_s, instances) * LENDABLE_SHARE))

    def lend(self, now_s: float, instances: int, wanted: int, lifetime_s: float) -> int:
        """Take repeats for another instance; return how many.

        Parameters
        ----------
        life_s
            Time in which the borrower may use them; they count here from its end on.
        """
        lent = min(wanted, self.lendable(now_s, instances))
        self._retries_s.extend([now_s + lifetime_s] * lent)
        return lent

    def borrow(self, retries: int, until_s: float) -> None:
        """Take repeats that another instance has lent."""
        self._borrowed_until_s.extend([until_s] * retries)
        self._borrowed_until_s.sort()

    def _has_borrowed(self, now_s: float) -> bool:
        self._borrowed_until_s = [
            each for each in self._borrowed_until_s if each >= now_s
        ]
        return bool(self._borrowed_until_s)

    def _remaining(self, now_s: float, instances: int) -> int:
        state = self.state(now_s, instances)
        return state.allowed - state.retries

    def state(self, now_s: float, instances: int) -> ShareState:
        """Return how much of the share is used."""
        horizon_s = now_s - self.window_s
        for times_s in (self._requests_s, self._retries_s):
            while times_s and times_s[0] < horizon_s:
                times_s.popleft()
        requests = len(self._requests_s)
        share = self.ratio * requests + self.slack / max(1, instances)
        return ShareState(
            len(self._retries_s), int(share * (1 - RESERVED_SHARE)), requests
        )
