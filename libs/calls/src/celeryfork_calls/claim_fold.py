"""Folds the ``claims`` stream: who holds which key, in the order of the log.

A key is free until a claim takes it, and free again only after that claim's Abandon.
Claims for a key that is held have lost for good. Every instance that has read all
of a key's records computes the same holder, and one that has not never grants the
key (`celeryfork_calls.claims`), so memory may be cut to each instance's own window.

Keys carry their birth time, so state lies in slices by birth, dropped whole.
"""

import hashlib
import re
import struct
from collections.abc import Iterator

from attrs import field, frozen, mutable
from celeryfork_base.outcomes import Outcome

from celeryfork_calls.claim_records import Abandon, Batch, Claim, Settled

SLICE_MS = 60_000
FURTHEST_AHEAD_MS = 3_600_000
MOST_ABANDONED_PER_SLICE = 200_000

_HELD = struct.Struct(">8s8sIqB")  # nonce, body hash, holder, outcome's offset, outcome
_NO_OUTCOME = 0
# RFC 9562, sections 4 and 5.7: 48 bits of milliseconds, version 7, variant 0b10.
_CANONICAL_UUID7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_OUTCOMES = (None, Outcome.DONE, Outcome.FAILED, Outcome.UNKNOWN)
_NUMBER_BY_OUTCOME = {o: n for n, o in enumerate(_OUTCOMES) if o is not None}


@frozen
class Held:
    """A key that is taken.

    Parameters
    ----------
    nonce
        Of the claim that took it.
    holder
        Incarnation that claimed it, as text.
    outcome
        How it ended, None while that isn't known.
    outcome_offset
        Where in the log the whole outcome stands, -1 for nowhere.
    """

    nonce: str
    body_hash_start: bytes
    holder: str
    outcome: Outcome | None
    outcome_offset: int


@frozen
class Won:
    """The claim took its key."""

    nonce: str


@frozen
class LostTo:
    """The claim came after another, or was abandoned before it turned up."""

    nonce: str


@frozen
class Ignored:
    """The claim's key is outside what is kept here, so it must not be granted here."""

    nonce: str


@frozen
class Ended:
    """The holder's claim was settled or abandoned."""

    key_hash: bytes


Effect = Won | LostTo | Ignored | Ended


@mutable
class _Slice:
    """Keys born in the same minute."""

    held_by_key: dict[bytes, bytes] = field(factory=dict)
    abandoned: set[bytes] = field(factory=set)
    overflowed: bool = False
    holders: list[str] = field(factory=list)
    numbers_by_holder: dict[str, int] = field(factory=dict)

    def number_of(self, holder: str) -> int:
        """Return the small number that stands for a holder."""
        number = self.numbers_by_holder.get(holder)
        if number is None:
            number = len(self.holders)
            self.holders.append(holder)
            self.numbers_by_holder[holder] = number
        return number


class ClaimFold:
    """The state of the stream up to an offset; not thread-safe.

    Parameters
    ----------
    kept_ms
        How long after its birth a key's state is kept, in milliseconds.
    """

    def __init__(self, kept_ms: int) -> None:
        self._kept_ms = kept_ms
        self._slices_by_start: dict[int, _Slice] = {}
        self._latest_ms = 0
        self.pruned_before_ms = 0

    def set_kept(self, kept_ms: int) -> None:
        """Keep state for another time after a key's birth, in milliseconds."""
        self._kept_ms = kept_ms

    def apply(self, offset: int, appended_ms: int, batch: Batch) -> Iterator[Effect]:
        """Take in one record and tell what it changed."""
        self._advance(appended_ms)
        for entry in batch.entries:
            match entry:
                case Claim():
                    yield self._claim(entry, batch.holder, appended_ms)
                case Abandon():
                    yield from self._abandon(entry, appended_ms)
                case Settled():
                    yield from self._settle(entry, offset)
                case _:
                    continue

    def held(self, organisation: str, key: str) -> Held | None:
        """Return who holds a key, None for a free one."""
        birth_ms = birth_ms_of_key(key)
        if birth_ms is None:
            return None
        part = self._slices_by_start.get(birth_ms // SLICE_MS)
        if part is None:
            return None
        packed = part.held_by_key.get(key_hash(organisation, key))
        return None if packed is None else _unpack(packed, part)

    def size(self) -> int:
        """Return the number of keys held."""
        return sum(len(part.held_by_key) for part in self._slices_by_start.values())

    def _claim(self, claim: Claim, holder: str, appended_ms: int) -> Effect:
        part = self._slice_of(claim.key, appended_ms)
        if part is None or part.overflowed:
            return Ignored(claim.nonce)
        nonce = bytes.fromhex(claim.nonce)
        hashed = key_hash(claim.organisation, claim.key)
        packed = part.held_by_key.get(hashed)
        if packed is not None:
            # The same claim may be appended twice when an answer was lost.
            return Won(claim.nonce) if packed[:8] == nonce else LostTo(claim.nonce)
        if nonce in part.abandoned:
            return LostTo(claim.nonce)
        part.held_by_key[hashed] = _HELD.pack(
            nonce,
            bytes.fromhex(claim.body_hash)[:8],
            part.number_of(holder),
            -1,
            _NO_OUTCOME,
        )
        return Won(claim.nonce)

    def _abandon(self, abandon: Abandon, appended_ms: int) -> Iterator[Effect]:
        part = self._slice_of(abandon.key, appended_ms)
        if part is None:
            return
        nonce = bytes.fromhex(abandon.nonce)
        part.abandoned.add(nonce)
        if len(part.abandoned) > MOST_ABANDONED_PER_SLICE:
            # Whoever forgets an Abandon may see another holder than the others do,
            # so this instance grants none of these keys any more.
            part.abandoned.clear()
            part.overflowed = True
        hashed = key_hash(abandon.organisation, abandon.key)
        packed = part.held_by_key.get(hashed)
        if packed is None or packed[:8] != nonce:
            return
        if _HELD.unpack(packed)[4] == _NO_OUTCOME:
            del part.held_by_key[hashed]
            yield Ended(hashed)

    def _settle(self, settled: Settled, offset: int) -> Iterator[Effect]:
        kept = settled.kept
        birth_ms = birth_ms_of_key(kept.key)
        part = self._slices_by_start.get((birth_ms or 0) // SLICE_MS)
        number = _NUMBER_BY_OUTCOME.get(kept.outcome)
        if part is None or number is None:
            return
        hashed = key_hash(kept.organisation, kept.key)
        packed = part.held_by_key.get(hashed)
        if packed is None:
            return
        nonce, body_hash, holder, _, old = _HELD.unpack(packed)
        if nonce.hex() != settled.nonce:
            return
        if _OUTCOMES[old] in (None, Outcome.UNKNOWN):
            where = offset if settled.body_kept else -1
            part.held_by_key[hashed] = _HELD.pack(
                nonce, body_hash, holder, where, number
            )
            yield Ended(hashed)

    def _slice_of(self, key: str, appended_ms: int) -> _Slice | None:
        """Return the slice for a key, None where the key lies outside all windows."""
        birth_ms = birth_ms_of_key(key)
        if birth_ms is None or birth_ms < self.pruned_before_ms:
            return None
        if birth_ms > appended_ms + FURTHEST_AHEAD_MS:
            return None
        return self._slices_by_start.setdefault(birth_ms // SLICE_MS, _Slice())

    def _advance(self, appended_ms: int) -> None:
        """Drop the slices that the window has left."""
        if appended_ms <= self._latest_ms:
            return
        self._latest_ms = appended_ms
        start = (appended_ms - self._kept_ms) // SLICE_MS
        if start * SLICE_MS <= self.pruned_before_ms:
            return
        self.pruned_before_ms = start * SLICE_MS
        for old in [s for s in self._slices_by_start if s < start]:
            del self._slices_by_start[old]


def birth_ms_of_key(key: str) -> int | None:
    """Return the birth time of a key in milliseconds, None if it is no UUIDv7.

    Only the canonical spelling counts, and it is read without building a UUID, since
    every instance does this for every claim of all.
    """
    if _CANONICAL_UUID7.fullmatch(key) is None:
        return None
    return int(key[:8] + key[9:13], 16)


def key_hash(organisation: str, key: str) -> bytes:
    """Return the 16 bytes that stand for an organisation's key."""
    text = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=16).digest()


def hash_body(body: bytes) -> str:
    """Return the hash that tells a repeated body from another one."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _unpack(packed: bytes, part: _Slice) -> Held:
    nonce, body_hash, holder, offset, number = _HELD.unpack(packed)
    return Held(nonce.hex(), body_hash, part.holders[holder], _OUTCOMES[number], offset)
