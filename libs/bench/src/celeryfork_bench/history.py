"""What callers sent and what they got, for the checker and for the figures."""

import threading
from enum import StrEnum

from attrs import define, field, frozen
from celeryfork_base.outcomes import Outcome


@frozen
class ModelAsk:
    """A model call."""

    model: str
    prompt: str
    max_tokens: int
    seed: int
    stream: bool


@frozen
class PlainAsk:
    """A call of a plain service.

    Parameters
    ----------
    key
        The idempotency key or ticket; None for kinds that may be repeated.
    """

    service: str
    kind: str
    key: str | None
    body: bytes


Ask = ModelAsk | PlainAsk


class Ending(StrEnum):
    """How an exchange ended for its caller."""

    ANSWERED = "answered"
    BROKEN_OFF = "broken_off"
    CONNECTION_REFUSED = "connection_refused"
    CALLER_LEFT = "caller_left"


@define
class Exchange:
    """One send of one ask to one instance.

    Parameters
    ----------
    request_id
        Unique; a caller that sends again uses a new one.
    outcome
        What the answer said; None where there was no whole answer.
    text, body
        What came, as far as it came.
    first_token_s, token_gaps_s
        Time to the first token and between tokens, in seconds.
    sent_s, ended_s
        Monotonic times in seconds.
    """

    request_id: str
    organisation: str
    ask: Ask
    instance: str
    sent_s: float
    ended_s: float = 0.0
    ending: Ending = Ending.BROKEN_OFF
    outcome: Outcome | None = None
    status: int | None = None
    code: str | None = None
    retry_after_s: float | None = None
    text: str = ""
    tokens: int = 0
    body: bytes = b""
    first_token_s: float | None = None
    token_gaps_s: list[float] = field(factory=list)
    token_times_s: list[float] = field(factory=list)


class History:
    """Exchanges in the order in which they ended; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._exchanges: list[Exchange] = []

    def add(self, exchange: Exchange) -> None:
        """Keep an exchange that has ended."""
        with self._lock:
            self._exchanges.append(exchange)

    def exchanges(self) -> list[Exchange]:
        """Return a copy of all exchanges."""
        with self._lock:
            return list(self._exchanges)
