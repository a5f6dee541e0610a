"""Folds the ``claims`` stream, in log order, into the current holder of each key.

A key is free until a claim takes it, and is freed only by that claim's Abandon. A
claim of a held key has lost: it is never granted, even if the key is freed later.
Every instance that has read all records of a key computes the same holder. An instance
that has missed some never grants the key (`celeryfork_calls.claims`), so each may drop
keys older than its own window (``ClaimLimits.window_s``, plus twice the clock skew).

Keys contain their creation time, so their state is stored in slices by creation time,
and expired slices are dropped as a whole.
"""

import hashlib
import re
import struct
from collections.abc import Iterator

from attrs import field, frozen, mutable
from celeryfork_base.outcomes import Outcome

from celeryfork_calls.claim_records import Abandon, Batch, Claim, Settled

SLICE_MS = 60_000
MAX_FUTURE_MS = 3_600_000
MAX_ABANDONED_PER_SLICE = 200_000

_HELD = struct.Struct(">8s8sIqB")  # nonce, body hash, holder, outcome offset, outcome
_NO_OUTCOME = 0
# RFC 9562, sections 4 and 5.7: 48 bits of milliseconds, version 7, variant 0b10.
_CANONICAL_UUID7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_OUTCOMES = (None, Outcome.DONE, Outcome.FAILED, Outcome.UNKNOWN)
_NUMBER_BY_OUTCOME = {o: n for n, o in enumerate(_OUTCOMES) if o is not None}


@frozen
class HeldKey:
    """State of a key that a claim has taken.

    Parameters
    ----------
    nonce
        Nonce of the claim that took it.
    holder
        Incarnation of the claiming instance, as text.
    outcome
        Outcome of the call, None while the call has not been settled.
    outcome_offset
        Log offset of the record with the outcome's body, -1 if there is none.
    """

    nonce: str
    body_hash_start: bytes
    holder: str
    outcome: Outcome | None
    outcome_offset: int


@frozen
class ClaimWon:
    """The claim holds its key."""

    nonce: str


@frozen
class ClaimLost:
    """The key was held already, or the claim's Abandon came before the claim."""

    nonce: str


@frozen
class ClaimIgnored:
    """The key's state may be missing or incomplete, so the claim isn't granted."""

    nonce: str


@frozen
class ClaimEnded:
    """The holder's claim got an outcome in the log, or was abandoned."""

    key_hash: bytes


Effect = ClaimWon | ClaimLost | ClaimIgnored | ClaimEnded


@mutable
class _Slice:
    """State of keys created in the same minute."""

    held_by_key: dict[bytes, bytes] = field(factory=dict)
    abandoned: set[bytes] = field(factory=set)
    overflowed: bool = False
    holders: list[str] = field(factory=list)
    numbers_by_holder: dict[str, int] = field(factory=dict)

    def get_or_add_holder(self, holder: str) -> int:
        """Return the holder's index in ``holders``; adds a new holder."""
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
    key_state_ttl_ms
        Time after a key's creation for which its state is kept, in milliseconds.
    """

    def __init__(self, key_state_ttl_ms: int) -> None:
        self._key_state_ttl_ms = key_state_ttl_ms
        self._slices_by_start: dict[int, _Slice] = {}
        self._latest_ms = 0
        self.pruned_before_ms = 0

    def set_key_state_ttl(self, key_state_ttl_ms: int) -> None:
        """Set the time after a key's creation for which its state is kept."""
        self._key_state_ttl_ms = key_state_ttl_ms

    def apply(self, offset: int, appended_ms: int, batch: Batch) -> Iterator[Effect]:
        """Apply one record and yield its effects."""
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

    def held(self, organisation: str, key: str) -> HeldKey | None:
        """Return the state of a held key, None for a free one."""
        created_ms = key_created_ms(key)
        if created_ms is None:
            return None
        key_slice = self._slices_by_start.get(created_ms // SLICE_MS)
        if key_slice is None:
            return None
        packed = key_slice.held_by_key.get(key_hash(organisation, key))
        return None if packed is None else _unpack(packed, key_slice)

    def key_count(self) -> int:
        """Return the number of keys held."""
        return sum(
            len(key_slice.held_by_key) for key_slice in self._slices_by_start.values()
        )

    def _claim(self, claim: Claim, holder: str, appended_ms: int) -> Effect:
        key_slice = self._slice_for_key(claim.key, appended_ms)
        if key_slice is None or key_slice.overflowed:
            return ClaimIgnored(claim.nonce)
        nonce = bytes.fromhex(claim.nonce)
        key_digest = key_hash(claim.organisation, claim.key)
        packed = key_slice.held_by_key.get(key_digest)
        if packed is not None:
            # A claim may be appended twice if the first append got no answer.
            return (
                ClaimWon(claim.nonce) if packed[:8] == nonce else ClaimLost(claim.nonce)
            )
        if nonce in key_slice.abandoned:
            return ClaimLost(claim.nonce)
        key_slice.held_by_key[key_digest] = _HELD.pack(
            nonce,
            bytes.fromhex(claim.body_hash)[:8],
            key_slice.get_or_add_holder(holder),
            -1,
            _NO_OUTCOME,
        )
        return ClaimWon(claim.nonce)

    def _abandon(self, abandon: Abandon, appended_ms: int) -> Iterator[Effect]:
        key_slice = self._slice_for_key(abandon.key, appended_ms)
        if key_slice is None:
            return
        nonce = bytes.fromhex(abandon.nonce)
        key_slice.abandoned.add(nonce)
        if len(key_slice.abandoned) > MAX_ABANDONED_PER_SLICE:
            # An instance that drops an Abandon may compute another holder than its
            # peers, so this instance grants no more keys of this slice.
            key_slice.abandoned.clear()
            key_slice.overflowed = True
        key_digest = key_hash(abandon.organisation, abandon.key)
        packed = key_slice.held_by_key.get(key_digest)
        if packed is None or packed[:8] != nonce:
            return
        if _HELD.unpack(packed)[4] == _NO_OUTCOME:
            del key_slice.held_by_key[key_digest]
            yield ClaimEnded(key_digest)

    def _settle(self, settled: Settled, offset: int) -> Iterator[Effect]:
        kept = settled.kept
        created_ms = key_created_ms(kept.key)
        key_slice = self._slices_by_start.get((created_ms or 0) // SLICE_MS)
        number = _NUMBER_BY_OUTCOME.get(kept.outcome)
        if key_slice is None or number is None:
            return
        key_digest = key_hash(kept.organisation, kept.key)
        packed = key_slice.held_by_key.get(key_digest)
        if packed is None:
            return
        nonce, body_hash, holder, _, old = _HELD.unpack(packed)
        if nonce.hex() != settled.nonce:
            return
        if _OUTCOMES[old] in (None, Outcome.UNKNOWN):
            body_offset = offset if settled.body_logged else -1
            key_slice.held_by_key[key_digest] = _HELD.pack(
                nonce, body_hash, holder, body_offset, number
            )
            yield ClaimEnded(key_digest)

    def _slice_for_key(self, key: str, appended_ms: int) -> _Slice | None:
        """Return a key's slice; None if it is too old, too far ahead or no UUIDv7."""
        created_ms = key_created_ms(key)
        if created_ms is None or created_ms < self.pruned_before_ms:
            return None
        if created_ms > appended_ms + MAX_FUTURE_MS:
            return None
        return self._slices_by_start.setdefault(created_ms // SLICE_MS, _Slice())

    def _advance(self, appended_ms: int) -> None:
        """Drop slices older than the lifetime of key state."""
        if appended_ms <= self._latest_ms:
            return
        self._latest_ms = appended_ms
        start = (appended_ms - self._key_state_ttl_ms) // SLICE_MS
        if start * SLICE_MS <= self.pruned_before_ms:
            return
        self.pruned_before_ms = start * SLICE_MS
        for old in [s for s in self._slices_by_start if s < start]:
            del self._slices_by_start[old]


def key_created_ms(key: str) -> int | None:
    """Return the creation time of a key in milliseconds, None if it is no UUIDv7.

    Only the canonical spelling is accepted. It is parsed without a UUID object for
    speed, since every instance does this for the claims of all instances.
    """
    if _CANONICAL_UUID7.fullmatch(key) is None:
        return None
    return int(key[:8] + key[9:13], 16)


def key_hash(organisation: str, key: str) -> bytes:
    """Return a 16-byte hash of an organisation and its key."""
    text = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=16).digest()


def hash_body(body: bytes) -> str:
    """Return the hash by which a retry's body is compared with the first one."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _unpack(packed: bytes, key_slice: _Slice) -> HeldKey:
    nonce, body_hash, holder, offset, number = _HELD.unpack(packed)
    return HeldKey(
        nonce.hex(), body_hash, key_slice.holders[holder], _OUTCOMES[number], offset
    )
