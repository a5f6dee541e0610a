"""What a claim can come to, and the times and bounds that claims keep to."""

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
    """Times and bounds of the claim book.

    Parameters
    ----------
    window_s
        Oldest key that is taken, in seconds since its birth.
    skew_s
        Furthest that two clocks are apart, in seconds: callers', instances', the
        log's.
    retention_s
        Shortest time that the log keeps a record, in seconds.
    commit_wait_s
        Longest that a claim waits for others to share its record, in seconds.
    flush_s
        Longest that ``stop`` waits for outcomes to reach the log, in seconds.
    """

    retention_s: float
    window_s: float = DEFAULT_WINDOW_S
    skew_s: float = DEFAULT_SKEW_S
    commit_wait_s: float = DEFAULT_COMMIT_WAIT_S
    flush_s: float = DEFAULT_FLUSH_S
    most_queued: int = 20_000
    most_queued_bytes: int = 32 * 1024 * 1024
    most_kept: int = 20_000
    most_kept_bytes: int = 32 * 1024 * 1024

    @property
    def kept_ms(self) -> int:
        """How long after its birth a key's state is needed, in milliseconds."""
        return round((self.window_s + 2 * self.skew_s) * 1000)

    def __attrs_post_init__(self) -> None:
        """Refuse times under which a claim could outlive its record."""
        if self.window_s + 2 * self.skew_s >= self.retention_s:
            raise errors.CallSettingsError(
                f"claim_window_s {self.window_s:g} plus twice the clock skew "
                f"{self.skew_s:g} s is not below the log's retention "
                f"{self.retention_s:g} s.",
                "lower claim_window_s, or have the log keep records longer.",
            )


@frozen
class Claimed:
    """The call is this instance's to run, once; hand the outcome to ``finish``."""

    organisation: str
    key: str
    body_hash: str
    nonce: str


@frozen
class Replay:
    """The call ended before, with this outcome."""

    kept: KeptOutcome


@frozen
class InProgress:
    """Another claim holds the key; ask its holder (an incarnation as text)."""

    holder: str


@frozen
class Unresolved:
    """The call may have run, or its answer can't be had whole.

    Parameters
    ----------
    outcome
        What is known of it.
    holder
        Incarnation that may still have the answer, as text.
    """

    reason: str
    outcome: Outcome = Outcome.UNKNOWN
    holder: str | None = None


@frozen
class Refused:
    """The request ends here; the error says with which outcome."""

    error: RequestRefusedError


@frozen
class StopReport:
    """What ``stop`` could not write to the log.

    Parameters
    ----------
    unflushed
        Outcomes that only this instance knows; peers may take them.
    claims_not_abandoned
        Keys that stay held without an outcome.
    """

    unflushed: Sequence[KeptOutcome]
    claims_not_abandoned: int


ClaimResult = Claimed | Replay | InProgress | Unresolved | Refused
