"""A target, and its encodings in the instance list and in gossip updates."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from celeryfork_platform.model import Instance

ROLES = ("engine", "service")


@frozen
class Target:
    """An engine or a plain service that requests can be sent to.

    Parameters
    ----------
    id
        Id in the instance list.
    role
        ``engine`` or ``service``.
    target
        Name of the model or service that it belongs to.
    domain
        Failure domain of the target.
    address
        ``ip:port``.
    incarnation
        Number that increases with each restart.
    first_layer, last_layer
        The layers ``[first_layer, last_layer)`` held by an engine; 0 for services.
    accelerator, version
        Kind of accelerator and version of the weights; empty for services.
    checks_fencing
        True if an engine refuses orders with an outdated fencing token.
    """

    id: str
    role: str
    target: str
    domain: str
    address: str
    incarnation: int
    first_layer: int = 0
    last_layer: int = 0
    accelerator: str = ""
    version: str = ""
    checks_fencing: bool = False


def update_subject(target: Target) -> str:
    """Return the subject of gossip updates about a target.

    It contains the incarnation, so that updates never apply to a restarted target.
    """
    return f"{target.id}@{target.incarnation}"


def encode_target(target: Target, list_version: int) -> dict[str, Any]:
    """Return the body of the update that announces a new target.

    ``list_version`` is the version of the instance list that contains it.
    """
    return {
        "t": [
            list_version,
            target.role,
            target.target,
            target.domain,
            target.address,
            target.first_layer,
            target.last_layer,
            target.accelerator,
            target.version,
            target.checks_fencing,
        ]
    }


def decode_target(subject: str, body: Mapping[str, Any]) -> tuple[Target, int] | None:
    """Return target and list version of a new-target update, None if malformed."""
    target_id, _, incarnation = subject.rpartition("@")
    match body.get("t"):
        case [
            int(list_version),
            str(role),
            str(target),
            str(domain),
            str(address),
            int(first),
            int(last),
            str(accelerator),
            str(version),
            bool(checks_fencing),
        ] if incarnation.isdecimal():
            decoded = Target(
                id=target_id,
                role=role,
                target=target,
                domain=domain,
                address=address,
                incarnation=int(incarnation),
                first_layer=first,
                last_layer=last,
                accelerator=accelerator,
                version=version,
                checks_fencing=checks_fencing,
            )
            return decoded, list_version
    return None


def target_from_instance(instance: "Instance") -> Target | None:
    """Return the target described by a list entry, None if it is malformed."""
    attributes = instance.attributes
    layers = (0, 0) if instance.role == "service" else _layers_of(attributes)
    if layers is None:
        return None
    return Target(
        id=instance.id,
        role=instance.role,
        target=instance.target,
        domain=instance.domain,
        address=instance.address,
        incarnation=instance.incarnation,
        first_layer=layers[0],
        last_layer=layers[1],
        accelerator=str(attributes.get("accelerator", "")),
        version=str(attributes.get("version", "")),
        checks_fencing=attributes.get("checks_fencing") is True,
    )


def _layers_of(attributes: Mapping[str, Any]) -> tuple[int, int] | None:
    """Return the layer range of an engine, None if missing or invalid."""
    first, last = attributes.get("first_layer"), attributes.get("last_layer")
    if not isinstance(first, int) or not isinstance(last, int):
        return None
    return (first, last) if 0 <= first < last else None
