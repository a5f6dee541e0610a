"""A circuit breaker for one target: closed, open, half-open, on trial.

After failures the circuit stays open for a jittered, exponentially growing backoff.
Then one request at a time is sent as a trial, and its outcome closes or reopens the
circuit.
"""

from enum import Enum
from random import Random

from attrs import define

FAILURES_TO_OPEN = 2
FAILURE_WINDOW_S = 10.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 20.0
BACKOFF_JITTER = 0.3
TRIAL_TIMEOUT_S = 10.0


class CircuitState(Enum):
    """State of a circuit breaker; `ON_TRIAL` while a trial request is under way."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    ON_TRIAL = "on_trial"


@define
class Circuit:
    """Circuit breaker state of one target; all times are monotonic, in seconds.

    Parameters
    ----------
    state
        The current `CircuitState`.
    failures
        Consecutive failures, each within `FAILURE_WINDOW_S` of the one before.
    openings
        Number of openings since the last reset, at most 10; each doubles the backoff.
    failed_s, succeeded_s
        Time of the last failure and of the last success.
    due_s
        Time at which `advance` makes the circuit half-open: the end of the backoff,
        or the timeout of a trial without an outcome; infinite in the other states.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    openings: int = 0
    failed_s: float = float("-inf")
    succeeded_s: float = float("-inf")
    due_s: float = float("inf")

    def record_success(self, now_s: float) -> bool:
        """Record a success; return True if this closed the circuit."""
        changed = self.state is not CircuitState.CLOSED
        self.succeeded_s = now_s
        self.failures = 0
        if changed:
            self.state = CircuitState.CLOSED
            self.due_s = float("inf")
        return changed

    def record_failure(self, now_s: float, random: Random, *, conclusive: bool) -> bool:
        """Record a failure; return True if this opened the circuit.

        Parameters
        ----------
        now_s
            The current monotonic time.
        random
            Source of the backoff jitter.
        conclusive
            True if a single failure opens the circuit, as a refused connection does.
        """
        if now_s - self.failed_s > FAILURE_WINDOW_S:
            self.failures = 0
        self._reset_backoff_if_stable(now_s)
        self.failures += 1
        self.failed_s = now_s
        if self.state is CircuitState.OPEN:
            return False  # late reports of the same fault must not lengthen the backoff
        in_trial = self.state in (CircuitState.HALF_OPEN, CircuitState.ON_TRIAL)
        if not (conclusive or in_trial or self.failures >= FAILURES_TO_OPEN):
            return False
        self.open(now_s, random)
        return True

    def open(self, now_s: float, random: Random) -> None:
        """Open the circuit for the next backoff interval."""
        backoff_s = min(FIRST_BACKOFF_S * 2**self.openings, MAX_BACKOFF_S)
        jitter = 1 + random.uniform(-BACKOFF_JITTER, BACKOFF_JITTER)
        self.openings = min(self.openings + 1, 10)
        self.state = CircuitState.OPEN
        self.due_s = now_s + backoff_s * jitter

    def half_open(self) -> None:
        """Allow one trial request."""
        self.state = CircuitState.HALF_OPEN
        self.due_s = float("inf")

    def begin_trial(self, now_s: float) -> bool:
        """Start the one trial of a half-open circuit; return True if it started."""
        if self.state is not CircuitState.HALF_OPEN:
            return False
        self.state = CircuitState.ON_TRIAL
        self.due_s = now_s + TRIAL_TIMEOUT_S
        return True

    def advance(self, now_s: float) -> bool:
        """Make the circuit half-open if it is due; return True if it changed."""
        if now_s < self.due_s:
            return False
        self.half_open()
        return True

    def _reset_backoff_if_stable(self, now_s: float) -> None:
        """Reset the backoff if closed and without failure for `MAX_BACKOFF_S`."""
        closed = self.state is CircuitState.CLOSED
        if closed and now_s - self.failed_s > MAX_BACKOFF_S:
            self.openings = 0
