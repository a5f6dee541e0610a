"""Evidence of what crashes engines, shared by instances, and its judgement.

A crash is counted against the traits of each run that was beginning to write on the
engine. Innocent traits are soon cleared by sound runs that share them. Requests with
one that stays suspected run as probes, one at a time in the fleet as far as messages
tell, and are refused when enough crashes are counted.
"""

import time
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field

from celeryfork_admission.crash_records import (
    CONVICTION_WEIGHT,
    ECHO_S,
    FIRST_HOLD_S,
    MAX_CRASHES,
    MAX_HOLD_S,
    PROBE_WEIGHT,
    SOUND_TTL_S,
    CrashRecord,
    TraitRecord,
    latest,
)
from celeryfork_admission.judgement import (
    CLEAR,
    Judgement,
    Verdict,
    judge_record,
    make_suspicion,
)
from celeryfork_admission.probes import PROBE_S, Probes
from celeryfork_admission.trait_records import (
    MAX_TRAITS,
    RECORD_TTL_S,
    TraitRecords,
)
from celeryfork_admission.traits import (
    MAX_VALUE_CHARS,
    Trait,
    TraitKind,
    make_part_trait,
    make_request_trait,
    make_trait,
)

__all__ = [
    "CONVICTION_WEIGHT",
    "ECHO_S",
    "FIRST_HOLD_S",
    "MAX_CRASHES",
    "MAX_HOLD_S",
    "MAX_RUNS",
    "MAX_SOUND",
    "MAX_TRAITS",
    "MAX_VALUE_CHARS",
    "PROBE_S",
    "PROBE_WEIGHT",
    "RECORD_TTL_S",
    "SOUND_TTL_S",
    "CrashEvidence",
    "CrashRecord",
    "Judgement",
    "Trait",
    "TraitKind",
    "TraitRecord",
    "Verdict",
    "make_crash_evidence",
    "make_part_trait",
    "make_request_trait",
    "make_trait",
]

MAX_SOUND = 10_000
MAX_RUNS = 1_000


def _ignore_change() -> None:
    pass


def _never() -> bool:
    return False


@define
class CrashEvidence:
    """What this instance knows of traits, by its own runs and its peers' records.

    Parameters
    ----------
    on_change
        Called when records have changed that peers lack; see :meth:`take_changes`.
    forwards
        Returns True if this instance forwards its peers' news, as a relay does: they
        are then changes too, each once.
    """

    _clock: Callable[[], float]
    on_change: Callable[[], None] = _ignore_change
    forwards: Callable[[], bool] = _never
    _records: TraitRecords = field(factory=TraitRecords)
    _probes: Probes = field(factory=Probes)
    _sound_s_by_trait: dict[Trait, float] = field(factory=dict)
    _traits_by_run: dict[str, set[Trait]] = field(factory=dict)
    """Those against which a run was counted."""
    _changed: dict[Trait, None] = field(factory=dict)

    def record_crash(
        self,
        traits: Iterable[Trait],
        run: str,
        organisation: str | None,
        *,
        probe: bool,
        engine_end: str | None = None,
    ) -> tuple[Trait, ...]:
        """Count an engine's crash against the traits of a run that began to write.

        A run with a convicted trait counts against that one only, since it explains
        the crash.

        Parameters
        ----------
        run
            Id of the run, another for each send; it counts once, however many engines
            it ended.
        organisation
            Organisation of the caller, if known.
        probe
            True if the run was a probe.
        engine_end
            Id of the engine's end, the same at all instances, such as the engine's id
            and start. All runs on it with a trait count once together, since one crash
            has one cause; without it each run counts.

        Returns
        -------
        tuple of Trait
            The traits against which it was counted.
        """
        now_s = self._clock()
        crash = CrashRecord(engine_end or run, organisation, now_s, probe)
        suspects = [each for each in traits if not self._is_sound(each, now_s)]
        convicted = [
            each
            for each in suspects
            if (record := self._counting(each, now_s))
            and record.hold_end_s(organisation) is not None
        ]
        counted = []
        for trait in convicted or suspects:
            record = self._known(trait, now_s)
            merged = record.with_crash(crash)
            if merged.crashes != record.crashes and self._add_run(run, trait):
                self._records.store(merged)
                counted.append(trait)
        self._announce(counted)
        return tuple(counted)

    def record_sound(self, traits: Iterable[Trait]) -> None:
        """Record that a run was sound, which clears its traits of earlier crashes."""
        now_s = self._clock()
        cleared = []
        for trait in traits:
            if trait.kind is TraitKind.PART:
                self._keep_sound(trait, now_s)
            if not self._records:
                continue
            record = self._records.get(trait, now_s)
            if record is None:
                continue
            if record.crashes:
                self._records.store(record.with_sound(now_s))
                cleared.append(trait)
            else:
                self._records.renew_sound(record, now_s)
        self._announce(cleared)

    def has_unknown(self, traits: Iterable[Trait]) -> bool:
        """Return True if a part wasn't seen sound within ``SOUND_TTL_S``.

        A run with such a part may be what crashes its engine.
        """
        horizon_s = self._clock() - SOUND_TTL_S
        for trait in traits:
            if trait.kind is TraitKind.PART:
                sound_s = self._sound_s_by_trait.get(trait)
                if sound_s is None or sound_s < horizon_s:
                    return True
        return False

    def judge(self, traits: Iterable[Trait], organisation: str | None) -> Judgement:
        """Return whether a request may run, by the worst of its traits.

        Crashes that a convicted trait explains don't count against others. Where
        several explain the same crashes, requests with half of them or fewer may run
        as probes: a sound one clears its traits, and a crash tells them apart.
        """
        worst = CLEAR
        if not self._records:
            return worst
        now_s, traits = self._clock(), tuple(traits)
        for trait in traits:
            record = self._counting(trait, now_s)
            if record is None or not record.crashes:
                continue
            judgement = judge_record(record, organisation, now_s)
            if (
                judgement.verdict is Verdict.REFUSE
                and not self._records.explanation.is_likely_cause(trait, traits)
            ):
                judgement = make_suspicion(record)
            worst = max(worst, judgement, key=lambda each: each.severity)
        if worst.verdict is Verdict.SUSPECT:
            left_s = self._probe_left_s(self._suspected(traits, now_s), now_s)
            return evolve(worst, retry_after_s=left_s)
        return worst

    def begin_probe(self, traits: Iterable[Trait], run: str) -> bool:
        """Begin a probe, unless another one of a suspected trait is running.

        Nor does it begin beside one of a trait with the same crash: if they met on an
        engine, the deadly one would end the other's probe.

        Returns
        -------
        bool
            False while another probe runs here or at a peer, as far as messages tell.
        """
        now_s = self._clock()
        records = self._suspected(traits, now_s)
        if self._probes.is_running(run) or not records:
            return True
        if self._probe_left_s(records, now_s) > 0:
            return False
        for record in records:
            known = self._known(record.trait, now_s)
            self._records.store(evolve(known, probe_s=now_s))
        probed = [each.trait for each in records]
        self._probes.begin(run, probed, now_s)
        self._announce(probed)
        return True

    def end_probe(self, run: str) -> None:
        """End a probe, so that another may begin; unknown runs are ignored."""
        self._probes.end(run)

    def clear(self, trait: Trait) -> bool:
        """Take a trait for sound, as an operator says, and tell the peers.

        Returns
        -------
        bool
            True if it was suspected here.
        """
        now_s = self._clock()
        record = self._known(trait, now_s)
        if trait.kind is TraitKind.PART:
            self._keep_sound(trait, now_s)
        self._records.store(record.with_sound(now_s))
        self._announce([trait])
        return bool(record.crashes)

    def has_request_suspects(self, service: str) -> bool:
        """Return True if a request's own trait has crashes at a service."""
        return self._records.has_request_suspects(service)

    def merge(self, records: Iterable[TraitRecord]) -> None:
        """Add records of a peer; their order and repetition don't matter.

        Suspicion of a trait that was sound here is answered: the peer gets this
        instance's record by :meth:`take_changes`.
        """
        now_s = self._clock()
        forwards = self.forwards()
        announced = []
        for received in records:
            if received.news_s <= now_s - RECORD_TTL_S:
                continue
            trait = received.trait
            known = self._known(trait, now_s)
            merged = known.merge(received)
            if merged != self._records.get(trait, now_s):
                self._records.store(merged)
            if merged.sound_s is not None and trait.kind is TraitKind.PART:
                self._keep_sound(trait, merged.sound_s)
            if _answers(merged, received) or (forwards and _has_news(known, merged)):
                announced.append(trait)
        self._announce(announced)

    def take_changes(self) -> list[TraitRecord]:
        """Return the records changed here since the last call, to be sent at once."""
        changed, self._changed = self._changed, {}
        now_s = self._clock()
        records = (self._records.get(trait, now_s) for trait in changed)
        return [record for record in records if record is not None]

    def records(self, limit: int) -> list[TraitRecord]:
        """Return records to be sent again, which mends lost messages.

        Parameters
        ----------
        limit
            Most records. Half are those with the newest evidence, suspected ones first;
            the others take turns.
        """
        return self._records.select(limit, self._clock())

    def dump(self) -> list[dict[str, object]]:
        """Return all records for the state dump, with ages in seconds.

        The verdict is the worst one on any caller, and the hold the longest.
        """
        now_s = self._clock()
        rows = []
        for record in self._records.all(now_s):
            counting = self._records.explanation.unexplained(record)
            callers = {None, *(each.organisation for each in counting.crashes)}
            found = [judge_record(counting, each, now_s) for each in callers]
            worst = max(found, key=lambda judgement: judgement.severity)
            rows.append(
                record.describe(now_s)
                | {
                    "convicted": counting.is_convicted,
                    "verdict": worst.verdict.value,
                    "hold_s": round(worst.retry_after_s, 3),
                }
            )
        return rows

    def _suspected(self, traits: Iterable[Trait], now_s: float) -> list[TraitRecord]:
        records = (self._counting(trait, now_s) for trait in traits)
        return [each for each in records if each is not None and each.is_suspected]

    def _probe_left_s(self, records: Iterable[TraitRecord], now_s: float) -> float:
        """Return the seconds for which a probe of such a trait still runs; 0 if none.

        Such a trait has one of the records, or shares a crash with one.
        """
        runs = frozenset[str]().union(*(each.runs for each in records))
        return max(
            (
                self._probes.left_s(each, now_s)
                for each in self._records.open_probes(now_s)
                if not runs.isdisjoint(each.runs)
            ),
            default=0.0,
        )

    def _is_sound(self, trait: Trait, now_s: float) -> bool:
        sound_s = self._known(trait, now_s).sound_s
        return sound_s is not None and sound_s >= now_s - SOUND_TTL_S

    def _counting(self, trait: Trait, now_s: float) -> TraitRecord | None:
        """Return a trait's record with the crashes that no other trait explains."""
        record = self._records.get(trait, now_s)
        return record and self._records.explanation.unexplained(record)

    def _known(self, trait: Trait, now_s: float) -> TraitRecord:
        """Return what is known of any trait, as a record."""
        record = self._records.get(trait, now_s) or TraitRecord(trait)
        sound_s = self._sound_s_by_trait.get(trait)
        return record if sound_s is None else record.with_sound(sound_s)

    def _add_run(self, run: str, trait: Trait) -> bool:
        """Add that a run counts against a trait; return False if it did before."""
        traits = self._traits_by_run.setdefault(run, set())
        if trait in traits:
            return False
        traits.add(trait)
        _drop_oldest(self._traits_by_run, MAX_RUNS)
        return True

    def _keep_sound(self, trait: Trait, sound_s: float) -> None:
        """Keep when a part was sound, the latest at the end."""
        known_s = self._sound_s_by_trait.get(trait)
        if known_s is not None and known_s >= sound_s:
            return
        self._sound_s_by_trait.pop(trait, None)
        self._sound_s_by_trait[trait] = sound_s
        _drop_oldest(self._sound_s_by_trait, MAX_SOUND)

    def _announce(self, traits: list[Trait]) -> None:
        if traits:
            self._changed.update(dict.fromkeys(traits))
            _drop_oldest(self._changed, MAX_TRAITS)
            self.on_change()


def _answers(merged: TraitRecord, received: TraitRecord) -> bool:
    """Return True if this instance's sound runs discard crashes of a peer's record."""
    believed = received.with_sound(received.sound_s)
    return believed.with_sound(merged.sound_s).crashes != believed.crashes


def _has_news(known: TraitRecord, merged: TraitRecord) -> bool:
    """Return True if a merge has added more than other times of what was known."""
    probe_s = merged.open_probe_s
    has_new_probe = probe_s is not None and latest(probe_s, known.probe_s) == probe_s
    return known.runs != merged.runs or (has_new_probe and probe_s != known.probe_s)


def _drop_oldest(value_by_key: dict[Any, Any], limit: int) -> None:
    """Drop the keys added first, beyond a limit."""
    while len(value_by_key) > limit:
        del value_by_key[next(iter(value_by_key))]


def make_crash_evidence(
    clock: Callable[[], float] = time.monotonic,
) -> CrashEvidence:
    """Return evidence without any record.

    Parameters
    ----------
    clock
        Returns monotonic time in seconds.
    """
    return CrashEvidence(clock)
