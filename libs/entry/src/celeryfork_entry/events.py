"""Splits the bytes of a streamed answer into server-sent events."""

import re

from attrs import define, field, frozen

MAX_EVENT_BYTES = 1 << 20
"""Maximum size of an event; a stream with a longer one counts as failed."""

MAX_TERMINATOR_BYTES = 4
"""Length of the longest event terminator, CRLF CRLF."""
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_TERMINATOR = re.compile(rb"\r?\n\r?\n")
_LINES = re.compile(
    rb"(?:(?:[a-z][a-z0-9_-]*+)?:[^\n]*+\n|(?:data|event|id|retry)?\r?\n)++"
)
"""Fields with names in lower case, comments and empty lines. A line without a colon is
a field without a value; other text has such lines too, but none of these names."""


def media_type(content_type: str | None) -> str | None:
    """Return the type that a Content-Type header names, without its parameters."""
    if content_type is None:
        return None
    return content_type.partition(";")[0].strip().lower()


@frozen
class Event:
    """One event, including the blank line that terminates it.

    Parameters
    ----------
    number
        Value of the ``id`` field, None for an event without one.
    """

    number: int | None
    data: bytes

    @property
    def is_well_formed(self) -> bool:
        """Return True if all lines are fields or comments.

        Other text that ends with an empty line, such as the head of a reply, isn't an
        event.
        """
        return _LINES.fullmatch(self.data) is not None


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    Parameters
    ----------
    searched
        Offset in the buffer up to which no terminator begins.
    """

    _buffer: bytearray = field(factory=bytearray)
    _searched: int = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes.

        Raises
        ------
        ValueError
            An event is longer than :data:`MAX_EVENT_BYTES`.
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
        # A terminator may begin in the last bytes that were searched.
        self._searched = max(0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1)
        return events

    @property
    def incomplete(self) -> bool:
        """Return True if part of an event is buffered."""
        return bool(self._buffer.strip())
