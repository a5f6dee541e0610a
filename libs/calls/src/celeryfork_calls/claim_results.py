"""Results of a claim, and the times and limits for claims."""

from collections.abc import Sequence

from attrs import frozen
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome

from celeryfork_calls import errors
from celeryfork_calls.kept_outcomes import KeptOutcome

DEFAULT_WINDOW_S = 600.0
DEFAULT_SKEW_S = 5.0
DEFAULT_COMMIT_WAIT_S = 0.03
DEFAULT_FLUSH_S = 5.0


@frozen
class ClaimLimits:
    """Times and limits of the claim coordinator.

    Parameters
    ----------
    window_s
        Maximum age of an accepted key since its creation, in seconds.
    skew_s
        Maximum difference between any two clocks, in seconds: those of callers,
        instances and the log.
    retention_s
        Minimum time that the log keeps a record, in seconds.
    commit_wait_s
        Maximum time that a claim waits for others to share its record, in seconds.
    flush_s
        Maximum time that ``stop`` waits for outcomes to reach the log, in seconds.
    """

    retention_s: float
    window_s: float = DEFAULT_WINDOW_S
    skew_s: float = DEFAULT_SKEW_S
    commit_wait_s: float = DEFAULT_COMMIT_WAIT_S
    flush_s: float = DEFAULT_FLUSH_S
    max_queued: int = 20_000
    max_queued_bytes: int = 32 * 1024 * 1024
    max_kept: int = 20_000
    max_kept_bytes: int = 32 * 1024 * 1024

    @property
    def key_state_ttl_ms(self) -> int:
        """Time after a key's creation for which its state is needed, in ms."""
        return round((self.window_s + 2 * self.skew_s) * 1000)

    def __attrs_post_init__(self) -> None:
        """Reject times with which a key could be accepted after its record expired."""
        if self.window_s + 2 * self.skew_s >= self.retention_s:
            raise errors.CallSettingsError(
                f"claim_window_s {self.window_s:g} plus twice the clock skew "
                f"{self.skew_s:g} s is not below the log's retention "
                f"{self.retention_s:g} s.",
                "lower claim_window_s, or have the log keep records longer.",
            )


@frozen
class Claimed:
    """The caller must run the call once, and pass its outcome to ``finish``."""

    organisation: str
    key: str
    body_hash: str
    nonce: str


@frozen
class Replay:
    """An earlier call with the key ended with this outcome."""

    kept: KeptOutcome


@frozen
class InProgress:
    """Another claim holds the key; ``holder`` is its incarnation as text."""

    holder: str


@frozen
class Unresolved:
    """The call may have run, or its complete answer is not available.

    Parameters
    ----------
    outcome
        Known outcome of the call.
    holder
        Incarnation that may have the answer, as text.
    """

    reason: str
    outcome: Outcome = Outcome.UNKNOWN
    holder: str | None = None


@frozen
class Refused:
    """The request is refused; the error contains the outcome."""

    error: RequestRefusedError


@frozen
class StopReport:
    """Entries that ``stop`` could not write to the log.

    Parameters
    ----------
    unflushed
        Outcomes known only to this instance, to be sent to peers.
    claims_not_abandoned
        Number of Abandons not written, whose keys may stay held.
    """

    unflushed: Sequence[KeptOutcome]
    claims_not_abandoned: int


ClaimResult = Claimed | Replay | InProgress | Unresolved | Refused
