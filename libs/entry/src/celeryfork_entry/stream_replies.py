"""Replies to streams: their events on the way from a target to the caller."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Collection

from attrs import define, field

from celeryfork_entry.call import Call, CallContext
from celeryfork_entry.configuration import is_resumable
from celeryfork_entry.events import (
    MAX_EVENTS_PER_FEED,
    Event,
    EventSplitter,
    media_type,
)
from celeryfork_entry.stream_progress import StreamProgress
from celeryfork_entry.stream_waits import SILENCE_LIMIT_S
from celeryfork_entry.target_http import LostError, Reply

ERROR_BODY_TIMEOUT_S = SILENCE_LIMIT_S
"""Timeout in seconds for the body of an error reply if another target may be tried."""


@define(eq=False)
class EventRelay:
    """Forwards the events of one reply to the caller, each once and in order.

    Parameters
    ----------
    target_ids
        Targets that run the stream.
    """

    _context: CallContext
    _call: Call
    _reply: Reply
    _progress: StreamProgress
    _target_ids: Collection[str]
    _continued: bool = field(init=False)
    _splitter: EventSplitter = field(factory=EventSplitter)

    def __attrs_post_init__(self) -> None:
        """Check that the reply can be forwarded, and can follow those before it.

        Raises
        ------
        LostError
            It is encoded, or of another media type.
        """
        if self._reply.header(b"content-encoding") is not None:
            raise LostError("the reply has a Content-Encoding that was not requested")
        progress = self._progress
        self._continued = progress.started
        content_type = media_type(self._reply.header(b"content-type"))
        if self._continued and content_type != progress.content_type:
            raise LostError(f"the reply that continues a stream is {content_type!r}")
        progress.content_type = content_type

    async def forward(self, data: bytes, on_events: Callable[[], None]) -> None:
        """Forward the events that ``data`` completes.

        Parameters
        ----------
        on_events
            Called before events that are progress. Comments and events that the caller
            has are none.

        Raises
        ------
        LostError
            An event doesn't follow those that the caller has.
        ValueError
            An event is too long.
        """
        async for events in _batches(self._splitter, data):
            # Events before a wrong one are forwarded, as the next run goes on after the
            # last event that the caller has.
            following, fault = self._progress.next_events(
                events, continued=self._continued
            )
            if any(event.has_content for event in following):
                on_events()
            await self._forward(following)
            if fault is not None:
                raise LostError(fault)

    async def _forward(self, events: list[Event]) -> None:
        if not events:
            return
        call, progress = self._call, self._progress
        progress.record_forwarded(time.monotonic(), events)
        call.failures = 0
        data = b"".join(event.data for event in events)
        if progress.started:
            await call.connection.send_chunk(data)
            return
        self._context.log_event(call, "first_event", sends=call.sends)
        self._context.table.accepted(self._target_ids)
        self._context.histograms.record(
            "streams.first_event", time.monotonic() - call.request.arrived_s
        )
        await self._begin(data)

    async def _begin(self, data: bytes) -> None:
        self._progress.started = True
        headers = self._context.dialect.reply_headers(self._reply.headers)
        await self._call.connection.begin_stream(self._reply.status, headers, data)

    def require_complete(self) -> None:
        """Raise an error unless the reply may end after the events so far.

        Raises
        ------
        LostError
        """
        if self._splitter.incomplete:
            raise LostError("the stream ended within an event")
        if not self._progress.started and self._progress.last_event is None:
            raise LostError("the stream ended before its first event")

    async def end(self) -> None:
        """Tell the caller that the answer is complete."""
        if not self._progress.started:
            # The caller had all events before it resumed the stream.
            await self._begin(b"")
        self._progress.complete = True
        await self._call.connection.end_stream()


async def _batches(splitter: EventSplitter, data: bytes) -> AsyncIterator[list[Event]]:
    """Yield the events that ``data`` completes, and let other tasks run in between."""
    while events := splitter.feed(data):
        yield events
        if len(events) < MAX_EVENTS_PER_FEED:
            return
        data = b""
        await asyncio.sleep(0)


async def read_error_body(call: Call, reply: Reply, max_bytes: int) -> bytes:
    """Return the body of a reply that is no stream.

    Raises
    ------
    LostError
        It is truncated, malformed or too long.
    TimeoutError
        It took too long.
    """
    wait_s = call.left_s
    if is_resumable(call.route.kind):
        wait_s = min(wait_s, ERROR_BODY_TIMEOUT_S)
    async with asyncio.timeout(wait_s):
        return await reply.read_all(max_bytes)
