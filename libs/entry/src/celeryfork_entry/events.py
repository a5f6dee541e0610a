"""Whole events out of the bytes of a streamed answer."""

import re

from attrs import define, field, frozen

MAX_EVENT_BYTES = 1 << 20
"""Longest event; above it the stream counts as broken."""

MAX_TERMINATOR_BYTES = 4
"""Bytes of the longest end of an event."""
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_TERMINATOR = re.compile(rb"\r?\n\r?\n")


@frozen
class Event:
    """One event with the blank line that ends it.

    Parameters
    ----------
    number
        Its id; None for an event without one.
    """

    number: int | None
    data: bytes


@define
class EventSplitter:
    """Collects bytes and gives the events that are whole."""

    _buffer: bytearray = field(factory=bytearray)
    _searched: int = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes.

        Raises
        ------
        ValueError
            An event is longer than :data:`MOST_EVENT_BYTES`.
        """
        self._buffer += data
        events: list[Event] = []
        while end := _TERMINATOR.search(self._buffer, self._searched):
            if end.end() > MAX_EVENT_BYTES:
                break
            raw = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            self._searched = 0
            number = _ID.search(raw)
            events.append(Event(int(number[1]) if number else None, raw))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        # An end may begin in the last bytes that were searched.
        self._searched = max(0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1)
        return events

    @property
    def incomplete(self) -> bool:
        """Return whether part of an event is left."""
        return bool(self._buffer.strip())
