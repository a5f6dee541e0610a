"""Deployment files: what stands in a deployment, read from JSON and checked."""

from collections.abc import Iterator, Mapping
from itertools import count, cycle
from pathlib import Path
from typing import Any

import cattrs
import orjson
from attrs import field, frozen
from attrs.validators import ge, gt, le, min_len

from celeryfork_standin.deployment_checks import contradictions, fault
from celeryfork_standin.engine_data import EngineSpec
from celeryfork_standin.errors import DeploymentFaultError
from celeryfork_standin.reading import make_strict_converter
from celeryfork_standin.service import ServiceSpec

MILLISECONDS_PER_SECOND = 1000


@frozen
class LinkSpec:
    """The link between two failure domains; it counts both ways."""

    from_domain: str
    to_domain: str
    latency_ms: float = field(validator=ge(0))


@frozen
class AcceleratorSpec:
    """The speed of one kind of accelerator, for each layer of the model.

    Parameters
    ----------
    base_ms_per_layer, sequence_ms_per_layer
        A step takes ``layers * (base + batch * sequence)`` milliseconds.
    max_batch
        Most sequences in one step.
    prefill_layer_tokens_per_second
        Tokens times layers of prompt a second.
    """

    base_ms_per_layer: float = field(validator=gt(0))
    sequence_ms_per_layer: float = field(validator=ge(0))
    max_batch: int = field(validator=ge(1))
    prefill_layer_tokens_per_second: float = field(validator=gt(0))


@frozen
class ModelSpec:
    """A model and the number of its layers."""

    name: str
    layers: int = field(validator=gt(0))


@frozen
class EngineGroup:
    """Engines that are alike, dealt out over failure domains in turn."""

    prefix: str
    count: int = field(validator=ge(1))
    model: str
    domains: tuple[str, ...] = field(validator=min_len(1))
    first_layer: int = field(validator=ge(0))
    last_layer: int = field(validator=gt(0))
    accelerator: str
    version: str = "v1"
    checks_fencing: bool = False


@frozen
class ServiceGroup:
    """Targets of one plain service, dealt out over failure domains in turn."""

    prefix: str
    count: int = field(validator=ge(1))
    service: str
    domains: tuple[str, ...] = field(validator=min_len(1))
    delay_ms: float = field(default=2.0, validator=ge(0))


@frozen
class EntrySpec:
    """One entry instance of celeryfork; the stand-ins only name it."""

    id: str
    domain: str


@frozen
class CallerSpec:
    """An organisation as its callers know it.

    Parameters
    ----------
    key
        Its bearer key.
    load_share
        Its part of the load, 0 to 1.
    """

    organisation: str
    key: str
    load_share: float = field(validator=[ge(0), le(1)])


@frozen
class PlatformSpec:
    """Bounds of the platform's services."""

    retention_s: float | None = None
    appends_per_second: float | None = None
    weight_bytes_per_second: float = field(default=1e9, validator=gt(0))


@frozen
class ConfigurationRecord:
    """One configuration record, published before anything starts."""

    name: str
    schema: int
    payload: Mapping[str, Any]

    def to_json(self) -> str:
        """Return the entry that stands in the log."""
        entry = {
            "name": self.name,
            "schema": self.schema,
            "based_on": None,
            "payload": self.payload,
        }
        return orjson.dumps(entry).decode()


@frozen
class Deployment:
    """A whole deployment, as in ``examples/wanjiru.json``."""

    name: str
    seed: int
    domains: tuple[str, ...]
    links: tuple[LinkSpec, ...]
    accelerators_by_kind: Mapping[str, AcceleratorSpec]
    models: tuple[ModelSpec, ...]
    engines: tuple[EngineGroup, ...]
    services: tuple[ServiceGroup, ...]
    entries: tuple[EntrySpec, ...]
    callers: tuple[CallerSpec, ...]
    configuration: tuple[ConfigurationRecord, ...]
    platform: PlatformSpec = field(factory=PlatformSpec)
    poison_marker: str | None = None

    @property
    def latency_s_by_pair(self) -> dict[tuple[str, str], float]:
        """One-way latency in seconds by pair of failure domains."""
        return {
            (link.from_domain, link.to_domain): link.latency_ms
            / MILLISECONDS_PER_SECOND
            for link in self.links
        }

    def engine_specs(self) -> Iterator[EngineSpec]:
        """Yield the engines, numbered by prefix."""
        numbers_by_prefix: dict[str, Iterator[int]] = {}
        for group in self.engines:
            numbers = numbers_by_prefix.setdefault(group.prefix, count(1))
            for domain in _deal(group.domains, group.count):
                name = f"{group.prefix}-{next(numbers):02d}"
                yield self._engine_spec(group, name, domain)

    def service_specs(self) -> Iterator[ServiceSpec]:
        """Yield the targets of plain services, numbered by prefix."""
        numbers_by_prefix: dict[str, Iterator[int]] = {}
        for group in self.services:
            numbers = numbers_by_prefix.setdefault(group.prefix, count(1))
            delay_s = group.delay_ms / MILLISECONDS_PER_SECOND
            for domain in _deal(group.domains, group.count):
                name = f"{group.prefix}-{next(numbers):02d}"
                yield ServiceSpec(name, group.service, domain, delay_s)

    def _engine_spec(self, group: EngineGroup, name: str, domain: str) -> EngineSpec:
        speed = self.accelerators_by_kind[group.accelerator]
        layers = group.last_layer - group.first_layer
        per_layer_s = layers / MILLISECONDS_PER_SECOND
        return EngineSpec(
            id=name,
            model=group.model,
            domain=domain,
            first_layer=group.first_layer,
            last_layer=group.last_layer,
            accelerator=group.accelerator,
            version=group.version,
            checks_fencing=group.checks_fencing,
            base_s=speed.base_ms_per_layer * per_layer_s,
            per_sequence_s=speed.sequence_ms_per_layer * per_layer_s,
            max_batch=speed.max_batch,
            prefill_tokens_per_second=speed.prefill_layer_tokens_per_second / layers,
        )


def load_deployment(path: Path | str) -> Deployment:
    """Read a deployment file.

    Raises
    ------
    ExceptionGroup
        One ``DeploymentFaultError`` for each fault.
    """
    try:
        values = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise _group([fault("$", f"{path} can't be read: {error}.")]) from error
    except orjson.JSONDecodeError as error:
        raise _group([fault("$", f"{path} is no JSON: {error}.")]) from error
    return make_deployment(values)


def make_deployment(values: object) -> Deployment:
    """Return the deployment that a JSON value describes.

    Raises
    ------
    ExceptionGroup
        One ``DeploymentFaultError`` for each fault.
    """
    try:
        deployment = make_strict_converter().structure(values, Deployment)
    except cattrs.BaseValidationError as error:
        raise _group(_shape_faults(error)) from error
    faults = list(contradictions(deployment))
    if faults:
        raise _group(faults)
    return deployment


def _deal(domains: tuple[str, ...], total: int) -> Iterator[str]:
    return (domain for domain, _ in zip(cycle(domains), range(total), strict=False))


def _group(faults: list[DeploymentFaultError]) -> ExceptionGroup[DeploymentFaultError]:
    return ExceptionGroup("The deployment has faults", faults)


def _shape_faults(error: cattrs.BaseValidationError) -> list[DeploymentFaultError]:
    faults = []
    for line in cattrs.transform_error(error, path="$"):
        message, _, path = line.rpartition(" @ ")
        faults.append(fault(path, message))
    return faults
