"""What the fold keeps of each name and schema version, and in which order."""

from collections.abc import Iterator

import orjson
from attrs import define, field, frozen
from celeryfork_platform.model import LogRecord

from celeryfork_config.entries import Carry, Record, RecordKey
from celeryfork_config.records import Payload


@define(eq=False)
class KeptRecord:
    """An accepted record.

    Parameters
    ----------
    offset, original_ms
        Where and when the record itself was appended.
    born_offset
        Where the first record since the last retraction was accepted.
    data
        The record as JSON.
    value
        The payload as read by this version; None if retracted or not readable.
    fault
        Why the payload can't be read; None if it can.
    seen_offset, seen_ms
        Where and when the log last held it, as record or as carry.
    superseded
        A later record was accepted that this version can't read.
    """

    key: RecordKey
    offset: int
    original_ms: int
    born_offset: int
    data: bytes
    retracted: bool
    value: Payload | None
    fault: str | None
    seen_offset: int
    seen_ms: int
    superseded: bool = False

    def to_carry(self, as_of: int, made_ms: int) -> Carry:
        """Return a carry by an instance that has applied all before ``as_of``."""
        value = orjson.loads(self.data)
        record = Record(
            value["name"], value["schema"], value["based_on"], value["payload"]
        )
        return Carry(
            original_offset=self.offset,
            original_ms=self.original_ms,
            born_offset=self.born_offset,
            as_of=as_of,
            made_ms=made_ms,
            superseded=self.superseded,
            record=record,
        )


@frozen
class PendingRecord:
    """A record held back until its key's state is known."""

    entry: LogRecord
    record: Record


@define(eq=False)
class KeyState:
    """The state of one name and schema version.

    Parameters
    ----------
    certain
        Nothing of this key can have been missed.
    head
        The last accepted record, retracted or not.
    evidence_ms
        When the log last got what tells a new reader of this key's state: its first
        record, or a carry. Later records tell nothing without one.
    fallback
        The newest accepted record that can be read, where ``head`` can't.
    """

    key: RecordKey
    certain: bool
    evidence_ms: int = 0
    head: KeptRecord | None = None
    fallback: KeptRecord | None = None
    pending: list[PendingRecord] = field(factory=list)

    @property
    def live(self) -> KeptRecord | None:
        """The last accepted record, unless it was retracted."""
        if self.head is None or self.head.retracted:
            return None
        return self.head

    @property
    def readable(self) -> KeptRecord | None:
        """The newest live record that this version can read."""
        if self.head is not None and self.head.value is not None:
            return self.head
        return self.fallback

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever accepted here."""
        return self.head is None and self.fallback is None and not self.pending

    @property
    def label(self) -> str:
        """Name and schema version, for people."""
        return f"{self.key[0]}#{self.key[1]}"

    def accepts_fallback(self, kept: KeptRecord) -> bool:
        """Whether ``kept`` is the newest known record to fall back on."""
        if kept.value is None:
            return False
        if self.fallback is not None and self.fallback.offset >= kept.offset:
            return False
        return self.head is None or self._may_fall_back(kept)

    def take_pending(self) -> list[PendingRecord]:
        """Return what was held back, and hold it back no more."""
        taken, self.pending = self.pending, []
        return taken

    def replace_head(self, kept: KeptRecord) -> list[KeptRecord]:
        """Make ``kept`` the last accepted record; return what is kept no longer."""
        old, self.head = self.head, kept
        if old is not None and old.value is not None and self._may_fall_back(old):
            old.superseded = True
            self.fallback = old
            return []
        dropped = [old] if old is not None else []
        if self.fallback is not None and not self._may_fall_back(self.fallback):
            dropped.append(self.fallback)
            self.fallback = None
        return dropped

    def _may_fall_back(self, kept: KeptRecord) -> bool:
        """Whether ``kept`` came before a head that can't be read, unretracted since."""
        head = self.head
        if head is None or head.fault is None:
            return False
        return head.born_offset <= kept.offset < head.offset


class KeptIndex:
    """Kept records in the order in which the log last held them."""

    def __init__(self) -> None:
        self._by_seen_offset: dict[int, KeptRecord] = {}
        self._last_offset = -1
        self._sorted = True

    def add(self, kept: KeptRecord) -> None:
        """Add a record at its ``seen_offset``."""
        if kept.seen_offset < self._last_offset:
            self._sorted = False
        self._last_offset = max(self._last_offset, kept.seen_offset)
        self._by_seen_offset[kept.seen_offset] = kept

    def remove(self, kept: KeptRecord) -> None:
        """Remove a record."""
        self._by_seen_offset.pop(kept.seen_offset, None)

    def move(self, kept: KeptRecord, seen_offset: int, seen_ms: int) -> None:
        """Note that the log holds a record at a later offset, too."""
        self.remove(kept)
        kept.seen_offset = seen_offset
        kept.seen_ms = seen_ms
        self.add(kept)

    def after(self, offset: int) -> list[KeptRecord]:
        """Return the records that the log last held after an offset, in order."""
        self._sort()
        found: list[KeptRecord] = []
        for seen_offset, kept in reversed(self._by_seen_offset.items()):
            if seen_offset <= offset:
                break
            found.append(kept)
        found.reverse()
        return found

    def before(self, offset: int) -> Iterator[KeptRecord]:
        """Yield the records that the log last held before an offset, in order."""
        self._sort()
        for seen_offset, kept in self._by_seen_offset.items():
            if seen_offset >= offset:
                return
            yield kept

    def _sort(self) -> None:
        if not self._sorted:
            self._by_seen_offset = dict(sorted(self._by_seen_offset.items()))
            self._sorted = True


class EvidenceQueue:
    """Keys in the order in which the log last got evidence of them."""

    def __init__(self) -> None:
        self._states_by_key: dict[RecordKey, KeyState] = {}
        self._last_ms = 0
        self._sorted = True

    def note(self, state: KeyState, evidence_ms: int) -> None:
        """Note evidence of a key; older evidence than known changes nothing."""
        if state.key in self._states_by_key and evidence_ms <= state.evidence_ms:
            return
        state.evidence_ms = evidence_ms
        if evidence_ms < self._last_ms:
            self._sorted = False
        self._last_ms = max(self._last_ms, evidence_ms)
        self._states_by_key.pop(state.key, None)
        self._states_by_key[state.key] = state

    def remove(self, state: KeyState) -> None:
        """Remove a key."""
        self._states_by_key.pop(state.key, None)

    def before(self, evidence_ms: int) -> Iterator[KeyState]:
        """Yield the keys that lack evidence since a time, the longest first.

        Nothing may be noted or removed in the meantime.
        """
        if not self._sorted:
            items = sorted(
                self._states_by_key.items(), key=lambda item: item[1].evidence_ms
            )
            self._states_by_key = dict(items)
            self._sorted = True
        for state in self._states_by_key.values():
            if state.evidence_ms >= evidence_ms:
                return
            yield state
