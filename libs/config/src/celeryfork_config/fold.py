"""Folds the configuration stream into what is in force.

The log's order decides, and acceptance looks only at the envelope: a record is
accepted if ``based_on`` is the offset of the live record with its name and schema
version, or null where there is none (never published, or retracted). Payloads play
no part in it, so instances of different versions accept the same records.

The log forgets, so accepted records are carried: appended again with the offset of
the original. A reader whose first offset comes after some originals can't judge a
record of a key until it has evidence of the key's state: a carry, which says what
was in force as of some offset. Until then it holds the key's records back. At the
log's end every live record has had its carry within the log's retention, so a key
without evidence had no live record: ``settle`` judges what was held back.
docs/notes/configuration.md has the reasoning and the limits.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any

import orjson
from attrs import frozen
from celeryfork_base.counters import Counters
from celeryfork_base.errors import InputFaultError
from celeryfork_platform.model import LogRecord, LogSlice

from celeryfork_config.entries import (
    Carry,
    Record,
    RecordKey,
    encode_entry,
    parse_entry,
)
from celeryfork_config.in_force import Configuration, ForceTable
from celeryfork_config.kept import KeptIndex, KeptRecord, KeyState, PendingRecord
from celeryfork_config.records import Payload, PayloadReader, validate_record

MOST_FAULTS_SHOWN = 20


@frozen
class Change:
    """A record that was accepted.

    Parameters
    ----------
    offset
        Where the record itself stands in the log, not a carry of it.
    """

    name: str
    schema: int
    offset: int
    retracted: bool


class Fold:
    """The state of the configuration stream up to an offset; for one thread.

    Parameters
    ----------
    read_payload
        Reads a payload, and raises ``ExceptionGroup`` or ``InputFaultError`` for one
        that this version can't read.
    """

    def __init__(
        self, counters: Counters, read_payload: PayloadReader = validate_record
    ) -> None:
        self._counters = counters
        self._read_payload = read_payload
        self._states_by_key: dict[RecordKey, KeyState] = {}
        self._schemas_by_name: dict[str, tuple[int, ...]] = {}
        self._in_force_by_name: dict[str, KeptRecord] = {}
        self._table = ForceTable()
        self._index = KeptIndex()
        self._faults: deque[dict[str, Any]] = deque(maxlen=MOST_FAULTS_SHOWN)
        self._snapshot = Configuration()
        self._oldest_as_of = 0
        self.next_offset = 0
        self.settled = True

    @property
    def configuration(self) -> Configuration:
        """What is in force now, as an immutable snapshot."""
        if self._snapshot.offset != self.next_offset - 1:
            self._snapshot = self._table.snapshot(self.next_offset - 1)
        return self._snapshot

    def apply_slice(self, part: LogSlice) -> list[Change]:
        """Apply a slice that was read from ``next_offset`` on."""
        self.note_first_offset(part.first_offset)
        return [change for entry in part.records for change in self._apply(entry)]

    def note_first_offset(self, first_offset: int) -> None:
        """Take note that the log keeps nothing before ``first_offset``."""
        if first_offset <= self.next_offset:
            return
        self._counters.add("config.fold.gaps")
        self.next_offset = first_offset
        self._oldest_as_of = max(self._oldest_as_of, first_offset)
        self.settled = False
        for state in self._states_by_key.values():
            state.certain = False

    def apply(self, entry: LogRecord) -> Change | None:
        """Apply the log's next record; whatever it holds, this never raises.

        A record that was applied before is skipped.
        """
        changes = self._apply(entry)
        return changes[-1] if changes else None

    def settle(self) -> list[Change]:
        """Judge what was held back, once the log's end has been reached."""
        if self.settled:
            return []
        self.settled = True
        changes: list[Change] = []
        for key, state in list(self._states_by_key.items()):
            if state.certain:
                continue
            if state.head is None:
                state.certain = True
            changes += self._judge_pending(state, state.take_pending())
            if state.is_empty:
                del self._states_by_key[key]
        return changes

    def merge_peer_entries(self, entries: tuple[LogRecord, ...]) -> list[Change]:
        """Take over all that a peer has from ``next_offset`` on, in order.

        They are what is left of the stream when every record that was replaced is
        left out, so their ``based_on`` can't be checked again; the peer has done it.
        Only for a fold that is settled.
        """
        changes: list[Change] = []
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            match self._parse(entry):
                case Record() as record:
                    kept = self._keep(entry, record, entry.offset, entry.appended_ms)
                    changes += self._adopt(record, kept, superseded=False)
                case Carry() as carry:
                    kept = self._keep_carry(entry, carry)
                    changes += self._adopt(carry.record, kept, carry.superseded)
            self.next_offset = entry.offset + 1
        # What the peer saw and left out can't be seen here any more.
        self._oldest_as_of = max(self._oldest_as_of, self.next_offset)
        return changes

    def entries_after(self, offset: int) -> tuple[LogRecord, ...]:
        """Return the entries after ``offset`` that the state consists of, in order."""
        return tuple(_entry_of(kept) for kept in self._index.after(offset))

    def kept_before(self, seen_ms: int) -> Iterator[KeptRecord]:
        """Yield what the log last held before ``seen_ms``, its oldest first.

        Keys that this fold isn't certain of are left out: whoever carries them could
        bring a retracted record back.
        """
        for kept in self._index.seen_before(seen_ms):
            if self._states_by_key[kept.key].certain:
                yield kept

    def forget_retracted(self, before_ms: int) -> None:
        """Drop the records that were retracted before ``before_ms``.

        Carries made by an instance that hadn't seen the retraction are refused from
        now on.
        """
        for key, state in list(self._states_by_key.items()):
            head = state.head
            if head is None or not head.retracted or head.original_ms >= before_ms:
                continue
            self._oldest_as_of = max(self._oldest_as_of, head.offset + 1)
            self._index.remove(head)
            del self._states_by_key[key]

    def live(self, name: str) -> dict[int, KeptRecord]:
        """Return the last accepted records of a name, unless retracted, by schema."""
        found = {
            schema: self._states_by_key[name, schema].live
            for schema in self._schemas_by_name.get(name, ())
            if (name, schema) in self._states_by_key
        }
        return {schema: kept for schema, kept in found.items() if kept is not None}

    def dump(self) -> dict[str, object]:
        """Return what the state dump shows of the fold."""
        states = self._states_by_key.values()
        heads = [state.head for state in states if state.head is not None]
        return {
            "next_offset": self.next_offset,
            "settled": self.settled,
            "records": len(heads),
            "retracted": sum(head.retracted for head in heads),
            "in_force": len(self._in_force_by_name),
            "held_back": sum(len(state.pending) for state in states),
            "uncertain": [s.label for s in states if not s.certain][:MOST_FAULTS_SHOWN],
            "unreadable": [
                {
                    "record": f"{h.key[0]}#{h.key[1]}",
                    "offset": h.offset,
                    "fault": h.fault,
                }
                for h in heads
                if h.fault is not None
            ][:MOST_FAULTS_SHOWN],
            "skipped": list(self._faults),
        }

    def _apply(self, entry: LogRecord) -> list[Change]:
        if entry.offset < self.next_offset:
            self._counters.add("config.fold.repeated")
            return []
        self.note_first_offset(entry.offset)
        self.next_offset = entry.offset + 1
        match self._parse(entry):
            case Record() as record:
                return self._apply_record(entry, record)
            case Carry() as carry:
                return self._apply_carry(entry, carry)
        return []

    def _parse(self, entry: LogRecord) -> Record | Carry | None:
        try:
            parsed = parse_entry(entry.data)
            if isinstance(parsed, Carry) and parsed.as_of > entry.offset:
                raise InputFaultError(
                    "$.carry.as_of",
                    "It is in the future.",
                    "leave carries to instances",
                )
        except InputFaultError as error:
            self._skip("malformed", entry.offset, str(error))
            return None
        return parsed

    def _apply_record(self, entry: LogRecord, record: Record) -> list[Change]:
        state = self._states_by_key.get(record.key)
        if state is None:
            state = KeyState(record.key, certain=self.settled)
        if not state.certain and not self.settled:
            self._states_by_key[record.key] = state
            state.pending.append(PendingRecord(entry, record))
            return []
        return self._judge(state, entry, record)

    def _judge(self, state: KeyState, entry: LogRecord, record: Record) -> list[Change]:
        live = state.live
        wanted = live.offset if live is not None else None
        fits = record.based_on == wanted
        if not fits and not (record.based_on is None and not state.certain):
            self._skip(
                "refused",
                entry.offset,
                f"{state.label} is based on {record.based_on}, in force was {wanted}",
            )
            return []
        state.certain = True
        kept = self._keep(entry, record, entry.offset, entry.appended_ms)
        self._counters.add("config.fold.accepted")
        return [self._set_head(state, kept)]

    def _apply_carry(self, entry: LogRecord, carry: Carry) -> list[Change]:
        if carry.as_of < self._oldest_as_of:
            # Its carrier may have missed a record that this reader can't see either.
            self._counters.add("config.fold.carries_too_old")
            return []
        self._counters.add("config.fold.carries")
        kept = self._keep_carry(entry, carry)
        changes = self._adopt(carry.record, kept, carry.superseded)
        if carry.superseded:
            return changes
        state = self._states_by_key[carry.record.key]
        pending = state.take_pending()
        later = [p for p in pending if p.entry.offset >= carry.as_of]
        return changes + self._judge_pending(state, later)

    def _judge_pending(
        self, state: KeyState, pending: list[PendingRecord]
    ) -> list[Change]:
        return [
            change for p in pending for change in self._judge(state, p.entry, p.record)
        ]

    def _adopt(
        self, record: Record, kept: KeptRecord, superseded: bool
    ) -> list[Change]:
        """Take over what an instance had accepted; the highest offset wins."""
        state = self._states_by_key.setdefault(
            record.key, KeyState(record.key, certain=self.settled)
        )
        if superseded:
            return self._adopt_fallback(state, kept)
        state.certain = True
        head = state.head
        if head is not None and head.offset > kept.offset:
            self._counters.add("config.fold.carries_outdated")
            return []
        if head is not None and head.offset == kept.offset:
            self._index.move(head, kept.seen_offset, kept.seen_ms)
            return []
        self._counters.add("config.fold.adopted")
        return [self._set_head(state, kept)]

    def _adopt_fallback(self, state: KeyState, kept: KeptRecord) -> list[Change]:
        head, known = state.head, state.fallback
        if known is not None and known.offset == kept.offset:
            self._index.move(known, kept.seen_offset, kept.seen_ms)
            return []
        wanted = head is None or (head.value is None and not head.retracted)
        newer = known is None or known.offset < kept.offset
        older_than_head = head is None or kept.offset < head.offset
        if kept.value is None or not (wanted and newer and older_than_head):
            return []
        if known is not None:
            self._index.remove(known)
        kept.superseded = True
        state.fallback = kept
        self._index.add(kept)
        self._update_in_force(state.key[0])
        return []

    def _set_head(self, state: KeyState, kept: KeptRecord) -> Change:
        name, schema = state.key
        self._states_by_key[state.key] = state
        if schema not in self._schemas_by_name.get(name, ()):
            schemas = (*self._schemas_by_name.get(name, ()), schema)
            self._schemas_by_name[name] = tuple(sorted(schemas, reverse=True))
        for dropped in state.replace_head(kept):
            self._index.remove(dropped)
        self._index.add(kept)
        if kept.fault is not None:
            self._counters.add("config.fold.unreadable")
        self._update_in_force(name)
        return Change(name, schema, kept.offset, kept.retracted)

    def _update_in_force(self, name: str) -> None:
        """Put the newest schema version that can be read in force."""
        old = self._in_force_by_name.get(name)
        new = self._newest_readable(name)
        if old is new:
            return
        self._table.replace(
            old.value if old is not None else None, new.value if new else None
        )
        if new is None:
            del self._in_force_by_name[name]
        else:
            self._in_force_by_name[name] = new

    def _newest_readable(self, name: str) -> KeptRecord | None:
        for schema in self._schemas_by_name.get(name, ()):
            state = self._states_by_key.get((name, schema))
            readable = state.readable if state is not None else None
            if readable is not None:
                return readable
        return None

    def _keep_carry(self, entry: LogRecord, carry: Carry) -> KeptRecord:
        return self._keep(entry, carry.record, carry.original_offset, carry.original_ms)

    def _keep(
        self, entry: LogRecord, record: Record, offset: int, original_ms: int
    ) -> KeptRecord:
        value, fault = self._read(record)
        return KeptRecord(
            key=record.key,
            offset=offset,
            original_ms=original_ms,
            data=orjson.dumps(record.to_json()),
            retracted=record.payload is None,
            value=value,
            fault=fault,
            seen_offset=entry.offset,
            seen_ms=entry.appended_ms,
        )

    def _read(self, record: Record) -> tuple[Payload | None, str | None]:
        if record.payload is None:
            return None, None
        payload: Mapping[str, Any] = record.payload
        try:
            return self._read_payload(record.name, record.schema, payload), None
        except ExceptionGroup as group:
            return None, "; ".join(str(error) for error in group.exceptions)
        except InputFaultError as error:
            return None, str(error)

    def _skip(self, kind: str, offset: int, reason: str) -> None:
        self._counters.add(f"config.fold.{kind}")
        self._faults.append({"offset": offset, "kind": kind, "reason": reason})


def _entry_of(kept: KeptRecord) -> LogRecord:
    """Return the entry as it stands in the log, or an equal carry of it."""
    data = kept.data.decode()
    if kept.seen_offset != kept.offset:
        data = encode_entry(kept.to_carry(as_of=kept.seen_offset))
    return LogRecord(kept.seen_offset, kept.seen_ms, "", data)
