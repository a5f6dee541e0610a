"""The events of an attempt, each checked before its token may pass."""

from attrs import frozen
from celeryfork_base.counters import Counters
from orjson import JSONDecodeError, loads

from celeryfork_streams.errors import EngineAnswerError
from celeryfork_streams.ports import Chain

LARGEST_EVENT_BYTES = 16 * 1024
END_REASONS = frozenset({"stop", "length"})
FAULTS = frozenset({"stage_lost", "overloaded", "leaving"})


@frozen
class Ended:
    """The answer is whole."""

    reason: str
    tokens: int


@frozen
class Faulted:
    """The attempt ended before the answer did.

    Parameters
    ----------
    fault
        ``stage_lost``, ``overloaded`` or ``leaving``.
    engine
        The engine it is about, if the event names one.
    """

    fault: str
    engine: str | None


class EventReader:
    """Reads the events of one attempt.

    Parameters
    ----------
    layers
        How many layers the model has; every token must have run each once, in order.
    position
        The first position that this attempt is to generate.
    limit
        The number of tokens that the answer may have.
    """

    def __init__(
        self,
        attempt: int,
        chain: Chain,
        layers: int,
        position: int,
        limit: int,
        counters: Counters,
    ) -> None:
        self._attempt = attempt
        self._address = chain.hops[0].target.address
        self._spans = [[hop.first, hop.last] for hop in chain.hops]
        self._layers = layers
        self._limit = limit
        self._counters = counters
        self.position = position

    def read(self, line: bytes) -> str | Ended | Faulted | None:
        """Check one event.

        Returns
        -------
        str | Ended | Faulted | None
            The text of exactly the next position; None for an event to drop: an old
            attempt's, or a position that has passed.

        Raises
        ------
        EngineAnswerError
            Malformed, a gap in the positions, or layers left out or run twice.
        """
        if len(line) > LARGEST_EVENT_BYTES:
            raise self._wrong("malformed", f"an event of {len(line)} bytes")
        try:
            event = loads(line)
        except JSONDecodeError:
            raise self._wrong("malformed", "an event is not JSON") from None
        if type(event) is not dict:
            raise self._wrong("malformed", "an event is not an object")
        text = event.get("x")
        if (
            type(text) is str
            and event.get("a") == self._attempt
            and event.get("p") == self.position < self._limit
            and event.get("l") == self._spans
        ):
            self.position += 1
            return text
        return self._read_unusual(event)

    def _read_unusual(self, event: dict[str, object]) -> str | Ended | Faulted | None:
        """Read what is not the next token over the layers that were asked for."""
        attempt = event.get("a")
        if type(attempt) is not int or attempt > self._attempt:
            raise self._wrong("malformed", f"an event is of attempt {attempt!r}")
        if attempt < self._attempt:
            self._counters.add("streams.events_of_old_attempts")
            return None
        if "x" in event:
            return self._read_token(event)
        if "end" in event:
            return self._read_end(event)
        return self._read_fault(event)

    def _read_token(self, event: dict[str, object]) -> str | None:
        text, position = event["x"], event.get("p")
        if type(text) is not str or type(position) is not int or position < 0:
            raise self._wrong("malformed", "a token without text or position")
        if position < self.position:
            self._counters.add("streams.duplicate_events")
            return None
        if position > self.position:
            raise self._wrong("gap", f"position {position} before {self.position}")
        if position >= self._limit:
            raise self._wrong("malformed", f"more than {self._limit} tokens")
        if not covers(event.get("l"), self._layers):
            raise self._wrong("coverage", f"layers {event.get('l')!r} were run")
        self.position += 1
        return text

    def _read_end(self, event: dict[str, object]) -> Ended:
        reason, tokens = event["end"], event.get("p")
        if not isinstance(reason, str) or reason not in END_REASONS:
            raise self._wrong("malformed", f"an end for the reason {reason!r}")
        if type(tokens) is not int or tokens != self.position:
            raise self._wrong("gap", f"an end at {tokens!r} before {self.position}")
        return Ended(reason, tokens)

    def _read_fault(self, event: dict[str, object]) -> Faulted:
        fault, engine = event.get("error"), event.get("engine")
        if not isinstance(fault, str) or fault not in FAULTS:
            raise self._wrong("malformed", "an event of no known kind")
        return Faulted(fault, engine if isinstance(engine, str) else None)

    def _wrong(self, kind: str, message: str) -> EngineAnswerError:
        return EngineAnswerError(self._address, message, kind)


def covers(spans: object, layers: int) -> bool:
    """Return whether spans of layers cover ``[0, layers)`` once and in order."""
    if not isinstance(spans, list):
        return False
    reached = 0
    for span in spans:
        match span:
            case [int(first), int(last)] if first == reached < last:
                reached = last
            case _:
                return False
    return reached == layers
