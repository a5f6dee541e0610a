"""The events of one attempt, written straight to its connection."""

import asyncio
import random
from collections import deque
from collections.abc import Sequence as Items

import orjson

from celeryfork_standin.engine_data import EventFault, EventFaults

MOST_UNREAD_BYTES = 1024 * 1024
READER_CHECK_TOKENS = 64
LATE_TEXT = b'" late"'


class EventStream:
    """Writes a chunked body (RFC 9112, section 7.1), one event a chunk.

    Parameters
    ----------
    attempt
        The attempt's number.
    layers
        The layers that the chain runs, in order.
    muted
        Whether events are held back to begin with.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        attempt: int,
        layers: Items[tuple[int, int]],
        chance: random.Random,
        *,
        muted: bool,
    ) -> None:
        self.transport = transport
        self.muted = muted
        self._attempt = attempt
        self._layers = layers
        self._chance = chance
        self._held: deque[bytes] = deque()
        self._head = b'{"a":%d,"p":' % attempt
        self._tail = b',"l":%b}\n' % orjson.dumps(layers)

    def token(self, position: int, literal: bytes, faults: EventFaults | None) -> None:
        """Write a token; ``literal`` is its text as JSON."""
        line = b'%b%d,"x":%b%b' % (self._head, position, literal, self._tail)
        if faults is None or self._chance.random() >= faults.share:
            self._write(line)
        else:
            self._write_spoilt(line, position, literal, faults.kind)

    def finished(self, position: int, reason: str) -> None:
        """Write the end of the whole answer."""
        event = {"a": self._attempt, "p": position, "end": reason}
        self._write(orjson.dumps(event) + b"\n")

    def failed(self, error: str, engine: str | None) -> None:
        """Write that the attempt ends here."""
        event: dict[str, object] = {"a": self._attempt, "error": error}
        if engine is not None:
            event["engine"] = engine
        self._write(orjson.dumps(event) + b"\n")

    def mute(self, muted: bool) -> None:
        """Hold events back, or let go of those held: a network delivers late."""
        self.muted = muted
        while self._held and not self.muted:
            self._write(self._held.popleft())

    def _check_reader(self) -> None:
        """Give a client up that doesn't read what it asked for."""
        if self.transport.get_write_buffer_size() > MOST_UNREAD_BYTES:
            self.transport.abort()

    def _write(self, line: bytes) -> None:
        if self.muted:
            self._held.append(line)
            return
        transport = self.transport
        if transport.is_closing():
            return
        transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _write_spoilt(
        self, line: bytes, position: int, literal: bytes, kind: EventFault
    ) -> None:
        match kind:
            case EventFault.DUPLICATE:
                self._write(line + line)
            case EventFault.LATE:
                late = b'%b0,"x":%b%b' % (self._head, LATE_TEXT, self._tail)
                self._write(line + late)
            case EventFault.GARBLED:
                self._write(line[: len(line) // 2] + b"\n")
            case EventFault.COVERAGE_GAP:
                first, last = self._layers[-1]
                short = orjson.dumps([*self._layers[:-1], (first, last - 1)])
                event = b'%b%d,"x":%b,"l":%b}\n'
                self._write(event % (self._head, position, literal, short))
            case EventFault.SKIPPED:
                return
            case EventFault.OLD_ATTEMPT:
                old = b'{"a":%d,"p":%d,"x":%b%b'
                previous = self._attempt - 1
                event = old % (previous, position, LATE_TEXT, self._tail)
                self._write(event + line)
