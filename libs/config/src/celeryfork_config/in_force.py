"""The configuration in force: an immutable snapshot, and what it is made from."""

from collections.abc import Mapping
from typing import Any

from attrs import define, field, frozen

from celeryfork_config.records import (
    Accelerator,
    Link,
    Model,
    Organisation,
    Payload,
    Policy,
    Rollout,
    Service,
)


@frozen
class Configuration:
    """Everything in force at one offset of the log; never changes.

    Parameters
    ----------
    offset
        The last offset of the log that was applied, -1 before the first.
    links_by_pair
        By (from domain, to domain).
    """

    offset: int = -1
    organisations_by_name: Mapping[str, Organisation] = field(factory=dict)
    models_by_name: Mapping[str, Model] = field(factory=dict)
    services_by_name: Mapping[str, Service] = field(factory=dict)
    accelerators_by_kind: Mapping[str, Accelerator] = field(factory=dict)
    links_by_pair: Mapping[tuple[str, str], Link] = field(factory=dict)
    rollouts_by_model: Mapping[str, Rollout] = field(factory=dict)
    policy: Policy = field(factory=Policy)
    _names_by_key_sha256: Mapping[str, tuple[str, ...]] = field(
        factory=dict, alias="names_by_key_sha256"
    )

    def organisation_by_key_sha256(self, key_sha256: str) -> Organisation | None:
        """Return the organisation that a bearer key belongs to, by the key's hash.

        Where two organisations list the same key, it is the first by name: the
        choice depends on the state alone, so every instance makes the same.
        """
        names = self._names_by_key_sha256.get(key_sha256)
        return self.organisations_by_name.get(names[0]) if names else None


@define
class ForceTable:
    """Collects what is in force and makes snapshots; only changed parts are copied."""

    _values_by_shape: dict[type[Any], dict[Any, Any]] = field(factory=dict, init=False)
    _copies_by_shape: dict[type[Any], dict[Any, Any]] = field(factory=dict, init=False)
    _names_by_key_sha256: dict[str, tuple[str, ...]] = field(factory=dict, init=False)
    _keys_copy: dict[str, tuple[str, ...]] | None = field(default=None, init=False)

    def replace(self, old: Payload | None, new: Payload | None) -> None:
        """Put ``new`` in force in place of ``old``; None stands for nothing."""
        if old is not None:
            self._values_by_shape[type(old)].pop(_key_of(old), None)
            self._copies_by_shape.pop(type(old), None)
        if new is not None:
            self._values_by_shape.setdefault(type(new), {})[_key_of(new)] = new
            self._copies_by_shape.pop(type(new), None)
        if isinstance(old, Organisation) or isinstance(new, Organisation):
            self._replace_keys(old, new)

    def snapshot(self, offset: int) -> Configuration:
        """Return what is in force as an immutable snapshot."""
        if self._keys_copy is None:
            self._keys_copy = self._names_by_key_sha256.copy()
        return Configuration(
            offset=offset,
            organisations_by_name=self._copy(Organisation),
            models_by_name=self._copy(Model),
            services_by_name=self._copy(Service),
            accelerators_by_kind=self._copy(Accelerator),
            links_by_pair=self._copy(Link),
            rollouts_by_model=self._copy(Rollout),
            policy=self._values_by_shape.get(Policy, {}).get(
                "default", _DEFAULT_POLICY
            ),
            names_by_key_sha256=self._keys_copy,
        )

    def _copy(self, shape: type[Any]) -> dict[Any, Any]:
        if shape not in self._copies_by_shape:
            self._copies_by_shape[shape] = self._values_by_shape.get(shape, {}).copy()
        return self._copies_by_shape[shape]

    def _replace_keys(self, old: Payload | None, new: Payload | None) -> None:
        before = set(old.key_sha256s) if isinstance(old, Organisation) else set()
        after = set(new.key_sha256s) if isinstance(new, Organisation) else set()
        if before == after:
            return
        self._keys_copy = None
        names_by_key = self._names_by_key_sha256
        for key in before - after:
            left = tuple(n for n in names_by_key.get(key, ()) if n != _key_of(old))
            if left:
                names_by_key[key] = left
            else:
                names_by_key.pop(key, None)
        for key in after - before:
            names = {*names_by_key.get(key, ()), _key_of(new)}
            names_by_key[key] = tuple(sorted(names))


def _key_of(payload: Payload | None) -> Any:
    match payload:
        case Organisation() | Model() | Service():
            return payload.name
        case Accelerator():
            return payload.kind
        case Link():
            return payload.from_domain, payload.to_domain
        case Rollout():
            return payload.model
    return "default"


_DEFAULT_POLICY = Policy()
