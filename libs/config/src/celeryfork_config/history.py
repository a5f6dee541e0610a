"""What a publisher tells about records."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen
from celeryfork_base.errors import InputFaultError
from celeryfork_platform.model import LogRecord

from celeryfork_config.entries import Carry, parse_entry


@frozen
class PublishedRecord:
    """A record in force, as the publisher sees it."""

    name: str
    schema: int
    offset: int
    published_ms: int
    payload: Mapping[str, Any]


@frozen
class HistoryItem:
    """One entry of the log about a name.

    Parameters
    ----------
    carried_from
        Offset of the original, where the entry is a carry.
    """

    offset: int
    appended_ms: int
    schema: int
    based_on: int | None
    accepted: bool
    carried_from: int | None
    payload: Mapping[str, Any] | None


@frozen
class WaitResult:
    """Which instances have applied an offset, and which had not in time."""

    offset: int
    reached: tuple[str, ...]
    behind: Mapping[str, int]


def history_item(entry: LogRecord, name: str, accepted: set[int]) -> HistoryItem | None:
    """Return an entry as part of a name's history, None if it isn't about it."""
    try:
        parsed = parse_entry(entry.data)
    except InputFaultError:
        return None
    carried_from = parsed.original_offset if isinstance(parsed, Carry) else None
    record = parsed.record if isinstance(parsed, Carry) else parsed
    if record.name != name:
        return None
    return HistoryItem(
        offset=entry.offset,
        appended_ms=entry.appended_ms,
        schema=record.schema,
        based_on=record.based_on,
        accepted=carried_from is not None or entry.offset in accepted,
        carried_from=carried_from,
        payload=record.payload,
    )
