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
    left = {each.trait: each for each in records}
    explaining: dict[Trait, TraitRecord] = {}
    explained: frozenset[str] = frozenset()
    while left:
        weight = max(each.weight for each in left.values())
        if weight < CONVICTION_WEIGHT:
            break
        found = _least_shared([each for each in left.values() if each.weight == weight])
        for each in found:
            explaining[each.trait] = left.pop(each.trait)
        explained = explained.union(*(each.runs for each in found))
        left = {trait: _without(each, explained) for trait, each in left.items()}
    return Explanation(explaining, explained)


def _least_shared(records: list[TraitRecord]) -> list[TraitRecord]:
    """Return the records with the most crashes that none of the others has."""
    count_by_run = Counter(run for each in records for run in each.runs)
    own_weights = [
        sum(crash.weight for crash in each.crashes if count_by_run[crash.run] == 1)
        for each in records
    ]
    most = max(own_weights)
    return [
        each
        for each, weight in zip(records, own_weights, strict=True)
        if weight == most
    ]


def _without(record: TraitRecord, explained: frozenset[str]) -> TraitRecord:
    """Return a record without the crashes that are explained."""
    if explained.isdisjoint(record.runs):
        return record
    crashes = tuple(crash for crash in record.crashes if crash.run not in explained)
    return evolve(record, crashes=crashes)
