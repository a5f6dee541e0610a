"""Probes: runs of requests with a suspected trait, one at a time."""

from collections.abc import Iterable

from attrs import define, field, frozen

from celeryfork_admission.crash_records import TraitRecord
from celeryfork_admission.traits import Trait

PROBE_S = 3.0
"""Seconds for which a probe counts as running; its instance may have stopped."""


@frozen
class _Probe:
    traits: tuple[Trait, ...]
    began_s: float


@define
class Probes:
    """Probes of this instance, and which of all known ones still run."""

    _probe_by_run: dict[str, _Probe] = field(factory=dict)
    _ended_s_by_trait: dict[Trait, float] = field(factory=dict)
    """When the last probe began that has ended here."""

    def begin(self, run: str, traits: Iterable[Trait], now_s: float) -> None:
        """Add a probe."""
        horizon_s = now_s - PROBE_S
        self._probe_by_run = {
            each: probe
            for each, probe in self._probe_by_run.items()
            if probe.began_s > horizon_s
        }
        self._ended_s_by_trait = {
            trait: began_s
            for trait, began_s in self._ended_s_by_trait.items()
            if began_s > horizon_s
        }
        self._probe_by_run[run] = _Probe(tuple(traits), now_s)

    def end(self, run: str) -> None:
        """End a probe; unknown runs are ignored."""
        probe = self._probe_by_run.pop(run, None)
        if probe is not None:
            for trait in probe.traits:
                self._ended_s_by_trait[trait] = probe.began_s

    def is_running(self, run: str) -> bool:
        """Return True if a run was begun as a probe and hasn't ended."""
        return run in self._probe_by_run

    def left_s(self, record: TraitRecord, now_s: float) -> float:
        """Return the seconds for which a trait's probe still counts as running.

        It is 0 if none runs, here or at a peer.
        """
        began_s = record.open_probe_s
        ended_s = self._ended_s_by_trait.get(record.trait)
        if began_s is None or (ended_s is not None and began_s <= ended_s):
            return 0.0
        return max(0.0, began_s + PROBE_S - now_s)
