"""A circuit breaker for one target: closed, open, half-open, on trial.

After failures the target is left alone for a jittered, growing time; then one
request at a time tries it, and its outcome closes or reopens the circuit.
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
    """Where a circuit stands."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    ON_TRIAL = "on_trial"


@define
class Circuit:
    """What is remembered of one target's failures."""

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    openings: int = 0
    failed_s: float = float("-inf")
    succeeded_s: float = float("-inf")
    due_s: float = float("inf")

    def record_success(self, now_s: float) -> bool:
        """Note a success; return whether the circuit changed."""
        changed = self.state is not CircuitState.CLOSED
        self.succeeded_s = now_s
        self.failures = 0
        if changed:
            self.state = CircuitState.CLOSED
            self.due_s = float("inf")
        return changed

    def record_failure(self, now_s: float, random: Random, *, conclusive: bool) -> bool:
        """Note a failure; return whether the circuit opened by it.

        Parameters
        ----------
        now_s
            The monotonic time.
        random
            Source of the backoff's jitter.
        certain
            Whether a single failure is enough to open, as with a refused connection.
        """
        if now_s - self.failed_s > FAILURE_WINDOW_S:
            self.failures = 0
        self._reset_backoff(now_s)
        self.failures += 1
        self.failed_s = now_s
        if self.state is CircuitState.OPEN:
            return False  # late news of the same fault must not lengthen the backoff
        in_trial = self.state in (CircuitState.HALF_OPEN, CircuitState.ON_TRIAL)
        if not (conclusive or in_trial or self.failures >= FAILURES_TO_OPEN):
            return False
        self.open(now_s, random)
        return True

    def open(self, now_s: float, random: Random) -> None:
        """Leave the target alone for the next backoff."""
        backoff_s = min(FIRST_BACKOFF_S * 2**self.openings, MAX_BACKOFF_S)
        jitter = 1 + random.uniform(-BACKOFF_JITTER, BACKOFF_JITTER)
        self.openings = min(self.openings + 1, 10)
        self.state = CircuitState.OPEN
        self.due_s = now_s + backoff_s * jitter

    def half_open(self) -> None:
        """Let one request try the target."""
        self.state = CircuitState.HALF_OPEN
        self.due_s = float("inf")

    def begin_trial(self, now_s: float) -> bool:
        """Take the one trial of a half-open circuit; return whether it was free."""
        if self.state is not CircuitState.HALF_OPEN:
            return False
        self.state = CircuitState.ON_TRIAL
        self.due_s = now_s + TRIAL_TIMEOUT_S
        return True

    def advance(self, now_s: float) -> bool:
        """Move on when the time has come; return whether the circuit changed."""
        if now_s < self.due_s:
            return False
        self.half_open()
        return True

    def _reset_backoff(self, now_s: float) -> None:
        """Forget earlier openings once the target has worked for a while."""
        closed = self.state is CircuitState.CLOSED
        if closed and now_s - self.failed_s > MAX_BACKOFF_S:
            self.openings = 0
