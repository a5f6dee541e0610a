"""One instance's share of a retry budget that applies to all instances together.

The budget has a fixed part, of which each instance gets the same share, and a part in
proportion to requests, of which each gets that of its own requests. So the sum stays
within the budget without any communication. Unused retries may be lent to another
instance: the lender counts them in its own window, as of the time at which the borrower
can't use them any more, so that the sum does not grow.
"""

from collections import deque

from attrs import define, field, frozen

RESERVED_SHARE = 0.1
"""Share left unused, since the windows of the instances are not synchronous."""
LENDABLE_SHARE = 0.5
"""Part of the unused retries lent at once; the lender may need the rest itself."""


@frozen
class ShareState:
    """Use of a share.

    Parameters
    ----------
    retries, allowed
        Retries in the window, and the number allowed.
    requests
        Requests in the window, which determine a part of the number allowed.
    """

    retries: int
    allowed: int
    requests: int


@frozen
class OwnRetry:
    """A retry acquired from the own share.

    Parameters
    ----------
    at_s
        Time of acquisition, as passed to ``RetryShare.acquire``.
    """

    at_s: float


@frozen
class BorrowedRetry:
    """A retry borrowed from another instance's share.

    Parameters
    ----------
    until_s
        Time after which it can't be used any more.
    """

    until_s: float


Retry = OwnRetry | BorrowedRetry


@define
class RetryShare:
    """Retries allowed for one service in a sliding window.

    Parameters
    ----------
    ratio
        Retries allowed for each request.
    slack
        Retries allowed in addition, over all instances together.
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
        """Change the bounds; requests and retries already counted stay."""
        self.ratio, self.slack, self.window_s = ratio, slack, window_s

    def record_request(self, now_s: float) -> None:
        """Count a new request; its retries are not counted here."""
        self._requests_s.append(now_s)

    def acquire(
        self, now_s: float, instances: int, *, allow_borrowed: bool = True
    ) -> Retry | None:
        """Acquire one retry, a borrowed one first; return None if none is left.

        Parameters
        ----------
        instances
            Number of instances that share the budget.
        allow_borrowed
            True if it may be a borrowed one.
        """
        if allow_borrowed and self._has_borrowed(now_s):
            return BorrowedRetry(self._borrowed_until_s.pop(0))
        if self._remaining(now_s, instances) < 1:
            return None
        self._retries_s.append(now_s)
        return OwnRetry(now_s)

    def refund(self, retry: Retry) -> None:
        """Return a retry to the share, since it did not reach any target."""
        match retry:
            case OwnRetry(at_s):
                if at_s in self._retries_s:
                    self._retries_s.remove(at_s)
            case BorrowedRetry(until_s):
                self.borrow(1, until_s)

    def can_acquire(self, now_s: float, instances: int) -> bool:
        """Return True if :meth:`acquire` would return a retry."""
        return self._has_borrowed(now_s) or self._remaining(now_s, instances) >= 1

    def lendable(self, now_s: float, instances: int) -> int:
        """Return how many retries this instance would lend now."""
        return max(0, int(self._remaining(now_s, instances) * LENDABLE_SHARE))

    def lend(self, now_s: float, instances: int, wanted: int, lifetime_s: float) -> int:
        """Lend retries to another instance; return how many.

        Parameters
        ----------
        lifetime_s
            Time within which the borrower may use them, in seconds. They are counted in
            this share as retries made at its end.
        """
        lent = min(wanted, self.lendable(now_s, instances))
        self._retries_s.extend([now_s + lifetime_s] * lent)
        return lent

    def borrow(self, retries: int, until_s: float) -> None:
        """Add retries that another instance has lent."""
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
        """Return the use of the share in the window that ends now."""
        horizon_s = now_s - self.window_s
        for times_s in (self._requests_s, self._retries_s):
            while times_s and times_s[0] < horizon_s:
                times_s.popleft()
        requests = len(self._requests_s)
        share = self.ratio * requests + self.slack / max(1, instances)
        return ShareState(
            len(self._retries_s), int(share * (1 - RESERVED_SHARE)), requests
        )
