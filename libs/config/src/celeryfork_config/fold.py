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

from collections.abc import Iterator, Sequence

from attrs import frozen
from celeryfork_base.counters import Counters
from celeryfork_platform.model import LogRecord, LogSlice

from celeryfork_config.entries import (
    Carry,
    Record,
    RecordKey,
    encode_entry,
)
from celeryfork_config.in_force import Configuration
from celeryfork_config.kept import (
    EvidenceQueue,
    KeptIndex,
    KeptRecord,
    KeyState,
    PendingRecord,
)
from celeryfork_config.name_table import NameTable
from celeryfork_config.reading import MOST_FAULTS_SHOWN, EntryReader
from celeryfork_config.records import PayloadReader, validate_record


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
        Reads a payload, and raises for one that this version can't read.
    """

    def __init__(
        self, counters: Counters, read_payload: PayloadReader = validate_record
    ) -> None:
        self._counters = counters
        self._reader = EntryReader(counters, read_payload)
        self._states_by_key: dict[RecordKey, KeyState] = {}
        self._names = NameTable(self._states_by_key)
        self._index = KeptIndex()
        self._evidence = EvidenceQueue()
        self._states_with_fallback: dict[RecordKey, KeyState] = {}
        self._retracted_by_key: dict[RecordKey, KeptRecord] = {}
        self._oldest_as_of = 0
        self.next_offset = 0
        self.settled = True
        # The log's clock at the newest entry that was applied.
        self.newest_ms = 0

    @property
    def configuration(self) -> Configuration:
        """What is in force now, as an immutable snapshot."""
        return self._names.configuration(self.next_offset - 1)

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

    def merge_peer_entries(self, entries: Sequence[LogRecord]) -> list[Change]:
        """Take over all that a peer has from ``next_offset`` on, in order.

        They are what is left of the stream when every record that was replaced is
        left out, so their ``based_on`` can't be checked again; the peer has done it.
        Only for a fold that is settled.
        """
        found: list[tuple[LogRecord, Carry]] = []
        for entry in entries:
            parsed = self._reader.parse(entry)
            if entry.offset < self.next_offset or not isinstance(parsed, Carry):
                self._counters.add("config.fold.peer_entries_skipped")
                continue
            found.append((entry, parsed))
        # A superseded record can only be placed once the one after it is known.
        found.sort(key=lambda pair: pair[1].superseded)
        changes = [c for entry, carry in found for c in self._adopt(entry, carry)]
        for entry, _ in found:
            self.next_offset = max(self.next_offset, entry.offset + 1)
            self.newest_ms = max(self.newest_ms, entry.appended_ms)
        # What the peer saw and left out can't be seen here any more.
        self._oldest_as_of = max(self._oldest_as_of, self.next_offset)
        return changes

    def entries_after(self, offset: int) -> tuple[LogRecord, ...]:
        """Return what the state consists of and the log held last after ``offset``.

        Each is given as a carry at the log's offset, so that a peer learns the
        original's offset, and how old the log's evidence of the key is. Keys that this
        fold isn't certain of are left out.
        """
        return tuple(
            self._entry_of(kept)
            for kept in self._index.after(offset)
            if self._states_by_key[kept.key].certain
        )

    def due_before(self, evidence_ms: int) -> Iterator[tuple[KeptRecord, int]]:
        """Yield what the log lacks evidence of since a time, and since when.

        Keys that this fold isn't certain of are left out: whoever carries them could
        bring a retracted record back.
        """
        for state in self._evidence.before(evidence_ms):
            if state.certain and state.head is not None:
                yield state.head, state.evidence_ms
        for state in self._states_with_fallback.values():
            fallback = state.fallback
            if fallback is None or not state.certain:
                continue
            if fallback.seen_ms < evidence_ms:
                yield fallback, fallback.seen_ms

    def newest_dropped_ms(self, first_offset: int) -> int | None:
        """Return when the log last held the newest record that it holds no more."""
        dropped = [
            kept.seen_ms
            for kept in self._index.before(first_offset)
            if self._states_by_key[kept.key].certain
        ]
        return max(dropped, default=None)

    def forget_retracted(self, before_ms: int) -> None:
        """Drop the records that were retracted before ``before_ms``.

        Carries made by an instance that hadn't seen the retraction are refused from
        now on.
        """
        for key, head in list(self._retracted_by_key.items()):
            if head.original_ms >= before_ms:
                continue
            self._oldest_as_of = max(self._oldest_as_of, head.offset + 1)
            self._index.remove(head)
            self._evidence.remove(self._states_by_key.pop(key))
            del self._retracted_by_key[key]
            self._names.forget(key)

    def live(self, name: str) -> dict[int, KeptRecord]:
        """Return the last accepted records of a name, unless retracted, by schema."""
        return {
            state.key[1]: state.live
            for state in self._names.states(name)
            if state.live is not None
        }

    def dump(self) -> dict[str, object]:
        """Return what the state dump shows of the fold."""
        states = self._states_by_key.values()
        heads = [state.head for state in states if state.head is not None]
        return {
            "next_offset": self.next_offset,
            "settled": self.settled,
            "records": len(heads),
            "retracted": sum(head.retracted for head in heads),
            "in_force": len(self._names),
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
            "skipped": self._reader.skipped,
        }

    def _apply(self, entry: LogRecord) -> list[Change]:
        if entry.offset < self.next_offset:
            self._counters.add("config.fold.repeated")
            return []
        self.note_first_offset(entry.offset)
        self.next_offset = entry.offset + 1
        self.newest_ms = max(self.newest_ms, entry.appended_ms)
        match self._reader.parse(entry):
            case Record() as record:
                return self._apply_record(entry, record)
            case Carry() as carry:
                return self._apply_carry(entry, carry)
        return []

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
            self._reader.skip(
                "refused",
                entry.offset,
                f"{state.label} is based on {record.based_on}, in force was {wanted}",
            )
            return []
        state.certain = True
        if state.head is None:
            self._evidence.note(state, entry.appended_ms)
        self._counters.add("config.fold.accepted")
        born_offset = live.born_offset if live is not None else entry.offset
        kept = self._reader.keep_record(entry, record, born_offset)
        return [self._set_head(state, kept)]

    def _apply_carry(self, entry: LogRecord, carry: Carry) -> list[Change]:
        if carry.as_of < self._oldest_as_of:
            # Its carrier may have missed a record that this reader can't see either.
            self._counters.add("config.fold.carries_too_old")
            return []
        self._counters.add("config.fold.carries")
        changes = self._adopt(entry, carry)
        if carry.superseded:
            return changes
        state = self._states_by_key[carry.record.key]
        pending = state.take_pending()
        if pending:
            self._find_fallback(state, carry, pending)
        later = [p for p in pending if p.entry.offset >= carry.as_of]
        return changes + self._judge_pending(state, later)

    def _find_fallback(
        self, state: KeyState, carry: Carry, pending: list[PendingRecord]
    ) -> None:
        """Look for a readable record among those that the carried one goes back to.

        A record was accepted only if the one that it is based on had been.
        """
        pending_by_offset = {p.entry.offset: p for p in pending}
        based_on = carry.record.based_on
        while based_on is not None and based_on in pending_by_offset:
            found = pending_by_offset.pop(based_on)
            kept = self._reader.keep_record(
                found.entry, found.record, carry.born_offset
            )
            if kept.value is not None:
                self._adopt_fallback(state, kept)
                return
            based_on = found.record.based_on

    def _judge_pending(
        self, state: KeyState, pending: list[PendingRecord]
    ) -> list[Change]:
        return [
            change for p in pending for change in self._judge(state, p.entry, p.record)
        ]

    def _adopt(self, entry: LogRecord, carry: Carry) -> list[Change]:
        """Take over what an instance had accepted; the highest offset wins."""
        key = carry.record.key
        state = self._states_by_key.get(key)
        if state is None:
            state = KeyState(key, certain=self.settled)
            self._states_by_key[key] = state
        kept = self._reader.keep_carry(entry, carry)
        if carry.superseded:
            self._adopt_fallback(state, kept)
            return []
        state.certain = True
        self._evidence.note(state, kept.seen_ms)
        head = state.head
        if head is not None and head.offset > kept.offset:
            self._counters.add("config.fold.carries_outdated")
            return []
        if head is not None and head.offset == kept.offset:
            self._index.move(head, kept.seen_offset, kept.seen_ms)
            return []
        self._counters.add("config.fold.adopted")
        return [self._set_head(state, kept)]

    def _adopt_fallback(self, state: KeyState, kept: KeptRecord) -> None:
        known = state.fallback
        if known is not None and known.offset == kept.offset:
            self._index.move(known, kept.seen_offset, kept.seen_ms)
            return
        if not state.accepts_fallback(kept):
            return
        if known is not None:
            self._index.remove(known)
        kept.superseded = True
        state.fallback = kept
        self._states_with_fallback[state.key] = state
        self._index.add(kept)
        self._names.update(state.key[0])

    def _set_head(self, state: KeyState, kept: KeptRecord) -> Change:
        name, schema = state.key
        self._states_by_key[state.key] = state
        self._names.add(state.key)
        for dropped in state.replace_head(kept):
            self._index.remove(dropped)
        self._index.add(kept)
        if kept.retracted:
            self._retracted_by_key[state.key] = kept
        else:
            self._retracted_by_key.pop(state.key, None)
        if state.fallback is not None:
            self._states_with_fallback[state.key] = state
        else:
            self._states_with_fallback.pop(state.key, None)
        if kept.fault is not None:
            self._counters.add("config.fold.unreadable")
        self._names.update(name)
        return Change(name, schema, kept.offset, kept.retracted)

    def _entry_of(self, kept: KeptRecord) -> LogRecord:
        state = self._states_by_key[kept.key]
        evidence_ms = kept.seen_ms if kept.superseded else state.evidence_ms
        carry = kept.to_carry(as_of=kept.seen_offset + 1, made_ms=evidence_ms)
        return LogRecord(kept.seen_offset, kept.seen_ms, "", encode_entry(carry))
