"""Checks of single fields of decoded messages."""

from math import isfinite
from typing import Any


def text(value: Any) -> str:
    """Return a text that isn't empty.

    Raises
    ------
    ValueError
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is no name")
    return value


def whole_number(value: Any) -> int:
    """Return a whole number; neither a boolean nor a number with a fraction.

    Raises
    ------
    ValueError
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is no whole number")
    return value


def finite_number(value: Any) -> float:
    """Return a number, whole or not, that is neither infinite nor none at all.

    Raises
    ------
    ValueError
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is no number")
    if not isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return float(value)


def address(value: Any) -> str:
    """Return an address as host and port.

    Raises
    ------
    ValueError
    """
    host, _, port = text(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{value!r} is no address")
    return f"{host}:{port}"
