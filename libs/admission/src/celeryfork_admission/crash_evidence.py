"""Evidence of what crashes engines, shared by instances, and its judgement.

A crash is counted against the traits of each run that was beginning to write on the
engine. Innocent traits are soon cleared by sound runs that share them. One that stays
suspected runs as a probe, one at a time in the fleet as far as messages tell, and is
refused when enough crashes are counted.
"""

import time
from collections.abc import Callable, Iterable
from enum import Enum

from attrs import define, evolve, field, frozen

from celeryfork_admission.crash_records import (
    FIRST_HOLD_S,
    MAX_CRASHES,
    MAX_HOLD_S,
    SOUND_TTL_S,
    CrashRecord,
    TraitRecord,
    latest,
    merge_records,
)
from celeryfork_admission.probes import PROBE_S, Probes
from celeryfork_admission.traits import (
    MAX_VALUE_CHARS,
    Trait,
    TraitKind,
    make_part_trait,
    make_request_trait,
    make_trait,
)

__all__ = [
    "FIRST_HOLD_S",
    "MAX_CRASHES",
    "MAX_HOLD_S",
    "MAX_SOUND",
    "MAX_TRAITS",
    "MAX_VALUE_CHARS",
    "PROBE_S",
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

RECORD_TTL_S = 7200.0
MAX_TRAITS = 1_000
MAX_SOUND = 10_000
DROPPED_TOGETHER = 50
"""Records dropped at once beyond ``MAX_TRAITS``, since each drop sorts them all."""


class Verdict(Enum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """May run as a probe."""
    REFUSE = "refuse"


@frozen
class Judgement:
    """Verdict on a request.

    Parameters
    ----------
    trait
        The trait that decided; None if the request is clear.
    crashes
        Crashes counted against it, of all organisations.
    retry_after_s
        Seconds until the next probe may begin.
    """

    verdict: Verdict
    trait: Trait | None = None
    crashes: int = 0
    retry_after_s: float = 0.0


CLEAR = Judgement(Verdict.CLEAR)


def _ignore_change() -> None:
    pass


@define
class CrashEvidence:
    """What this instance knows of traits, by its own runs and its peers' records.

    Parameters
    ----------
    on_change
        Called when records have changed that peers lack; see :meth:`take_changes`.
    """

    _clock: Callable[[], float]
    on_change: Callable[[], None] = _ignore_change
    _record_by_trait: dict[Trait, TraitRecord] = field(factory=dict)
    _sound_s_by_trait: dict[Trait, float] = field(factory=dict)
    _probes: Probes = field(factory=Probes)
    _changed: dict[Trait, None] = field(factory=dict)
    _turn_by_trait: dict[Trait, int] = field(factory=dict)
    _turn: int = 0
    _suspect_services: frozenset[str] | None = frozenset()

    def record_crash(
        self,
        traits: Iterable[Trait],
        run: str,
        organisation: str | None,
        *,
        probe: bool,
    ) -> tuple[Trait, ...]:
        """Count an engine's crash against the traits of a run that began to write.

        A run with a convicted trait counts against that one only, since it explains
        the crash.

        Parameters
        ----------
        run
            Id of the run, unique in the fleet; it counts once, however many engines
            it ended.
        organisation
            Organisation of the caller, if known.
        probe
            True if the run was a probe.

        Returns
        -------
        tuple of Trait
            The traits against which it was counted.
        """
        now_s = self._clock()
        crash = CrashRecord(run, organisation, now_s, probe)
        suspects = [each for each in traits if not self._is_sound(each, now_s)]
        convicted = [
            each
            for each in suspects
            if (record := self._live_record(each, now_s))
            and record.conviction_s(organisation) is not None
        ]
        counted = []
        for trait in convicted or suspects:
            record = self._record(trait)
            if not record.has_run(run):
                self._store(record.with_crash(crash))
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
            record = self._record_by_trait.get(trait)
            if record is None:
                continue
            if record.crashes:
                self._store(record.with_sound(now_s))
                cleared.append(trait)
            else:
                self._record_by_trait[trait] = evolve(record, sound_s=now_s)
        self._announce(cleared)

    def has_unknown(self, traits: Iterable[Trait]) -> bool:
        """Return True if a part wasn't seen sound within ``SOUND_TTL_S``.

        A run with such a part may be what crashes its engine.
        """
        horizon_s = self._clock() - SOUND_TTL_S
        sound_s_by_trait = self._sound_s_by_trait
        for trait in traits:
            if trait.kind is TraitKind.PART:
                sound_s = sound_s_by_trait.get(trait)
                if sound_s is None or sound_s < horizon_s:
                    return True
        return False

    def judge(self, traits: Iterable[Trait], organisation: str | None) -> Judgement:
        """Return whether a request may run, by the worst of its traits."""
        if not self._record_by_trait:
            return CLEAR
        worst = CLEAR
        for trait in traits:
            record = self._record_by_trait.get(trait)
            if record is not None and record.crashes:
                judgement = self._judge_record(record, organisation)
                if _severity(judgement) > _severity(worst):
                    worst = judgement
        return worst

    def begin_probe(self, traits: Iterable[Trait], run: str) -> bool:
        """Begin a probe, unless another one of a suspected trait is running.

        Returns
        -------
        bool
            False while another probe runs here or at a peer, as far as messages tell.
        """
        now_s = self._clock()
        records = [
            record
            for trait in traits
            if (record := self._live_record(trait, now_s)) and record.suspected
        ]
        if self._probes.is_running(run) or not records:
            return True
        if any(self._probes.left_s(each, now_s) > 0 for each in records):
            return False
        for record in records:
            self._store(evolve(record, probe_s=now_s))
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
        record = self._record(trait)
        if trait.kind is TraitKind.PART:
            self._keep_sound(trait, now_s)
        self._store(record.with_sound(now_s))
        self._announce([trait])
        return bool(record.crashes)

    def has_request_suspects(self, service: str) -> bool:
        """Return True if a request's own trait has crashes at a service."""
        if self._suspect_services is None:
            self._suspect_services = frozenset(
                trait.service
                for trait, record in self._record_by_trait.items()
                if trait.kind is TraitKind.REQUEST and record.crashes
            )
        return service in self._suspect_services

    def merge(self, records: Iterable[TraitRecord]) -> None:
        """Add records of a peer; their order and repetition don't matter.

        Suspicion of a part that was sound here is answered: the peer gets this
        instance's record by :meth:`take_changes`.
        """
        now_s = self._clock()
        answered = []
        for received in records:
            if received.news_s <= now_s - RECORD_TTL_S:
                continue
            trait = received.trait
            # Leaves out the crashes that the peer's own sound runs discard.
            received = merge_records(received, TraitRecord(trait))
            merged = merge_records(self._record(trait), received)
            self._store(merged)
            if merged.sound_s is not None and trait.kind is TraitKind.PART:
                self._keep_sound(trait, merged.sound_s)
            if received.with_sound(merged.sound_s).crashes != received.crashes:
                answered.append(trait)
        self._announce(answered)

    def take_changes(self) -> list[TraitRecord]:
        """Return the records changed here since the last call, to be sent at once."""
        changed, self._changed = self._changed, {}
        records = (self._record_by_trait.get(trait) for trait in changed)
        return [record for record in records if record is not None]

    def records(self, limit: int) -> list[TraitRecord]:
        """Return records to be sent again, which mends lost messages.

        Parameters
        ----------
        limit
            Most records. Half are those with the newest evidence, suspected ones first;
            the others take turns.
        """
        self._drop_expired()
        ranked = sorted(
            self._record_by_trait.values(),
            key=lambda each: (bool(each.crashes), each.news_s),
            reverse=True,
        )
        if len(ranked) > limit:
            newest = limit // 2
            rest = sorted(
                ranked[newest:], key=lambda each: self._turn_by_trait.get(each.trait, 0)
            )
            ranked = ranked[:newest] + rest[: limit - newest]
        self._turn += 1
        self._turn_by_trait.update((each.trait, self._turn) for each in ranked)
        return ranked

    def dump(self) -> list[dict[str, object]]:
        """Return all records for the state dump, with ages in seconds."""
        self._drop_expired()
        now_s = self._clock()
        return [each.describe(now_s) for each in self._record_by_trait.values()]

    def _judge_record(self, record: TraitRecord, organisation: str | None) -> Judgement:
        now_s = self._clock()
        crashes = len(record.crashes)
        if record.news_s <= now_s - RECORD_TTL_S:
            return CLEAR
        end_s = record.conviction_s(organisation)
        if end_s is not None and end_s > now_s:
            return Judgement(Verdict.REFUSE, record.trait, crashes, end_s - now_s)
        if not record.suspected:
            return CLEAR
        left_s = self._probes.left_s(record, now_s)
        return Judgement(Verdict.SUSPECT, record.trait, crashes, left_s)

    def _is_sound(self, trait: Trait, now_s: float) -> bool:
        record = self._record_by_trait.get(trait)
        sound_s = latest(
            self._sound_s_by_trait.get(trait), record.sound_s if record else None
        )
        return sound_s is not None and sound_s >= now_s - SOUND_TTL_S

    def _record(self, trait: Trait) -> TraitRecord:
        """Return what is known of a trait, as a record."""
        record = self._live_record(trait, self._clock()) or TraitRecord(trait)
        return record.with_sound(self._sound_s_by_trait.get(trait))

    def _live_record(self, trait: Trait, now_s: float) -> TraitRecord | None:
        record = self._record_by_trait.get(trait)
        if record is not None and record.news_s <= now_s - RECORD_TTL_S:
            return None
        return record

    def _store(self, record: TraitRecord) -> None:
        self._record_by_trait[record.trait] = record
        self._suspect_services = None
        if len(self._record_by_trait) > MAX_TRAITS:
            by_rank = sorted(
                self._record_by_trait.values(),
                key=lambda each: (each.convicted, each.news_s),
            )
            for each in by_rank[:DROPPED_TOGETHER]:
                self._drop(each.trait)

    def _drop(self, trait: Trait) -> None:
        del self._record_by_trait[trait]
        self._probes.forget(trait)
        self._turn_by_trait.pop(trait, None)
        self._changed.pop(trait, None)
        self._suspect_services = None

    def _drop_expired(self) -> None:
        horizon_s = self._clock() - RECORD_TTL_S
        expired = [
            trait
            for trait, record in self._record_by_trait.items()
            if record.news_s <= horizon_s
        ]
        for trait in expired:
            self._drop(trait)

    def _keep_sound(self, trait: Trait, sound_s: float) -> None:
        """Keep when a part was sound, the latest at the end."""
        known_s = self._sound_s_by_trait.get(trait)
        if known_s is not None and known_s >= sound_s:
            return
        self._sound_s_by_trait.pop(trait, None)
        self._sound_s_by_trait[trait] = sound_s
        if len(self._sound_s_by_trait) > MAX_SOUND:
            del self._sound_s_by_trait[next(iter(self._sound_s_by_trait))]

    def _announce(self, traits: Iterable[Trait]) -> None:
        changed = dict.fromkeys(traits)
        if changed:
            self._changed.update(changed)
            self.on_change()


def _severity(judgement: Judgement) -> tuple[int, float, int]:
    order = (Verdict.CLEAR, Verdict.SUSPECT, Verdict.REFUSE)
    rank = order.index(judgement.verdict)
    return rank, judgement.retry_after_s, judgement.crashes


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
