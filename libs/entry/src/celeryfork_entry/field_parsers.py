"""Validation of single fields of decoded messages."""

import re
from math import isfinite
from typing import Any

from celeryfork_routing.layers import LayerRange

MAX_INT = (1 << 63) - 1
"""Largest integer that fits into a message to peers (64 bits, signed)."""
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
"""Number of digits of the largest port."""
MAX_LAYERS = 10_000
"""Maximum number of layers of a model, a hundred times that of large ones."""
MAX_COUNT = 1_000_000_000
"""Largest number of slots, renewals and the like."""
MAX_TIME_MS = 1 << 43
"""Latest Unix time in ms, in the year 2248. A process with a later start would hide all
later entries of its id, as those of an earlier start."""
_ID = re.compile(r"[!-~]{1,255}")
"""Ids are sent as header values. The store's keys have at most 255 bytes."""
_HOST = re.compile(r"[A-Za-z0-9._:\[\]-]{1,253}")
"""Hosts are sent in headers that separate them with commas."""


def parse_text(value: Any) -> str:
    """Return a string after checking that it is not empty and encodable as UTF-8.

    Raises
    ------
    ValueError
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    value.encode()
    return value


def parse_id(value: Any) -> str:
    """Return an id after checking that it can be the value of a header.

    Raises
    ------
    ValueError
    """
    if not isinstance(value, str) or not _ID.fullmatch(value):
        raise ValueError("an id is not of 1 to 255 visible ASCII characters")
    return value


def parse_int(value: Any) -> int:
    """Return an integer after checking its type and range; booleans are rejected.

    Raises
    ------
    ValueError
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    if abs(value) > MAX_INT:
        raise ValueError("a whole number has more than 64 bits")
    return value


def parse_optional_int(value: Any) -> int | None:
    """Return an integer as :func:`parse_int`, or None.

    Raises
    ------
    ValueError
    """
    return None if value is None else parse_int(value)


def parse_count(value: Any, maximum: int = MAX_COUNT) -> int:
    """Return an integer after checking that it is from 0 to ``maximum``.

    Raises
    ------
    ValueError
    """
    count = parse_int(value)
    if not 0 <= count <= maximum:
        raise ValueError(f"{count} is not from 0 to {maximum}")
    return count


def parse_start_ms(value: Any) -> int | None:
    """Return the start time of a process in Unix ms, None for None.

    Raises
    ------
    ValueError
    """
    return None if value is None else parse_count(value, MAX_TIME_MS)


def parse_layers(first: Any, last: Any) -> LayerRange | None:
    """Return a range of layers, None if it is empty.

    Raises
    ------
    ValueError
    """
    first, last = parse_count(first, MAX_LAYERS), parse_count(last, MAX_LAYERS)
    if first > last:
        raise ValueError(f"invalid layer range from {first} to {last}")
    return LayerRange(first, last) if first < last else None


def parse_finite_float(value: Any) -> float:
    """Return a number as a float after checking that it is neither infinite nor NaN.

    Raises
    ------
    ValueError
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    try:
        number = float(value)
    except OverflowError as error:
        raise ValueError("a number is too large") from error
    if not isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number


def parse_address(value: Any) -> str:
    """Return an address after checking that it has the form ``host:port``.

    Raises
    ------
    ValueError
    """
    host, _, port = parse_text(value).rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not _HOST.fullmatch(host) or not digits or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{value!r} is not an address of the form host:port")
    return f"{host}:{port}"
