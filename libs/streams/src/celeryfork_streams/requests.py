"""What is asked of a stream, where its tokens go, and what became of it."""

from enum import StrEnum
from typing import Protocol, runtime_checkable

from attrs import frozen
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome


@frozen
class GenerateRequest:
    """One model call that was admitted.

    Parameters
    ----------
    request_id
        What the caller knows the request by; a caller may use one twice.
    stream_id
        What engines know the request by; no other request has it.
    deadline_s
        When the caller stops waiting, on the monotonic clock, in seconds.
    fingerprint
        Tells the same request apart when it is sent again; see ``poison``.
    """

    request_id: str
    stream_id: str
    organisation: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int
    deadline_s: float
    fingerprint: str


class Sink(Protocol):
    """Where a stream's tokens go; raises CallerGoneError when nobody reads."""

    async def token(self, text: str) -> None:
        """Take the token at the next position."""

    async def finished(self, reason: str, tokens: int) -> None:
        """Take the end of the answer: ``stop`` or ``length``, and its length."""


@runtime_checkable
class BatchingSink(Sink, Protocol):
    """A sink that is told which tokens came together, to pass them on at once."""

    def hold(self) -> None:
        """Keep what follows until ``flush``."""

    def flush(self) -> None:
        """Pass on what was kept; may be called without ``hold``."""


class RecoveryKind(StrEnum):
    """Why an attempt ended before the answer did."""

    NOT_REACHED = "not_reached"
    REJECTED = "rejected"
    CUT = "cut"
    STAGE_LOST = "stage_lost"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    STALLED = "stalled"
    TOO_SLOW = "too_slow"
    MALFORMED = "malformed"


@frozen
class Recovery:
    """One fault that a stream was carried past.

    Parameters
    ----------
    fault_s
        When the fault showed, on the monotonic clock, in seconds.
    resumed_s
        When the next token passed; None if none did.
    silent_s
        How long nothing had come before the fault showed, in seconds.
    """

    kind: RecoveryKind
    fault_s: float
    resumed_s: float | None
    silent_s: float


@frozen
class StreamResult:
    """What became of a stream.

    Parameters
    ----------
    tokens
        Tokens that passed to the caller.
    code
        The error's code, None where there was none.
    """

    outcome: Outcome
    tokens: int
    attempts: int
    recoveries: tuple[Recovery, ...] = ()
    code: str | None = None


class StreamRefusedError(RequestRefusedError):
    """A stream that was given up, with what became of it so far.

    Parameters
    ----------
    error
        The refusal.
    result
        Tokens, attempts and recoveries up to then.
    """

    def __init__(self, error: RequestRefusedError, result: StreamResult) -> None:
        super().__init__(
            error.message,
            error.remedy,
            outcome=error.outcome,
            status=error.status,
            code=error.code,
            retry_after_s=error.retry_after_s,
        )
        self.result = result
