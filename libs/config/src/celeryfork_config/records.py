"""The kinds of configuration records, and the check of a record.

A record's name is ``KIND/…``; the parts after the kind fill the payload's identity
fields, which a payload may repeat but not contradict.
"""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import frozen
from celeryfork_base.errors import InputFaultError

from celeryfork_config.payloads import (
    Accelerator,
    Link,
    Model,
    Organisation,
    Payload,
    Policy,
    Rollout,
    Service,
    ServiceKind,
)
from celeryfork_config.structuring import structure

__all__ = [
    "KINDS_BY_KEY",
    "Accelerator",
    "Link",
    "Model",
    "Organisation",
    "Payload",
    "PayloadReader",
    "Policy",
    "RecordKind",
    "Rollout",
    "Service",
    "ServiceKind",
    "validate_record",
]

PayloadReader = Callable[[str, int, Mapping[str, Any]], Payload]


@frozen
class RecordKind:
    """How the records of one kind and schema version are read.

    Parameters
    ----------
    identity
        The fields that the name's parts after the kind fill, in order.
    """

    shape: type[Any]
    identity: tuple[str, ...]


KINDS_BY_KEY: Mapping[tuple[str, int], RecordKind] = {
    ("organisation", 1): RecordKind(Organisation, ("name",)),
    ("model", 1): RecordKind(Model, ("name",)),
    ("service", 1): RecordKind(Service, ("name",)),
    ("accelerator", 1): RecordKind(Accelerator, ("kind",)),
    ("link", 1): RecordKind(Link, ("from_domain", "to_domain")),
    ("rollout", 1): RecordKind(Rollout, ("model",)),
    ("policy", 1): RecordKind(Policy, ()),
}
POLICY_NAME = "policy/default"


def validate_record(name: str, schema: int, payload: Mapping[str, Any]) -> Payload:
    """Return the payload class of a record.

    Parameters
    ----------
    name
        Such as ``organisation/kettlecare``.
    schema
        Schema version of the payload.

    Raises
    ------
    ExceptionGroup
        One ``InputFaultError`` for each fault.
    """
    kind_name, *parts = name.split("/")
    kind = KINDS_BY_KEY.get((kind_name, schema))
    if kind is None:
        raise _group(name, [_unknown_kind(kind_name, schema)])
    faults = _name_faults(name, kind, parts)
    if faults:
        raise _group(name, faults)
    # A kind without identity fields has one fixed name.
    identity = dict(zip(kind.identity, parts, strict=False))
    filled, faults = _fill_identity(payload, identity)
    if kind.shape is Service:
        faults += _fill_kind_names(filled)
    try:
        value: Payload = structure(filled, kind.shape)
    except ExceptionGroup as group:
        faults += [e for e in group.exceptions if isinstance(e, InputFaultError)]
        raise _group(name, faults) from group
    faults += _cross_faults(value)
    if faults:
        raise _group(name, faults)
    return value


def _group(name: str, faults: list[InputFaultError]) -> ExceptionGroup[InputFaultError]:
    return ExceptionGroup(f"The record {name} has faults", faults)


def _unknown_kind(kind_name: str, schema: int) -> InputFaultError:
    known = ", ".join(f"{kind} {version}" for kind, version in sorted(KINDS_BY_KEY))
    return InputFaultError(
        "$",
        f"This version of celeryfork can't read {kind_name!r} of schema {schema}.",
        f"use one of: {known}",
    )


def _name_faults(
    name: str, kind: RecordKind, parts: list[str]
) -> list[InputFaultError]:
    if not kind.identity:
        if name == POLICY_NAME:
            return []
        return [
            InputFaultError(
                "$", f"{name!r} is not the policy's name.", f"use {POLICY_NAME}"
            )
        ]
    if len(parts) == len(kind.identity):
        return []
    wanted = "/".join([name.split("/")[0], *map(str.upper, kind.identity)])
    return [InputFaultError("$", f"{name!r} has the wrong parts.", f"use {wanted}")]


def _fill_identity(
    payload: Mapping[str, Any], identity: Mapping[str, str]
) -> tuple[dict[str, Any], list[InputFaultError]]:
    if not isinstance(payload, Mapping):
        fault = InputFaultError("$", "The payload is no object.", "write a JSON object")
        return dict(identity), [fault]
    faults = [
        InputFaultError(
            f"$.{field}",
            f"{payload[field]!r} is not what the record's name says.",
            f"write {value!r}, or leave it out",
        )
        for field, value in identity.items()
        if payload.get(field, value) != value
    ]
    return {**payload, **identity}, faults


def _fill_kind_names(payload: dict[str, Any]) -> list[InputFaultError]:
    """Give each kind of a service the name that it stands under."""
    kinds = payload.get("kinds_by_name")
    if not isinstance(kinds, Mapping):
        return []
    faults: list[InputFaultError] = []
    filled: dict[str, Any] = {}
    for name, kind in kinds.items():
        if isinstance(kind, Mapping):
            filled[name], found = _fill_identity(kind, {"name": name})
            faults += [
                InputFaultError(
                    f"$.kinds_by_name.{name}.name",
                    f"{kind['name']!r} stands under {name!r}.",
                    "give both the same name, or leave it out",
                )
                for _ in found
            ]
        else:
            filled[name] = kind
    payload["kinds_by_name"] = filled
    return faults


def _cross_faults(value: Payload) -> list[InputFaultError]:
    """Return the faults that only show between two fields."""
    match value:
        case Policy() if value.default_deadline_s > value.longest_deadline_s:
            return [
                InputFaultError(
                    "$.default_deadline_s",
                    "It is longer than longest_deadline_s.",
                    f"write at most {value.longest_deadline_s}",
                )
            ]
        case Policy() if value.claim_window_s > value.log_retention_s / 2:
            return [
                InputFaultError(
                    "$.claim_window_s",
                    "The log would drop claims that still count.",
                    f"write at most {value.log_retention_s / 2}",
                )
            ]
    return []
