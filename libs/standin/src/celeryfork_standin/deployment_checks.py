"""Contradictions between the parts of a deployment file."""

import hashlib
from collections.abc import Iterator
from typing import TYPE_CHECKING

from celeryfork_standin.errors import DeploymentFaultError

if TYPE_CHECKING:
    from celeryfork_standin.deployment import Deployment

CORRECT_IT = "correct the value; examples/ holds whole deployments"


def contradictions(deployment: "Deployment") -> Iterator[DeploymentFaultError]:
    """Yield the faults that only show between two values."""
    yield from _domain_faults(deployment)
    yield from _engine_faults(deployment)
    yield from _coverage_faults(deployment)
    yield from _caller_faults(deployment)


def _domain_faults(deployment: "Deployment") -> Iterator[DeploymentFaultError]:
    named = [
        *(
            (f"$.links[{i}].from_domain", o.from_domain)
            for i, o in enumerate(deployment.links)
        ),
        *(
            (f"$.links[{i}].to_domain", o.to_domain)
            for i, o in enumerate(deployment.links)
        ),
        *(
            (f"$.entries[{i}].domain", o.domain)
            for i, o in enumerate(deployment.entries)
        ),
    ]
    for part in ("engines", "services"):
        for index, group in enumerate(getattr(deployment, part)):
            named += [(f"$.{part}[{index}].domains", one) for one in group.domains]
    for path, domain in named:
        if domain not in deployment.domains:
            known = ", ".join(deployment.domains)
            yield fault(path, f"There is no domain {domain!r}.", f"use one of {known}")


def _engine_faults(deployment: "Deployment") -> Iterator[DeploymentFaultError]:
    layers_by_model = {model.name: model.layers for model in deployment.models}
    for index, group in enumerate(deployment.engines):
        path = f"$.engines[{index}]"
        layers = layers_by_model.get(group.model)
        if layers is None:
            yield fault(f"{path}.model", f"There is no model {group.model!r}.")
        elif not group.first_layer < group.last_layer <= layers:
            remedy = f"stay within [0, {layers})"
            yield fault(f"{path}.last_layer", "The layers are out of range.", remedy)
        if group.accelerator not in deployment.accelerators_by_kind:
            message = f"There is no accelerator {group.accelerator!r}."
            yield fault(f"{path}.accelerator", message)


def _coverage_faults(deployment: "Deployment") -> Iterator[DeploymentFaultError]:
    for index, model in enumerate(deployment.models):
        held: set[int] = set()
        for group in deployment.engines:
            if group.model == model.name:
                held.update(range(group.first_layer, group.last_layer))
        missing = sorted(set(range(model.layers)) - held)
        if missing:
            message = f"No engine holds layer {missing[0]}."
            yield fault(f"$.models[{index}]", message, "add an engine that does")


def _caller_faults(deployment: "Deployment") -> Iterator[DeploymentFaultError]:
    payload_by_name = {one.name: one.payload for one in deployment.configuration}
    for index, caller in enumerate(deployment.callers):
        payload = payload_by_name.get(f"organisation/{caller.organisation}", {})
        hashes = payload.get("key_sha256s", ())
        digest = hashlib.sha256(caller.key.encode()).hexdigest()
        if not isinstance(hashes, list) or digest not in hashes:
            yield fault(
                f"$.callers[{index}].key",
                "The organisation's record doesn't know this key.",
                f"add {digest} to its key_sha256s",
            )


def fault(path: str, message: str, remedy: str = CORRECT_IT) -> DeploymentFaultError:
    """Return a fault at a JSON path."""
    return DeploymentFaultError(path, message, remedy)
