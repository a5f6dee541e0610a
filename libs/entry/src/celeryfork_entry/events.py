"""Splits the bytes of a streamed answer into server-sent events."""

import re

from attrs import define, field, frozen

MAX_EVENT_BYTES = 1 << 18
"""Maximum size of an event; a stream with a longer one counts as failed."""

MAX_EVENTS_PER_FEED = 128
"""Maximum number of events that one call of :meth:`EventSplitter.feed` returns, which
bounds the time for which their handling blocks the event loop."""
MAX_TERMINATOR_BYTES = 4
"""Length of the longest event terminator, CRLF CRLF."""
_BLANK_LINES = re.compile(rb"(?:\r?\n)*+")
_CONTENT = re.compile(rb"^(?:id|data)(?::|\r?$)", re.MULTILINE)
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
    """One event, including the blank lines before it and the one that terminates it.

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

    @property
    def has_content(self) -> bool:
        """Return True if it has an id or data; False for comments as keep-alive."""
        return self.number is not None or _CONTENT.search(self.data) is not None


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    Blank lines alone are no event. They stay with the next one, so that those without
    end exceed its maximum size.

    Parameters
    ----------
    blank
        Length of the blank lines at the beginning of the buffer.
    searched
        Offset in the buffer up to which no terminator begins.
    """

    _buffer: bytearray = field(factory=bytearray)
    _blank: int = 0
    _searched: int = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes, at most a batch of them.

        After :data:`MAX_EVENTS_PER_FEED` events the rest stays buffered for the next
        call, which may be one without data.

        Raises
        ------
        ValueError
            An event is longer than :data:`MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events: list[Event] = []
        while end := self._find_terminator():
            if end.end() > MAX_EVENT_BYTES:
                break
            raw = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            self._blank = self._searched = 0
            number = _ID.search(raw)
            events.append(Event(int(number[1]) if number else None, raw))
            if len(events) == MAX_EVENTS_PER_FEED:
                return events
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        # A terminator may begin in the last bytes that were searched.
        self._searched = max(0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1)
        return events

    def _find_terminator(self) -> re.Match[bytes] | None:
        """Return the next terminator that follows a line with content."""
        if self._searched <= self._blank:
            blank_lines = _BLANK_LINES.match(self._buffer, self._blank)
            assert blank_lines is not None
            self._blank = blank_lines.end()
        return _TERMINATOR.search(self._buffer, max(self._searched, self._blank))

    @property
    def incomplete(self) -> bool:
        """Return True if part of an event is buffered."""
        return bool(self._buffer.strip())
