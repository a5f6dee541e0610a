"""What stands in the configuration stream: records, and carries of older records.

The form of the envelope is the same for every version of celeryfork, for ever:
instances must agree on which records are accepted. Keys that are not known here are
ignored, so a later version may add some that don't bear on acceptance.
"""

import re
from collections.abc import Mapping
from typing import Any

import orjson
from attrs import frozen
from celeryfork_base.errors import InputFaultError

STREAM = "configuration"
LARGEST_ENTRY_BYTES = 131_072
HIGHEST_SCHEMA = 1_000_000
RECORD_NAME_PATTERN = r"[a-z][a-z_]{0,31}(/[A-Za-z0-9][A-Za-z0-9._-]{0,62}){1,4}"
_record_name = re.compile(RECORD_NAME_PATTERN)

RecordKey = tuple[str, int]


@frozen
class Record:
    """One version of one named record.

    Parameters
    ----------
    based_on
        Offset of the live record with this name and schema that it replaces; None
        where there is none, or the last one was retracted.
    payload
        None retracts the record.
    """

    name: str
    schema: int
    based_on: int | None
    payload: Mapping[str, Any] | None

    @property
    def key(self) -> RecordKey:
        """Return the name and schema version, by which records replace each other."""
        return self.name, self.schema

    def to_json(self) -> dict[str, Any]:
        """Return the record as it stands in the log."""
        return {
            "name": self.name,
            "schema": self.schema,
            "based_on": self.based_on,
            "payload": self.payload,
        }


@frozen
class Carry:
    """An accepted record, appended again because the log is about to drop it.

    Parameters
    ----------
    original_offset, original_ms
        Where and when the record was accepted.
    born_offset
        Where the first record since the last retraction was accepted.
    as_of
        The carrier had applied every offset below this one, and the record was the
        last accepted one then.
    made_ms
        The carrier's clock then: a carry may stand in the log much later.
    superseded
        The record is not the last accepted one, but the newest that some instances
        can read.
    """

    original_offset: int
    original_ms: int
    born_offset: int
    as_of: int
    made_ms: int
    superseded: bool
    record: Record

    def to_json(self) -> dict[str, Any]:
        """Return the carry as it stands in the log."""
        body: dict[str, Any] = {
            "original_offset": self.original_offset,
            "original_ms": self.original_ms,
            "born_offset": self.born_offset,
            "as_of": self.as_of,
            "made_ms": self.made_ms,
            "record": self.record.to_json(),
        }
        if self.superseded:
            body["superseded"] = True
        return {"carry": body}


def encode_entry(entry: Record | Carry) -> str:
    """Return an entry as the log's text."""
    return orjson.dumps(entry.to_json()).decode()


def parse_entry(data: str) -> Record | Carry:
    """Return the entry in the log's text.

    Raises
    ------
    InputFaultError
        It has not the form of an entry.
    """
    if len(data.encode(errors="replace")) > LARGEST_ENTRY_BYTES:
        raise _fault(
            "$", "The entry is too large.", f"keep it under {LARGEST_ENTRY_BYTES} bytes"
        )
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _fault(
            "$", f"It is not JSON: {error}.", "publish it by celeryfork"
        ) from error
    if not isinstance(value, dict):
        raise _fault("$", "It is not a JSON object.", "publish it by celeryfork")
    if "carry" in value:
        return _parse_carry(value["carry"])
    return _parse_record(value, "$")


def check_record_name(name: object) -> str:
    """Return a record's name.

    Raises
    ------
    InputFaultError
        It has not the form of a name.
    """
    if isinstance(name, str) and _record_name.fullmatch(name):
        return name
    raise _fault("$.name", f"{name!r} is no record's name.", "use KIND/NAME")


def _parse_carry(value: object) -> Carry:
    if not isinstance(value, dict) or not isinstance(value.get("record"), dict):
        raise _fault("$.carry", "It holds no record.", "leave carries to instances")
    offset = _whole(value.get("original_offset"), "$.carry.original_offset")
    as_of = _whole(value.get("as_of"), "$.carry.as_of")
    if offset >= as_of:
        raise _fault(
            "$.carry.as_of", "It is not after the record.", "leave carries to instances"
        )
    return Carry(
        original_offset=offset,
        original_ms=_whole(value.get("original_ms"), "$.carry.original_ms"),
        born_offset=_whole(value.get("born_offset"), "$.carry.born_offset"),
        as_of=as_of,
        made_ms=_whole(value.get("made_ms"), "$.carry.made_ms"),
        superseded=value.get("superseded") is True,
        record=_parse_record(value["record"], "$.carry.record"),
    )


def _parse_record(value: dict[str, Any], path: str) -> Record:
    for key in ("name", "schema", "based_on", "payload"):
        if key not in value:
            raise _fault(f"{path}.{key}", "It is missing.", "publish it by celeryfork")
    schema = _whole(value["schema"], f"{path}.schema")
    if not 1 <= schema <= HIGHEST_SCHEMA:
        raise _fault(f"{path}.schema", f"{schema} is out of range.", "begin with 1")
    based_on = value["based_on"]
    if based_on is not None:
        based_on = _whole(based_on, f"{path}.based_on")
    payload = value["payload"]
    if payload is not None and not isinstance(payload, dict):
        raise _fault(f"{path}.payload", "It is no object.", "write {…}, or null")
    return Record(check_record_name(value["name"]), schema, based_on, payload)


def _whole(value: object, path: str) -> int:
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    raise _fault(path, f"{value!r} is no whole number from 0 on.", "write an offset")


def _fault(path: str, message: str, remedy: str) -> InputFaultError:
    return InputFaultError(path, message, remedy)
