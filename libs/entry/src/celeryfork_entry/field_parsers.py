"""Validation of single fields of decoded messages."""

from math import isfinite
from typing import Any

MAX_INT = (1 << 63) - 1
"""Largest integer that fits into a message to peers (64 bits, signed)."""
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
"""Number of digits of the largest port."""


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


def parse_header_text(value: Any) -> str:
    """Return a string after checking that it can be the value of an HTTP header.

    Raises
    ------
    ValueError
    """
    text = parse_text(value)
    if not text.isprintable() or text != text.strip():
        raise ValueError(f"{text!r} can't be the value of a header")
    return text


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
    if not host or "\0" in host or not digits or int(port) > MAX_PORT:
        raise ValueError(f"{value!r} is not an address of the form host:port")
    return f"{host}:{port}"
