"""Reading JSON into attrs classes without turning one type into another."""

from enum import StrEnum

import cattrs


def make_strict_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown keys and values of the wrong type."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict_str)
    converter.register_structure_hook(bool, _strict_bool)
    converter.register_structure_hook(int, _strict_int)
    converter.register_structure_hook(float, _strict_float)
    # The hook for text would also take in the text enumerations.
    converter.register_structure_hook(StrEnum, _member)
    return converter


def _strict_str(value: object, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value


def _strict_bool(value: object, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"{value!r} is neither true nor false")
    return value


def _strict_int(value: object, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is no whole number")
    return value


def _strict_float(value: object, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is no number")
    return float(value)


def _member(value: object, shape: type[StrEnum]) -> StrEnum:
    return shape(_strict_str(value, str))
