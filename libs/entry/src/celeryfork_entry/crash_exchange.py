"""What peers know of the evidence of crashes, so that each gets what it lacks.

An instance announces changes at once: a follower to the relays of its domain, a relay
to the members of its domain and to the relays of others. Messages may be lost and
instances may restart, so that evidence is also sent again: by the lead relay all of it,
by the others what the relays of the domain don't repeat.
"""

from collections.abc import Iterable
from typing import TypeVar

from attrs import define, field, frozen
from celeryfork_admission.crash_evidence import Trait, TraitRecord

MAX_TRACKED = 2_000
"""Number of traits whose exchange is remembered, twice what an instance keeps."""
RELAY_PATIENCE = 10
"""Number of reports after which a relay tells the others evidence that the lead relay
doesn't repeat, as the lead relay may have restarted; longer than one resend period."""
FOLLOWER_PATIENCE = 20
"""The same for a follower: after the relays, which are fewer."""
REPORTS_PER_RECORD = 2
"""Number of reports by which each record of the evidence lengthens the patience, as
records take turns in what is sent again."""

Value = TypeVar("Value")


@frozen
class _Heard:
    """Record that a relay of the domain repeated, and the number of reports then."""

    record: TraitRecord
    reports: int


@define(eq=False)
class CrashExchange:
    """Decides which records of crash evidence to send to whom.

    The domain stands for the peers to which this instance sends within it: the relays,
    if it is a follower, else all its members.
    """

    _domain: dict[Trait, TraitRecord] = field(factory=dict)
    _others: dict[Trait, TraitRecord] = field(factory=dict)
    _heard: dict[Trait, _Heard] = field(factory=dict)

    def record_report(self, records: Iterable[TraitRecord]) -> None:
        """Record what a member of the domain sent to this instance as to a relay.

        One that counts crashes which the domain was told to be cleared has missed that.
        """
        for record in records:
            known = self._domain.get(record.trait)
            if known and not record.runs <= record.merge(known).runs:
                del self._domain[record.trait]

    def record_domain_digest(
        self, records: Iterable[TraitRecord], reports: int, *, is_relay: bool
    ) -> None:
        """Record what a relay of the domain sent.

        A relay of the domain has told other domains too; a relay still sends it on to
        its followers, so that one lost datagram delays no follower.
        """
        for record in records:
            _keep(self._heard, record.trait, _Heard(record, reports))
            known = self._others if is_relay else self._domain
            _keep(known, record.trait, record)

    def record_remote_digest(self, records: Iterable[TraitRecord]) -> None:
        """Record what a relay of another domain sent."""
        for record in records:
            _keep(self._others, record.trait, record)

    def lacking_in_domain(self, records: Iterable[TraitRecord]) -> list[TraitRecord]:
        """Return the records that the domain lacks, and take them for sent."""
        return _take_lacking(records, self._domain)

    def lacking_elsewhere(self, records: Iterable[TraitRecord]) -> list[TraitRecord]:
        """Return the records that other domains lack, and take them for sent."""
        return _take_lacking(records, self._others)

    def unheard(
        self, records: Iterable[TraitRecord], reports: int, *, is_relay: bool
    ) -> list[TraitRecord]:
        """Return the records that the relays of the domain didn't repeat recently."""
        patience = RELAY_PATIENCE if is_relay else FOLLOWER_PATIENCE
        since = reports - patience - REPORTS_PER_RECORD * len(self._heard)
        return [
            record
            for record in records
            if (heard := self._heard.get(record.trait)) is None
            or heard.reports < since
            or _lacks(heard.record, record)
        ]


def _keep(by_trait: dict[Trait, Value], trait: Trait, value: Value) -> None:
    by_trait.pop(trait, None)
    by_trait[trait] = value
    if len(by_trait) > MAX_TRACKED:
        del by_trait[next(iter(by_trait))]


def _take_lacking(
    records: Iterable[TraitRecord], known: dict[Trait, TraitRecord]
) -> list[TraitRecord]:
    lacking = []
    for record in records:
        sent = known.get(record.trait)
        if sent is None or _lacks(sent, record):
            merged = record if sent is None else sent.merge(record)
            _keep(known, record.trait, merged)
            lacking.append(record)
    return lacking


def _lacks(known: TraitRecord, record: TraitRecord) -> bool:
    """Return True if a record adds to the known one, or clears it.

    Other times of what is known are no news, since each message moves them.
    """
    merged = known.merge(record)
    return merged.runs != known.runs or _began_later(merged.probe_s, known.probe_s)


def _began_later(probe_s: float | None, known_s: float | None) -> bool:
    return probe_s is not None and (known_s is None or probe_s > known_s)
