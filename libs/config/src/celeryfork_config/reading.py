"""Reads the entries of the configuration stream; none of them makes it fail."""

from collections import deque
from typing import Any

import orjson
from celeryfork_base.counters import Counters
from celeryfork_base.errors import InputFaultError
from celeryfork_platform.model import LogRecord

from celeryfork_config.entries import Carry, Record, parse_entry
from celeryfork_config.kept import KeptRecord
from celeryfork_config.payloads import Payload
from celeryfork_config.records import PayloadReader

MOST_FAULTS_SHOWN = 20


class EntryReader:
    """Turns entries into kept records, and remembers what was skipped.

    Parameters
    ----------
    read_payload
        Reads a payload, and raises for one that this version can't read.
    """

    def __init__(self, counters: Counters, read_payload: PayloadReader) -> None:
        self._counters = counters
        self._read_payload = read_payload
        self._skipped: deque[dict[str, Any]] = deque(maxlen=MOST_FAULTS_SHOWN)

    @property
    def skipped(self) -> list[dict[str, Any]]:
        """The last entries that were skipped, for the dump."""
        return list(self._skipped)

    def parse(self, entry: LogRecord) -> Record | Carry | None:
        """Return what an entry holds, None if it is malformed."""
        try:
            parsed = parse_entry(entry.data)
            # A peer gives a record as a carry at the record's own offset.
            if isinstance(parsed, Carry) and parsed.as_of > entry.offset + 1:
                raise InputFaultError(
                    "$.carry.as_of",
                    "It is in the future.",
                    "leave carries to instances",
                )
        except InputFaultError as error:
            self.skip("malformed", entry.offset, str(error))
            return None
        return parsed

    def skip(self, kind: str, offset: int, reason: str) -> None:
        """Count and remember an entry that has no effect."""
        self._counters.add(f"config.fold.{kind}")
        self._skipped.append({"offset": offset, "kind": kind, "reason": reason})

    def keep_record(
        self, entry: LogRecord, record: Record, born_offset: int
    ) -> KeptRecord:
        """Return a record as the fold keeps it."""
        return self._keep(entry, record, entry.offset, entry.appended_ms, born_offset)

    def keep_carry(self, entry: LogRecord, carry: Carry) -> KeptRecord:
        """Return a carried record as the fold keeps it."""
        kept = self._keep(
            entry,
            carry.record,
            carry.original_offset,
            carry.original_ms,
            carry.born_offset,
        )
        # What a late carry tells is as old as its carrier's knowledge.
        kept.seen_ms = min(carry.made_ms, entry.appended_ms)
        return kept

    def _keep(
        self,
        entry: LogRecord,
        record: Record,
        offset: int,
        original_ms: int,
        born_offset: int,
    ) -> KeptRecord:
        value, fault = self._read(record)
        return KeptRecord(
            key=record.key,
            offset=offset,
            original_ms=original_ms,
            born_offset=born_offset,
            # orjson's result keeps the room of its buffer; a copy doesn't.
            data=bytes(memoryview(orjson.dumps(record.to_json()))),
            retracted=record.payload is None,
            value=value,
            fault=fault,
            seen_offset=entry.offset,
            seen_ms=entry.appended_ms,
        )

    def _read(self, record: Record) -> tuple[Payload | None, str | None]:
        if record.payload is None:
            return None, None
        try:
            value = self._read_payload(record.name, record.schema, record.payload)
        except ExceptionGroup as group:
            return None, "; ".join(str(error) for error in group.exceptions)
        except Exception as error:
            # Whatever a payload does to its reader, the stream must go on.
            return None, str(error) or repr(error)
        return value, None
