"""Publishes configuration records by compare-and-set on offsets."""

import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import orjson
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    AppendUnknownError,
    InputFaultError,
    PlatformUnavailableError,
    PublishConflictError,
)
from celeryfork_base.identity import make_uuid7
from celeryfork_platform.log import LogClient
from celeryfork_platform.model import LogRecord, LogSlice

from celeryfork_config.entries import (
    LARGEST_ENTRY_BYTES,
    STREAM,
    Record,
    check_record_name,
    encode_entry,
)
from celeryfork_config.fold import Change, Fold
from celeryfork_config.history import (
    HistoryItem,
    PublishedRecord,
    WaitResult,
    history_item,
)
from celeryfork_config.payloads import Payload
from celeryfork_config.records import validate_record

NEW_RECORD = -1
NOTHING_IN_FORCE = -1
DEFAULT_TIMEOUT_S = 15.0
LONGEST_CATCH_UP_S = 120.0
READ_LIMIT = 1000
_SHORTEST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 1.0


class Publisher:
    """Publishes, retracts and shows records; for one thread."""

    def __init__(self, log: LogClient, clock: Clock, timeout_s: float) -> None:
        self._log = log
        self._clock = clock
        self._timeout_s = timeout_s
        self._fold = Fold(Counters(), _leave_unread)
        self._random = random.Random()

    def publish(
        self,
        name: str,
        schema: int,
        payload: Mapping[str, Any],
        based_on: int | None = None,
    ) -> int:
        """Publish one record and return its offset once it is accepted.

        Parameters
        ----------
        based_on
            Offset of the record that this one replaces. ``NEW_RECORD``: there must be
            none. None: whatever is in force at the time of the call.

        Raises
        ------
        ExceptionGroup
            One ``InputFaultError`` for each fault of the record.
        PublishConflictError
            Another record was accepted first.
        PlatformUnavailableError
            The record is not in the log.
        AppendUnknownError
            The record may be in the log, or turn up later; or it is there, and the
            log can't be read to see whether it was accepted.
        """
        validate_record(name, schema, payload)
        return self._publish(name, schema, dict(payload), based_on)

    def retract(self, name: str, schema: int | None = None) -> tuple[int, ...]:
        """Retract a record and return the offsets of the retractions.

        Parameters
        ----------
        schema
            The schema version to retract; None retracts all of them.

        Raises
        ------
        InputFaultError
            Nothing is published under that name.
        PublishConflictError, PlatformUnavailableError, AppendUnknownError
            As for ``publish``.
        """
        check_record_name(name)
        self._catch_up()
        live = self._fold.live(name)
        schemas = [s for s in live if schema is None or s == schema]
        if not schemas:
            raise InputFaultError(
                "$.name", f"{name!r} is not published.", "look at `config show`"
            )
        return tuple(
            self._publish(name, version, None, live[version].offset)
            for version in schemas
        )

    def show(self, name: str) -> tuple[PublishedRecord, ...]:
        """Return the live records of a name, the newest schema version first."""
        check_record_name(name)
        self._catch_up()
        return tuple(
            PublishedRecord(
                name,
                schema,
                kept.offset,
                kept.original_ms,
                orjson.loads(kept.data)["payload"],
            )
            for schema, kept in self._fold.live(name).items()
        )

    def history(self, name: str) -> tuple[HistoryItem, ...]:
        """Return what the log still has about a name, oldest first."""
        check_record_name(name)
        self._fold = Fold(Counters(), _leave_unread)
        entries, changes = self._catch_up()
        accepted = {change.offset for change in changes}
        items = [history_item(entry, name, accepted) for entry in entries]
        return tuple(item for item in items if item is not None)

    def wait(
        self,
        offset: int,
        offsets_by_instance: Callable[[], Mapping[str, int]],
        timeout_s: float,
    ) -> WaitResult:
        """Wait until every instance has applied ``offset``, or the time is over.

        Parameters
        ----------
        offsets_by_instance
            Returns the offset that each instance has applied.
        timeout_s
            How long to wait at most, in seconds.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        while True:
            offsets = offsets_by_instance()
            behind = {name: at for name, at in offsets.items() if at < offset}
            if (offsets and not behind) or self._clock.monotonic() >= deadline_s:
                reached = tuple(sorted(offsets.keys() - behind.keys()))
                return WaitResult(offset, reached, behind)
            time.sleep(_SHORTEST_PAUSE_S)

    def _publish(
        self,
        name: str,
        schema: int,
        payload: Mapping[str, Any] | None,
        based_on: int | None,
    ) -> int:
        self._catch_up()
        deadline_s = self._deadline_s()
        live = self._fold.live(name).get(schema)
        in_force = live.offset if live is not None else None
        if based_on is None:
            based_on = in_force
        elif based_on == NEW_RECORD:
            based_on = None
        if based_on != in_force:
            raise self._conflict(name, schema, based_on)
        record = Record(name, schema, based_on, payload)
        offset = self._append(record, deadline_s)
        if not self._was_accepted(offset):
            raise self._conflict(name, schema, based_on)
        return offset

    def _append(self, record: Record, deadline_s: float) -> int:
        data = encode_entry(record)
        if len(data.encode()) > LARGEST_ENTRY_BYTES:
            raise InputFaultError(
                "$",
                "The record is too large.",
                f"keep it under {LARGEST_ENTRY_BYTES} bytes",
            )
        nonce = str(make_uuid7(self._clock.wall_ms()))
        pause_s = _SHORTEST_PAUSE_S
        while True:
            try:
                # The other half of the time is for finding it, if the answer is lost.
                timeout_s = self._left_s(deadline_s) / 2
                return self._log.append(STREAM, data, nonce, timeout_s)
            except AppendUnknownError as error:
                return self._find(nonce, deadline_s, error)
            except PlatformUnavailableError:
                if self._left_s(deadline_s) <= pause_s:
                    raise
            # Certainly not appended, so the same record may be sent again.
            time.sleep(self._random.uniform(pause_s / 2, pause_s))
            pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)

    def _find(self, nonce: str, deadline_s: float, unknown: AppendUnknownError) -> int:
        """Look for an append whose answer was lost; it may turn up late."""
        start = self._fold.next_offset
        while self._left_s(deadline_s) > 0:
            try:
                part = self._log.read(
                    STREAM,
                    start,
                    READ_LIMIT,
                    _LONGEST_PAUSE_S,
                    self._left_s(deadline_s),
                )
            except PlatformUnavailableError:
                time.sleep(_SHORTEST_PAUSE_S)
                continue
            for entry in part.records:
                if entry.nonce == nonce:
                    return entry.offset
                start = entry.offset + 1
        raise AppendUnknownError(
            "The record is not in the log so far, and may still turn up.",
            "look at `config history` before you publish it again",
        ) from unknown

    def _was_accepted(self, offset: int) -> bool:
        deadline_s = self._deadline_s()
        changes = self._read_back(offset)
        while self._fold.next_offset <= offset:
            if self._left_s(deadline_s) <= 0:
                raise _unread(offset)
            time.sleep(_SHORTEST_PAUSE_S)
            changes += self._read_back(offset)
        return any(change.offset == offset for change in changes)

    def _read_back(self, offset: int) -> list[Change]:
        try:
            return self._catch_up()[1]
        except PlatformUnavailableError as error:
            raise _unread(offset) from error

    def _conflict(
        self, name: str, schema: int, based_on: int | None
    ) -> PublishConflictError:
        live = self._fold.live(name).get(schema)
        winner = live.offset if live is not None else NOTHING_IN_FORCE
        held = f"offset {winner} is in force" if live else "nothing is in force"
        return PublishConflictError(
            f"{name} was not accepted: it is based on {based_on}, but {held}.",
            "look at what is in force, and publish again based on that",
            winner,
        )

    def _catch_up(self) -> tuple[list[LogRecord], list[Change]]:
        """Read to the log's end; return the entries read and the records accepted.

        The timeout holds for each slice: a log of a day takes longer to read.
        """
        entries: list[LogRecord] = []
        changes: list[Change] = []
        longest_s = self._clock.monotonic() + LONGEST_CATCH_UP_S
        while True:
            part = self._read(
                self._fold.next_offset, min(longest_s, self._deadline_s())
            )
            entries += part.records
            changes += self._fold.apply_slice(part)
            if self._fold.next_offset >= part.next_offset:
                return entries, changes + self._fold.settle()

    def _read(self, from_offset: int, deadline_s: float) -> LogSlice:
        while True:
            left_s = self._left_s(deadline_s)
            if left_s <= 0:
                raise PlatformUnavailableError(
                    "The log's end was not reached in time.", "try again"
                )
            try:
                return self._log.read(STREAM, from_offset, READ_LIMIT, 0.0, left_s)
            except PlatformUnavailableError:
                if self._left_s(deadline_s) <= _SHORTEST_PAUSE_S:
                    raise
            time.sleep(_SHORTEST_PAUSE_S)

    def _deadline_s(self) -> float:
        return self._clock.monotonic() + self._timeout_s

    def _left_s(self, deadline_s: float) -> float:
        return deadline_s - self._clock.monotonic()


def _unread(offset: int) -> AppendUnknownError:
    return AppendUnknownError(
        f"The record stands in the log at offset {offset}, but can't be read back to "
        "see whether it was accepted.",
        "look at `config history` once the log is back",
    )


def _leave_unread(name: str, schema: int, payload: Mapping[str, Any]) -> Payload:
    """Read no payload: which records are accepted doesn't depend on it."""
    raise InputFaultError("$", "It was left unread.", "look at the payload itself")


def make_publisher(
    log: LogClient, clock: Clock, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Publisher:
    """Return a publisher.

    Parameters
    ----------
    timeout_s
        How long each read of the log, and then the append with the search for it, may
        take, in seconds.
    """
    return Publisher(log, clock, timeout_s)
