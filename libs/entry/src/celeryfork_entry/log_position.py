"""Positions in the log of the platform's store."""

from typing import Any

from attrs import frozen

from celeryfork_entry.field_parsers import parse_optional_int


@frozen(order=True)
class LogPosition:
    """A position in the log of one topic; later positions are greater.

    Parameters
    ----------
    era
        Counter that rises each time that the store has come back from a copy. The
        offsets after the copy are given out again, so that an offset has a meaning in
        its era only.
    offset
        Number of the next record.
    """

    era: int
    offset: int


def position_fields(position: LogPosition | None) -> dict[str, int | None]:
    """Return the fields of a position in a message to a peer."""
    if position is None:
        return {"offset": None, "era": None}
    return {"offset": position.offset, "era": position.era}


def parse_position(fields: dict[str, Any]) -> LogPosition | None:
    """Return the position in a peer's message, None if it tells none.

    An offset without an era, as from a peer of an earlier release, is no position.

    Raises
    ------
    ValueError
        A field is malformed.
    """
    offset = parse_optional_int(fields.get("offset"))
    era = parse_optional_int(fields.get("era"))
    if offset is None or era is None:
        return None
    return LogPosition(era, offset)
