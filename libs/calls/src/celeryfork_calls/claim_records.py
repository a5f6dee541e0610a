"""Records of the ``claims`` stream: batches of entries, encoded as compact JSON."""

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
MAX_LOGGED_BODY_BYTES = 512 * 1024
ENTRY_OVERHEAD_BYTES = 200


@frozen
class Claim:
    """Requests the right to run the call with this key."""

    organisation: str
    key: str
    body_hash: str
    nonce: str


@frozen
class Abandon:
    """Withdraws a claim, even one not yet in the log; its call never runs."""

    organisation: str
    key: str
    nonce: str


@frozen
class Settled:
    """Outcome of a claim; ``body_logged`` is False if the body is too large to log."""

    nonce: str
    kept: KeptOutcome
    body_logged: bool = True


@frozen
class HandedOver:
    """Outcome of a ticket's call, or the closing marker, of an instance that stops."""

    kept: KeptOutcome


Entry = Claim | Abandon | Settled | HandedOver


@frozen
class Batch:
    """Contents of one record.

    Parameters
    ----------
    holder
        Incarnation that appended the record, as text.
    malformed_entries
        Number of entries that could not be decoded.
    """

    holder: str
    entries: Sequence[Entry]
    malformed_entries: int = 0


class MalformedRecordError(ValueError):
    """The record is not a valid record of claims."""


class NewerRecordError(ValueError):
    """The record has a newer version, and may hold claims that can't be decoded."""


def entry_size_bytes(entry: Entry) -> int:
    """Return the approximate maximum size of an entry in a record."""
    match entry:
        case Settled(kept=kept) | HandedOver(kept=kept):
            return ENTRY_OVERHEAD_BYTES + 2 * len(kept.key) + len(kept.body) * 4 // 3
        case _:
            return ENTRY_OVERHEAD_BYTES


def settled_for_log(nonce: str, kept: KeptOutcome) -> Settled:
    """Return the entry of an outcome, without its body if that is too large."""
    if len(kept.body) <= MAX_LOGGED_BODY_BYTES:
        return Settled(nonce, kept)
    return Settled(nonce, kept.without_body(), body_logged=False)


def encode_batch(batch: Batch) -> str:
    """Return a batch encoded as the text of a record."""
    entries = [_encode(entry) for entry in batch.entries]
    record = {"v": RECORD_VERSION, "by": batch.holder, "e": entries}
    return orjson.dumps(record).decode()


def decode_batch(data: str) -> Batch:
    """Decode a record; entries that can't be decoded are counted.

    Raises
    ------
    MalformedRecordError
        The record as a whole can't be decoded.
    NewerRecordError
        The record has a newer version than this code supports.
    """
    try:
        record = orjson.loads(data)
        version, holder, raw_entries = record["v"], record["by"], record["e"]
    except (ValueError, TypeError, KeyError) as error:
        raise MalformedRecordError(f"not a record of claims: {error}") from error
    if isinstance(version, int) and version > RECORD_VERSION:
        raise NewerRecordError(
            f"record of claims has version {version}, newer than supported"
        )
    if version != RECORD_VERSION or not isinstance(holder, str):
        raise MalformedRecordError(
            f"record of claims has version {version!r} (must be {RECORD_VERSION}) "
            f"and holder {holder!r} (must be text)"
        )
    if not isinstance(raw_entries, list):
        raise MalformedRecordError("the entries of the record of claims are not a list")
    entries: list[Entry] = []
    malformed_entries = 0
    for raw in raw_entries:
        try:
            entries.append(_decode(raw))
        except (ValueError, TypeError, IndexError, binascii.Error):
            malformed_entries += 1
    return Batch(holder, entries, malformed_entries)


def _encode(entry: Entry) -> list[object]:
    match entry:
        case Claim(organisation, key, body_hash, nonce):
            return ["c", organisation, key, body_hash, nonce]
        case Abandon(organisation, key, nonce):
            return ["a", organisation, key, nonce]
        case Settled(nonce, kept, body_logged):
            return ["o", nonce, body_logged, *_encode_kept(kept)]
        case HandedOver(kept):
            return ["h", *_encode_kept(kept)]


def _decode(raw: Any) -> Entry:
    tag, *rest = raw
    match tag:
        case "c":
            organisation, key, body_hash, nonce = _leading_strings(rest, 4)
            _check_nonce(nonce)
            bytes.fromhex(body_hash)
            return Claim(organisation, key, body_hash, nonce)
        case "a":
            organisation, key, nonce = _leading_strings(rest, 3)
            _check_nonce(nonce)
            return Abandon(organisation, key, nonce)
        case "o":
            (nonce,) = _leading_strings(rest, 1)
            _check_nonce(nonce)
            return Settled(nonce, _decode_kept(rest[2:]), rest[1] is True)
        case "h":
            return HandedOver(_decode_kept(rest))
    raise ValueError("entry has an unknown tag")


def _leading_strings(values: list[Any], count: int) -> list[str]:
    """Return the first ``count`` values, which must be strings.

    Further values are ignored, since a later version may add fields.
    """
    texts = values[:count]
    if len(texts) < count or not all(type(text) is str for text in texts):
        raise ValueError("entry fields are missing or not text")
    return texts


def _check_nonce(nonce: str) -> None:
    if len(bytes.fromhex(nonce)) != NONCE_BYTES:
        raise ValueError("nonce has the wrong length")


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
    organisation, key, outcome = _leading_strings(values, 3)
    content_type, body, body_hash = _leading_strings(values[4:], 3)
    status, kept_ms = values[3], values[7]
    if type(status) is not int or type(kept_ms) is not int:
        raise ValueError("status or kept_ms of an outcome is not an integer")
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
