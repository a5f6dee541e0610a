"""Exceptions that celeryfork raises; each message includes a remedy."""

from celeryfork_base.outcomes import Outcome


class CeleryforkError(Exception):
    """Base class of celeryfork's own exceptions.

    Parameters
    ----------
    message
        Description of the problem.
    remedy
        Action that the reader can take to solve it.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class InputFaultError(CeleryforkError):
    """A validation error in a settings file or a configuration record.

    Parameters
    ----------
    path
        JSON path of the invalid value, such as ``$.platform.log_url``.
    """

    def __init__(self, path: str, message: str, remedy: str) -> None:
        super().__init__(f"{path}: {message}", remedy)
        self.path = path


class PlatformUnavailableError(CeleryforkError):
    """The platform did not process the request; it had no effect."""


class AppendUnknownError(CeleryforkError):
    """An append got no usable answer: the record may be in the log or appear later."""


class PublishConflictError(CeleryforkError):
    """A concurrent record of another operator was accepted first.

    Parameters
    ----------
    winner_offset
        Log offset of the record that was accepted.
    """

    def __init__(self, message: str, remedy: str, winner_offset: int) -> None:
        super().__init__(message, remedy)
        self.winner_offset = winner_offset


class PeerUnavailableError(CeleryforkError):
    """A peer instance could not be reached or did not answer in time.

    Parameters
    ----------
    sent
        True if the request was sent, so that the peer may have received it.
    """

    def __init__(self, message: str, remedy: str, sent: bool) -> None:
        super().__init__(message, remedy)
        self.sent = sent


class RequestRefusedError(CeleryforkError):
    """A caller's request is answered with an error by celeryfork, not by a target.

    Parameters
    ----------
    outcome
        States whether the request ran on a target, as far as it is known.
    status
        HTTP status of the error response.
    code
        Short stable identifier of the reason, such as ``no_target``.
    retry_after_s
        Seconds after which the caller may send the same request again; None if it must
        first follow the remedy, e.g. change the request or find out whether it ran.
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
