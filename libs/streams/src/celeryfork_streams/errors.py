"""The errors of streams beside those of ``celeryfork_base.errors``."""

from celeryfork_base.errors import CeleryforkError


class CallerGoneError(CeleryforkError):
    """The caller closed its connection, or was cut for reading too slowly."""


class EngineError(CeleryforkError):
    """An engine did not carry an attempt to its end.

    Parameters
    ----------
    address
        ``ip:port`` of the engine that was asked.
    """

    def __init__(self, address: str, message: str, remedy: str) -> None:
        super().__init__(f"Engine {address}: {message}", remedy)
        self.address = address


class EngineNotReachedError(EngineError):
    """No byte of the request reached the engine: it did not run there."""


class EngineRejectedError(EngineError):
    """The engine answered that it did not run the request.

    Parameters
    ----------
    status
        The HTTP status: 400, 404, 409 or 429.
    retry_after_s
        What the engine's ``Retry-After`` said, in seconds.
    """

    def __init__(
        self, address: str, status: int, text: str, retry_after_s: float | None
    ) -> None:
        super().__init__(
            address, f"answered {status} {text}", "send the request elsewhere"
        )
        self.status = status
        self.retry_after_s = retry_after_s


class EngineCutError(EngineError):
    """The connection ended after the request was sent, without a whole answer."""


class EngineAnswerError(EngineError):
    """The engine sent what the interface does not allow.

    Parameters
    ----------
    kind
        ``malformed``, ``gap`` (in the positions) or ``coverage`` (of the layers).
    """

    def __init__(self, address: str, message: str, kind: str = "malformed") -> None:
        super().__init__(
            address, message, "read the engine's log; it breaks the interface"
        )
        self.kind = kind


class EngineStalledError(EngineError):
    """The engine sent nothing for longer than its chain's gap allows."""


class EngineTooSlowError(EngineError):
    """The engine sends, but its chain would miss the deadline; others wouldn't."""
