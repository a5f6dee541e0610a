"""The records of the ``claims`` stream: many entries in one, as compact JSON."""

import base64
import binascii
from collections.abc import Sequence
from typing import Any

import orjson
from attrs import frozen
from celeryfork_base.outcomes import Outcome

from celeryfork_calls.kept_outcomes import KeptOutcome

CLAIMS_STREAM = "claims"
RECORD_VERSION = 1
NONCE_BYTES = 8
LARGEST_LOGGED_BODY_BYTES = 512 * 1024
ENTRY_OVERHEAD_BYTES = 200


@frozen
class Claim:
    """An instance wants to run the call with this key."""

    organisation: str
    key: str
    body_hash: str
    nonce: str


@frozen
class Abandon:
    """The claim with this nonce never ran and never will, wherever it turns up."""

    organisation: str
    key: str
    nonce: str


@frozen
class Settled:
    """The claim with this nonce ended; ``body_kept`` False: too large for the log."""

    nonce: str
    kept: KeptOutcome
    body_kept: bool = True


@frozen
class HandedOver:
    """An outcome under a ticket, from an instance that is stopping."""

    kept: KeptOutcome


Entry = Claim | Abandon | Settled | HandedOver


@frozen
class Batch:
    """What one record holds.

    Parameters
    ----------
    holder
        Incarnation that appended it, as text.
    faults
        Entries that could not be read.
    """

    holder: str
    entries: Sequence[Entry]
    faults: int = 0


class MalformedRecordError(ValueError):
    """The record is none of this library's."""


class NewerRecordError(ValueError):
    """A newer version wrote the record; it may hold claims that can't be seen here."""


def entry_size_bytes(entry: Entry) -> int:
    """Return how much of a record an entry takes, at most about."""
    match entry:
        case Settled(kept=kept) | HandedOver(kept=kept):
            return ENTRY_OVERHEAD_BYTES + 2 * len(kept.key) + len(kept.body) * 4 // 3
        case _:
            return ENTRY_OVERHEAD_BYTES


def settled_for_log(nonce: str, kept: KeptOutcome) -> Settled:
    """Return the entry for an outcome, without a body that is too large."""
    if len(kept.body) <= LARGEST_LOGGED_BODY_BYTES:
        return Settled(nonce, kept)
    return Settled(nonce, kept.without_body(), body_kept=False)


def encode_batch(batch: Batch) -> str:
    """Return a record's text."""
    entries = [_encode(entry) for entry in batch.entries]
    record = {"v": RECORD_VERSION, "by": batch.holder, "e": entries}
    return orjson.dumps(record).decode()


def decode_batch(data: str) -> Batch:
    """Return what a record holds; entries that can't be read are counted.

    Raises
    ------
    MalformedRecordError
        The record as a whole can't be read.
    NewerRecordError
        It needs a newer version to be read.
    """
    try:
        record = orjson.loads(data)
        version, holder, raw_entries = record["v"], record["by"], record["e"]
    except (ValueError, TypeError, KeyError) as error:
        raise MalformedRecordError(f"no record of claims: {error}") from error
    if isinstance(version, int) and version > RECORD_VERSION:
        raise NewerRecordError(f"a record of claims of version {version}")
    if version != RECORD_VERSION or not isinstance(holder, str):
        raise MalformedRecordError(f"a record of claims of version {version!r}")
    if not isinstance(raw_entries, list):
        raise MalformedRecordError("a record of claims without a list of entries")
    entries: list[Entry] = []
    faults = 0
    for raw in raw_entries:
        try:
            entries.append(_decode(raw))
        except (ValueError, TypeError, IndexError, binascii.Error):
            faults += 1
    return Batch(holder, entries, faults)


def _encode(entry: Entry) -> list[object]:
    match entry:
        case Claim(organisation, key, body_hash, nonce):
            return ["c", organisation, key, body_hash, nonce]
        case Abandon(organisation, key, nonce):
            return ["a", organisation, key, nonce]
        case Settled(nonce, kept, body_kept):
            return ["o", nonce, body_kept, *_encode_kept(kept)]
        case HandedOver(kept):
            return ["h", *_encode_kept(kept)]


def _decode(raw: Any) -> Entry:
    tag, *rest = raw
    match tag:
        case "c":
            organisation, key, body_hash, nonce = _texts(rest, 4)
            _check_nonce(nonce)
            bytes.fromhex(body_hash)
            return Claim(organisation, key, body_hash, nonce)
        case "a":
            organisation, key, nonce = _texts(rest, 3)
            _check_nonce(nonce)
            return Abandon(organisation, key, nonce)
        case "o":
            (nonce,) = _texts(rest, 1)
            _check_nonce(nonce)
            return Settled(nonce, _decode_kept(rest[2:]), rest[1] is True)
        case "h":
            return HandedOver(_decode_kept(rest))
    raise ValueError("no entry of claims")


def _texts(values: list[Any], count: int) -> list[str]:
    """Return the first values, which must be text; a later version may add more."""
    texts = values[:count]
    if len(texts) < count or not all(type(text) is str for text in texts):
        raise ValueError("not the fields of this entry")
    return texts


def _check_nonce(nonce: str) -> None:
    if len(bytes.fromhex(nonce)) != NONCE_BYTES:
        raise ValueError("a nonce of another length")


def _encode_kept(kept: KeptOutcome) -> list[object]:
    return [
        kept.organisation,
        kept.key,
        kept.outcome.value,
        kept.status,
        kept.content_type,
        base64.b64encode(kept.body).decode(),
        kept.body_hash,
        kept.kept_ms,
    ]


def _decode_kept(values: list[Any]) -> KeptOutcome:
    organisation, key, outcome = _texts(values, 3)
    content_type, body, body_hash = _texts(values[4:], 3)
    status, kept_ms = values[3], values[7]
    if type(status) is not int or type(kept_ms) is not int:
        raise ValueError("not the fields of an outcome")
    return KeptOutcome(
        organisation=organisation,
        key=key,
        outcome=Outcome(outcome),
        status=status,
        content_type=content_type,
        body=base64.b64decode(body, validate=True),
        body_hash=body_hash,
        kept_ms=kept_ms,
    )
