"""The records of suspected traits, within a bound of memory."""

from attrs import define, field

from celeryfork_admission.crash_records import CONVICTION_WEIGHT, TraitRecord
from celeryfork_admission.explanations import Explanation, explain_crashes
from celeryfork_admission.probes import PROBE_S
from celeryfork_admission.traits import Trait, TraitKind

RECORD_TTL_S = 7200.0
MAX_TRAITS = 1_000
DROPPED_TOGETHER = 50
"""Records dropped at once beyond ``MAX_TRAITS``, since each drop sorts them all."""


@define
class TraitRecords:
    """Records by trait, also of traits that were cleared.

    A peer that was cut off may still suspect those.
    """

    _record_by_trait: dict[Trait, TraitRecord] = field(factory=dict)
    _turn_by_trait: dict[Trait, int] = field(factory=dict)
    """When :meth:`select` returned it last, by the count of calls."""
    _turn: int = 0
    _suspect_services: frozenset[str] | None = frozenset()
    _explanation: Explanation | None = field(factory=Explanation)
    _probed: dict[Trait, None] = field(factory=dict)
    """Traits with a probe that may still run."""

    def __bool__(self) -> bool:
        """Return True if there is any record."""
        return bool(self._record_by_trait)

    def get(self, trait: Trait, now_s: float) -> TraitRecord | None:
        """Return a trait's record; None if there is none, or only old news."""
        record = self._record_by_trait.get(trait)
        if record is None or record.news_s <= now_s - RECORD_TTL_S:
            return None
        return record

    def store(self, record: TraitRecord) -> None:
        """Add a record or replace the trait's last one.

        Beyond the bound, those with the oldest news are dropped: cleared ones first,
        convicted ones last.
        """
        self._record_by_trait[record.trait] = record
        if record.open_probe_s is not None:
            self._probed[record.trait] = None
        self._suspect_services = self._explanation = None
        if len(self._record_by_trait) > MAX_TRAITS:
            ranked = sorted(
                self._record_by_trait.values(),
                key=lambda each: (each.is_convicted, bool(each.crashes), each.news_s),
            )
            for each in ranked[:DROPPED_TOGETHER]:
                self._drop(each.trait)

    def renew_sound(self, record: TraitRecord, sound_s: float) -> None:
        """Record that a trait without counted crashes was sound again."""
        self._record_by_trait[record.trait] = TraitRecord(
            record.trait, (), sound_s, record.probe_s
        )

    def has_request_suspects(self, service: str) -> bool:
        """Return True if a request's own trait has crashes at a service."""
        if self._suspect_services is None:
            self._suspect_services = frozenset(
                trait.service
                for trait, record in self._record_by_trait.items()
                if trait.kind is TraitKind.REQUEST and record.crashes
            )
        return service in self._suspect_services

    @property
    def explanation(self) -> Explanation:
        """Traits that explain crashes, of all services."""
        if self._explanation is None:
            self._explanation = explain_crashes(
                each
                for each in self._record_by_trait.values()
                if each.weight >= CONVICTION_WEIGHT
            )
        return self._explanation

    def open_probes(self, now_s: float) -> list[TraitRecord]:
        """Return the records of the traits whose last probe may still run."""
        records = [self.get(trait, now_s) for trait in self._probed]
        running = [
            each
            for each in records
            if each is not None
            and each.open_probe_s is not None
            and each.open_probe_s > now_s - PROBE_S
        ]
        self._probed = {each.trait: None for each in running}
        return running

    def select(self, limit: int, now_s: float) -> list[TraitRecord]:
        """Return the records to be sent, at most ``limit``.

        Half are those with the newest evidence, suspected ones first; the others take
        turns.
        """
        ranked = sorted(
            self.all(now_s),
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

    def all(self, now_s: float) -> list[TraitRecord]:
        """Return all records, and drop those with only old news."""
        for trait in list(self._record_by_trait):
            if self.get(trait, now_s) is None:
                self._drop(trait)
        return list(self._record_by_trait.values())

    def _drop(self, trait: Trait) -> None:
        del self._record_by_trait[trait]
        self._turn_by_trait.pop(trait, None)
        self._probed.pop(trait, None)
        self._suspect_services = self._explanation = None
