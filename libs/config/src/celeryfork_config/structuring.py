"""Turns JSON values into attrs classes, and every fault into a typed error."""

import re
import types
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Literal, TypeVar, Union, get_args, get_origin

import attrs
from cattrs import Converter
from cattrs.errors import (
    AttributeValidationNote,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override
from celeryfork_base.errors import InputFaultError

from celeryfork_config.options import Option, option_of

HIDDEN_FAULT = "The value does not have the right form."

T = TypeVar("T")
StructureHook = Callable[[Any, Any], Any]


class _ValueFaultError(ValueError):
    """A value that can't be taken, before its path is known."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy


def structure(value: object, shape: type[T]) -> T:
    """Return ``value`` as an instance of the attrs class ``shape``.

    Unknown keys are refused, and numbers are not read from texts.

    Raises
    ------
    ExceptionGroup
        One ``InputFaultError`` for each fault.
    """
    try:
        return _converter.structure(value, shape)
    except (BaseExceptionGroup, _ValueFaultError) as error:
        faults = list(_faults(error, "$", shape))
        raise ExceptionGroup(f"{shape.__name__} has faults", faults) from error


def unstructure(value: object) -> dict[str, Any]:
    """Return an attrs object as a JSON-able dict."""
    result: dict[str, Any] = _converter.unstructure(value)
    return result


def _scalar_hook(wanted: str, *accepted: type) -> StructureHook:
    def hook(value: Any, _shape: Any) -> Any:
        if type(value) not in accepted:
            raise _ValueFaultError(
                f"{value!r} is not {wanted}.", f"write {wanted} here"
            )
        return value

    return hook


def _checked_hook(converter: Converter, attribute: Any) -> StructureHook:
    rule = option_of(attribute)

    def hook(value: Any, _shape: Any) -> Any:
        result = converter.structure(value, attribute.type)
        match result:
            case tuple():
                _check_items(rule, result)
            case str() | int() | float():
                _check(rule, result)
        return float(result) if attribute.type is float else result

    return hook


def _check(rule: Option, value: object) -> None:
    if message := rule.fault(value):
        shown = HIDDEN_FAULT if rule.secret else message
        raise _ValueFaultError(shown, rule.advice())


def _check_items(rule: Option, items: tuple[object, ...]) -> None:
    faults: list[_ValueFaultError] = []
    for index, item in enumerate(items):
        try:
            _check(rule, item)
        except _ValueFaultError as fault:
            fault.add_note(IterableValidationNote(f"item {index}", index, str))
            faults.append(fault)
    if faults:
        raise ExceptionGroup("items have faults", faults)


def _class_hook(converter: Converter, shape: Any) -> StructureHook:
    overrides = {
        attribute.name: override(struct_hook=_checked_hook(converter, attribute))
        for attribute in attrs.fields(shape)
    }
    from_dict = make_dict_structure_fn(
        shape,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,  # type: ignore[arg-type]
    )

    def hook(value: Any, wanted: Any) -> Any:
        if not isinstance(value, Mapping):
            raise _ValueFaultError(
                f"{value!r} is not an object.", "write a JSON object here"
            )
        return from_dict(value, wanted)

    return hook


def _tuple_hook(converter: Converter, shape: Any) -> StructureHook:
    standard = converter.get_structure_hook(list[get_args(shape)[0]])  # type: ignore[misc]

    def hook(value: Any, _shape: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise _ValueFaultError(f"{value!r} is not a list.", "write a JSON list")
        return tuple(standard(value, list))

    return hook


def _literal_hook(shape: Any) -> StructureHook:
    allowed = get_args(shape)

    def hook(value: Any, _shape: Any) -> Any:
        if value not in allowed:
            names = ", ".join(map(repr, allowed))
            raise _ValueFaultError(f"{value!r} is not known.", f"write one of {names}")
        return value

    return hook


def _is_tuple(shape: Any) -> bool:
    origin: Any = get_origin(shape)
    return origin is tuple


def _is_literal(shape: Any) -> bool:
    origin: Any = get_origin(shape)
    return origin is Literal


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(int, _scalar_hook("a whole number", int))
    converter.register_structure_hook(float, _scalar_hook("a number", int, float))
    converter.register_structure_hook(str, _scalar_hook("a text", str))
    converter.register_structure_hook(bool, _scalar_hook("true or false", bool))
    converter.register_structure_hook_factory(
        attrs.has, lambda shape: _class_hook(converter, shape)
    )
    converter.register_structure_hook_factory(
        _is_tuple,
        lambda shape: _tuple_hook(converter, shape),
    )
    converter.register_structure_hook_factory(_is_literal, _literal_hook)
    return converter


def _faults(error: BaseException, path: str, shape: Any) -> Iterator[InputFaultError]:
    """Yield the faults inside cattrs's tree of errors, each with its JSON path."""
    match error:
        case BaseExceptionGroup():
            for inner in error.exceptions:
                note = _note_of(inner)
                yield from _faults(inner, path + _step(note), _shape_at(note, shape))
        case ForbiddenExtraKeysError():
            known = ", ".join(field.name for field in attrs.fields(error.cl))
            for key in sorted(error.extra_fields):
                yield InputFaultError(
                    f"{path}.{key}",
                    "The key is not known.",
                    f"remove it, or write one of: {known}",
                )
        case KeyError():
            rule = _option_at(shape, str(error.args[0]))
            described = f": {rule.description}" if rule.description else ""
            yield InputFaultError(path, "A value is missing.", f"add it{described}")
        case _ValueFaultError():
            yield InputFaultError(path, error.message, error.remedy)
        case _:
            yield InputFaultError(path, f"{error}.", "see docs/CONFIGURATION.md")


def _note_of(
    error: BaseException,
) -> AttributeValidationNote | IterableValidationNote | None:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote | IterableValidationNote):
            return note
    return None


def _step(note: AttributeValidationNote | IterableValidationNote | None) -> str:
    match note:
        case AttributeValidationNote():
            return f".{note.name}"
        case IterableValidationNote(index=int() as index):
            return f"[{index}]"
        case IterableValidationNote(index=key):
            plain = re.fullmatch(r"\w+", str(key))
            return f".{key}" if plain else f"[{str(key)!r}]"
    return ""


def _shape_at(
    note: AttributeValidationNote | IterableValidationNote | None, shape: Any
) -> Any:
    """Return the class that holds the field, so that its option can be found."""
    if isinstance(note, AttributeValidationNote) and not attrs.has(note.type):
        return shape
    return note.type if note is not None else shape


def _option_at(shape: Any, name: str) -> Option:
    if not attrs.has(shape):
        return Option("")
    for attribute in attrs.fields(shape):
        if attribute.name == name:
            return option_of(attribute)
    return Option("")


def optional_of(shape: Any) -> Any:
    """Return ``X`` of ``X | None``, and None for any other type."""
    if get_origin(shape) not in (Union, types.UnionType):
        return None
    inner = [part for part in get_args(shape) if part is not type(None)]
    return inner[0] if len(inner) == 1 else None


_converter = _make_converter()
