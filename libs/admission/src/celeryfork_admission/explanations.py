"""Attributes crashes to the fewest traits that explain them.

An engine that ends has dozens of requests that were about to write. Their traits are
all counted, and some of these requests are on the next engine that ends too. The trait
with the most crashes explains these, so that they don't count against the others.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from attrs import evolve, field, frozen

from celeryfork_admission.crash_records import (
    CONVICTION_WEIGHT,
    PROBE_WEIGHT,
    TraitRecord,
)
from celeryfork_admission.traits import Trait, TraitKind

CERTAIN_WEIGHT = CONVICTION_WEIGHT + PROBE_WEIGHT
"""Sum of the weights of crashes from which a trait is refused whatever else explains
them."""


@frozen
class Explanation:
    """Traits that explain crashes.

    Parameters
    ----------
    record_by_trait
        Records of these traits, with the crashes that no trait before them explains.
    crashes
        Ids of the crashes that they explain.
    """

    record_by_trait: Mapping[Trait, TraitRecord] = field(factory=dict)
    crashes: frozenset[str] = frozenset()

    def unexplained(self, record: TraitRecord) -> TraitRecord:
        """Return a record with the crashes that count against its trait."""
        explaining = self.record_by_trait.get(record.trait)
        return _without(record, self.crashes) if explaining is None else explaining

    def is_likely_cause(self, trait: Trait, traits: Collection[Trait]) -> bool:
        """Return True if a request probably has the trait that caused the crashes.

        Parts that explain the same crashes are equally likely; the request needs more
        than half of them, until the crash of a further probe. Else parts that share
        every crash of the cause would hide it. A request's own trait is on all of its
        crashes, and doesn't count beside its parts.

        Parameters
        ----------
        trait
            One that explains crashes.
        traits
            Those of the request.
        """
        record = self.record_by_trait[trait]
        if record.weight >= CERTAIN_WEIGHT:
            return True
        equal = [
            other.trait
            for other in self.record_by_trait.values()
            if other.runs == record.runs and other.trait.kind is TraitKind.PART
        ]
        return 2 * sum(each in traits for each in equal) > len(equal) or not equal


def explain_crashes(records: Iterable[TraitRecord]) -> Explanation:
    """Return the traits that explain crashes, those with the most crashes first.

    Of traits with equally many crashes those go first that share the fewest of them.
    Traits with the same crashes count alike: which of them ended the engines isn't
    known. The result doesn't depend on the order of the records.
    """
    left = _Unexplained.of(records)
    explaining: dict[Trait, TraitRecord] = {}
    explained: frozenset[str] = frozenset()
    while found := left.heaviest():
        for trait in found:
            explaining[trait] = _without(left.record_by_trait[trait], explained)
        newly = frozenset[str]().union(*(left.weight_by_run[each] for each in found))
        left.remove(found, newly)
        explained |= newly
    return Explanation(explaining, explained)


@frozen
class _Unexplained:
    """Traits that may explain crashes, and the crashes that none explains yet.

    Parameters
    ----------
    record_by_trait
        All records.
    weight_by_run
        Weight of each of its crashes, by trait.
    weight_by_trait
        Sum of these, for traits that may explain them.
    traits_by_run
        Traits of each crash.
    """

    record_by_trait: dict[Trait, TraitRecord]
    weight_by_run: dict[Trait, dict[str, int]]
    weight_by_trait: dict[Trait, int]
    traits_by_run: dict[str, list[Trait]]

    @staticmethod
    def of(records: Iterable[TraitRecord]) -> "_Unexplained":
        """Return all crashes of records."""
        record_by_trait = {each.trait: each for each in records}
        weight_by_run: dict[Trait, dict[str, int]] = {}
        weight_by_trait: dict[Trait, int] = {}
        traits_by_run: dict[str, list[Trait]] = {}
        for trait, record in record_by_trait.items():
            weights = {each.run: each.weight for each in record.crashes}
            if (weight := sum(weights.values())) < CONVICTION_WEIGHT:
                continue
            weight_by_run[trait], weight_by_trait[trait] = weights, weight
            for run in weights:
                traits_by_run.setdefault(run, []).append(trait)
        return _Unexplained(
            record_by_trait, weight_by_run, weight_by_trait, traits_by_run
        )

    def heaviest(self) -> list[Trait]:
        """Return the traits that explain the most, and share the fewest crashes."""
        most = max(self.weight_by_trait.values(), default=0)
        found = [
            each for each, weight in self.weight_by_trait.items() if weight == most
        ]
        if len(found) <= 1:
            return found
        count_by_run = Counter(
            run for each in found for run in self.weight_by_run[each]
        )
        own_weights = [
            sum(
                weight
                for run, weight in self.weight_by_run[each].items()
                if count_by_run[run] == 1
            )
            for each in found
        ]
        most = max(own_weights)
        return [
            each
            for each, weight in zip(found, own_weights, strict=True)
            if weight == most
        ]

    def remove(self, traits: Iterable[Trait], runs: Iterable[str]) -> None:
        """Remove traits, and crashes that they explain."""
        for trait in traits:
            del self.weight_by_trait[trait]
        for run in runs:
            for trait in self.traits_by_run.pop(run):
                if trait not in self.weight_by_trait:
                    continue
                self.weight_by_trait[trait] -= self.weight_by_run[trait].pop(run)
                if self.weight_by_trait[trait] < CONVICTION_WEIGHT:
                    del self.weight_by_trait[trait]


def _without(record: TraitRecord, explained: frozenset[str]) -> TraitRecord:
    """Return a record without the crashes that are explained."""
    if explained.isdisjoint(record.runs):
        return record
    crashes = tuple(crash for crash in record.crashes if crash.run not in explained)
    return evolve(record, crashes=crashes)
