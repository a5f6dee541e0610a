"""The errors that celeryfork raises: plain messages that name the remedy."""

from celeryfork_base.outcomes import Outcome


class CeleryforkError(Exception):
    """Base of every error that celeryfork raises on purpose.

    Parameters
    ----------
    message
        What is wrong.
    remedy
        What the reader can do about it.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class InputFaultError(CeleryforkError):
    """One fault in a settings file or a configuration record.

    Parameters
    ----------
    path
        JSON path of the faulty value, such as ``$.platform.log_url``.
    """

    def __init__(self, path: str, message: str, remedy: str) -> None:
        super().__init__(f"{path}: {message}", remedy)
        self.path = path


class PlatformUnavailableError(CeleryforkError):
    """The platform did not take the request, and it certainly had no effect."""


class AppendUnknownError(CeleryforkError):
    """The answer to an append was lost: the record may be in the log or come later."""


class PublishConflictError(CeleryforkError):
    """Another operator's record was accepted first.

    Parameters
    ----------
    winner_offset
        Offset of the record that is in force instead.
    """

    def __init__(self, message: str, remedy: str, winner_offset: int) -> None:
        super().__init__(message, remedy)
        self.winner_offset = winner_offset


class PeerUnavailableError(CeleryforkError):
    """A peer instance could not be reached or did not answer in time.

    Parameters
    ----------
    sent
        Whether the peer may have received the request.
    """

    def __init__(self, message: str, remedy: str, sent: bool) -> None:
        super().__init__(message, remedy)
        self.sent = sent


class RequestRefusedError(CeleryforkError):
    """A caller's request that ends without a target's answer.

    Parameters
    ----------
    outcome
        What is known about whether the request ran.
    status
        HTTP status to answer with.
    code
        Short stable identifier of the reason, such as ``over_rate``.
    retry_after_s
        When the caller may come back, in seconds; None where a retry won't help.
    """

    def __init__(
        self,
        message: str,
        remedy: str,
        *,
        outcome: Outcome,
        status: int,
        code: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.outcome = outcome
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s
