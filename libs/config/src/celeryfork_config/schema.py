"""JSON Schema of settings and records, made from the attrs classes."""

from collections.abc import Mapping
from typing import Any, Literal, get_args, get_origin

import attrs
from attrs import NOTHING

from celeryfork_config.options import Option, option_of
from celeryfork_config.structuring import optional_of, unstructure

DIALECT = "https://json-schema.org/draft/2020-12/schema"
_NAMES_BY_TYPE = {str: "string", int: "integer", float: "number", bool: "boolean"}


def schema_of(shape: Any) -> dict[str, Any]:
    """Return the JSON Schema of an attrs class."""
    return {"$schema": DIALECT, "title": shape.__name__, **_class_schema(shape)}


def _class_schema(shape: Any) -> dict[str, Any]:
    properties: dict[str, Any] = {}
    required: list[str] = []
    for attribute in attrs.fields(shape):
        properties[attribute.name] = _property(attribute)
        if attribute.default is NOTHING:
            required.append(attribute.name)
    return {
        "type": "object",
        "description": (shape.__doc__ or "").strip().splitlines()[0],
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _property(attribute: Any) -> dict[str, Any]:
    rule = option_of(attribute)
    found = _type_schema(attribute.type, rule)
    found["description"] = rule.description
    if attribute.default is not NOTHING:
        found["default"] = default_of(attribute)
    return found


def default_of(attribute: Any) -> Any:
    """Return the JSON value of a field's default."""
    value = attribute.default
    if isinstance(value, attrs.Factory):  # type: ignore[arg-type]
        value = value.factory()
    if attrs.has(type(value)):
        return unstructure(value)
    return list(value) if isinstance(value, tuple) else value


def _type_schema(shape: Any, rule: Option) -> dict[str, Any]:
    if (inner := optional_of(shape)) is not None:
        return {"anyOf": [_type_schema(inner, rule), {"type": "null"}]}
    if attrs.has(shape):
        return _class_schema(shape)
    origin = get_origin(shape)
    if origin is Literal:
        return {"enum": list(get_args(shape))}
    if origin is tuple:
        return {"type": "array", "items": _type_schema(get_args(shape)[0], rule)}
    if origin is not None and issubclass(origin, Mapping):
        values = _type_schema(get_args(shape)[1], Option(""))
        return {"type": "object", "additionalProperties": values}
    return {"type": _NAMES_BY_TYPE[shape], **_limits(shape, rule)}


def _limits(shape: Any, rule: Option) -> dict[str, Any]:
    if shape is bool:
        return {}
    if shape is str:
        if rule.pattern:
            return {"pattern": f"^(?:{rule.pattern})$"}
        return {"minLength": 1}
    limits = {
        "minimum": rule.minimum,
        "maximum": rule.maximum,
        "exclusiveMinimum": rule.above,
    }
    return {name: limit for name, limit in limits.items() if limit is not None}
