"""Targets: what the list says of them and what their requests have shown."""

import time
from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field, frozen
from celeryfork_routing.layers import LayerRange

from celeryfork_entry.engine_speeds import EngineSpeeds, Speed
from celeryfork_entry.list_changes import ListChanges
from celeryfork_entry.target_health import ReportedLayers, TargetHealth

FIRST_HOLD_S = 0.5
"""Time a target that failed stays out of choice before it is asked again."""
LONGEST_HOLD_S = 2.0
"""Longest such time; it doubles with each failed question."""
REFUSAL_PAUSE_S = 0.3
"""Time that an engine which refused work is left out where others can do it."""
LONGEST_REFUSAL_PAUSE_S = 2.4
"""Longest such time: it doubles for one that goes on refusing while the list is old."""
REFUSALS_OF_LEAVING = 2
"""Refusals in a row after which an engine is asked whether it leaves; one that lacks
memory for one request mostly takes the next."""
DOUBTED_S = 5.0
"""Time for which a peer's word that an engine is down makes it the last choice; the
list drops one that is gone within 3 s, its usual lag included."""
LEAVING_LIFE_S = 5.0
"""Time that an engine's own word that it leaves counts for; draining takes 2 s."""
LIST_LAG_S = 0.8
"""Age of an entry when the list shows it, by the platform's own figure."""
LEARNT_TOLD_S = 10.0
"""Time for which what an engine has reported is told to peers: some forty reports."""
MOST_DOUBLINGS = 4
"""Doublings after which that time is reached in any case."""
FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in a target's share of failed answers."""


@frozen
class Target:
    """One process that serves requests, as the list describes it.

    Parameters
    ----------
    held
        Layers of the model that it holds; None for none.
    entry_number
        Grows with each renewal of its entry since its start.
    born_ms
        Wall clock of its start in ms, None where the list doesn't say.
    """

    id: str
    service: str
    address: str
    domain: str
    draining: bool = False
    accelerator: str | None = None
    held: LayerRange | None = None
    entry_number: int = 0
    born_ms: int | None = None
    slots: int = 0


@frozen
class Listed:
    """The list has an entry for a target, new or repeated."""

    target: Target


@frozen
class Unlisted:
    """The list has no entry for a target any more."""

    target_id: str


ListChange = Listed | Unlisted


@define
class TargetTable:
    """All listed targets with their standings.

    Parameters
    ----------
    list_is_stale
        Whether the list can't be read, or engines that left may still be in it.
    """

    by_id: dict[str, Target] = field(factory=dict)
    _standing_by_id: dict[str, TargetHealth] = field(factory=dict)
    in_flight_by_id: dict[str, int] = field(factory=dict)
    _lapsed: set[str] = field(factory=set)
    list_is_stale: bool = False
    _clock: Callable[[], float] = time.monotonic
    changes: ListChanges = field(factory=ListChanges)
    speeds: EngineSpeeds = field(factory=EngineSpeeds)

    def apply(self, changes: Iterable[ListChange], *, spare: bool = False) -> None:
        """Take changes of the list in their order.

        Parameters
        ----------
        spare
            Whether targets that are no longer listed stay until :meth:`drop_lapsed`:
            entries lapse while the store is away, and come back soon after.
        """
        for change in changes:
            match change:
                case Listed(target):
                    self._list(target)
                case Unlisted(target_id) if spare and target_id in self.by_id:
                    self._lapsed.add(target_id)
                case Unlisted(target_id):
                    self.forget(target_id)

    def replace_all(self, targets: Iterable[Target], *, spare: bool = False) -> None:
        """Take a whole list; what isn't in it is gone, or spared."""
        listed = {target.id: target for target in targets}
        missing = [Unlisted(target_id) for target_id in set(self.by_id) - set(listed)]
        self.apply(missing, spare=spare)
        for target in listed.values():
            self._list(target)

    def drop_lapsed(self) -> list[str]:
        """Forget the spared targets that were not listed again; return their ids."""
        lapsed = sorted(self._lapsed)
        for target_id in lapsed:
            self.forget(target_id)
        return lapsed

    def forget(self, target_id: str) -> None:
        """Drop a target and what was seen of it."""
        if self.by_id.pop(target_id, None) is not None:
            self.changes.left(target_id)
        self._standing_by_id.pop(target_id, None)
        self.speeds.forget(target_id)
        self._lapsed.discard(target_id)

    def _list(self, target: Target) -> None:
        known = self.by_id.get(target.id)
        if known is not None and known.born_ms != target.born_ms:
            if (target.born_ms or 0) < (known.born_ms or 0):
                return
            self._standing_by_id.pop(target.id, None)
            self.speeds.forget(target.id)
            self.health(target.id).listed_s = self._clock()
        elif known is not None and target.entry_number < known.entry_number:
            return
        elif known is not None and target.entry_number > known.entry_number:
            health = self.health(target.id)
            health.leaving = False
            target = self._renewed(target, health)
        elif known is not None and (learnt := self.health(target.id).learnt):
            target = evolve(target, held=learnt.held)
        self._put(target)
        self._lapsed.discard(target.id)

    def _put(self, target: Target) -> None:
        """Keep a target; a mere renewal of its entry is no change to others."""
        known = self.by_id.get(target.id)
        self.by_id[target.id] = target
        if known is None or known != evolve(target, entry_number=known.entry_number):
            self.changes.changed(target.id)

    def _renewed(self, target: Target, health: TargetHealth) -> Target:
        """Return a target by its new entry, or by its report where that is newer."""
        now_s = health.listed_s = self._clock()
        if health.learnt and health.learnt.at_s > now_s - LIST_LAG_S:
            return evolve(target, held=health.learnt.held)
        health.learnt = None
        return target

    def record_layers(self, target_id: str, learnt: ReportedLayers) -> bool:
        """Take what an engine holds by its report, if that is newer than its entry.

        Returns
        -------
        bool
            Whether that is new.
        """
        known = self.by_id.get(target_id)
        if known is None or known.born_ms != learnt.born_ms:
            return False
        health = self.health(target_id)
        newest_s = health.learnt.at_s if health.learnt else health.listed_s
        if learnt.at_s <= newest_s:
            return False
        if known.held == learnt.held and health.learnt is None:
            return False
        health.learnt = learnt
        self._put(evolve(known, held=learnt.held))
        return known.held != learnt.held

    def record_speed(self, target_id: str, speed: Speed) -> bool:
        """Take an engine's speed; return whether it has turned slow or sound by it."""
        known = self.by_id.get(target_id)
        if known is None or known.born_ms not in {None, speed.born_ms}:
            return False
        return self.speeds.learn(target_id, speed)

    def slow_in(self, domain: str, now_s: float) -> list[str]:
        """Return the slow engines of a domain that are to be asked again."""
        return [
            target_id
            for target_id in self.speeds.due_for_check(now_s)
            if self.by_id[target_id].domain == domain
            and not self.health(target_id).excluded
        ]

    def own_reported_layers(self) -> dict[str, ReportedLayers]:
        """Return what engines reported to this instance and the list doesn't say."""
        since_s = self._clock() - LEARNT_TOLD_S
        return {
            target_id: health.learnt
            for target_id, health in self._standing_by_id.items()
            if health.learnt is not None
            and health.learnt.own
            and health.learnt.at_s > since_s
        }

    def listed(self, service: str) -> list[Target]:
        """Return the targets of a service that aren't leaving."""
        return [
            target
            for target in self.by_id.values()
            if target.service == service and not self.is_leaving(target)
        ]

    def engines(self) -> list[Target]:
        """Return the listed targets that run models."""
        return [each for each in self.by_id.values() if each.accelerator is not None]

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target takes no new work, by the list or its own word."""
        return target.draining or self.health(target.id).leaving

    def mark_leaving(self, target_id: str, now_s: float) -> None:
        """Record a target's own word; the next entry that it writes replaces it."""
        health = self.health(target_id)
        health.leaving = True
        health.leaving_until_s = now_s + LEAVING_LIFE_S

    def available(self, service: str) -> list[Target]:
        """Return those of them that nothing speaks against."""
        return [
            target
            for target in self.listed(service)
            if not self.health(target.id).excluded
        ]

    def health(self, target_id: str) -> TargetHealth:
        """Return what was seen of a target."""
        health = self._standing_by_id.get(target_id)
        if health is None:
            health = self._standing_by_id[target_id] = TargetHealth()
        return health

    def by_address(self, address: str) -> Target | None:
        """Return the target at an address."""
        for target in self.by_id.values():
            if target.address == address:
                return target
        return None

    def succeeded(self, target_id: str) -> None:
        """Record that the target has answered."""
        health = self.health(target_id)
        health.failed_share *= 1 - FAILURE_WEIGHT
        health.hold_s = health.doubted_until_s = 0.0
        health.ended = False

    def failed(self, target_id: str) -> None:
        """Record that the target answered with a failure, or too late."""
        health = self.health(target_id)
        health.failed_share += FAILURE_WEIGHT * (1 - health.failed_share)

    def refused(self, target_id: str, now_s: float) -> bool:
        """Record that an engine refused work, by its memory or because it leaves.

        One without memory has some again soon. One that leaves refuses on.

        Returns
        -------
        bool
            Whether it should be asked if it leaves, since the list can't say so.
        """
        health = self.health(target_id)
        pause_s = REFUSAL_PAUSE_S
        if self.list_is_stale:
            pause_s = min(LONGEST_REFUSAL_PAUSE_S, pause_s * 2**health.refusals)
        health.refusals = min(MOST_DOUBLINGS, health.refusals + 1)
        health.refused_until_s = now_s + pause_s
        return self.list_is_stale and health.refusals >= REFUSALS_OF_LEAVING

    def accepted(self, target_ids: Iterable[str]) -> None:
        """Record that engines have taken work."""
        for target_id in target_ids:
            if target_id in self._standing_by_id:
                health = self._standing_by_id[target_id]
                health.refusals, health.doubted_until_s = 0, 0.0

    def suspect(self, target_id: str, now_s: float) -> None:
        """Record a peer's word that a target is down, which isn't asked itself."""
        self.health(target_id).doubted_until_s = now_s + DOUBTED_S

    def exclude(
        self, target_id: str, reason: str, now_s: float, *, ended: bool = False
    ) -> bool:
        """Put a target out of choice; return whether it was in choice before.

        Parameters
        ----------
        ended
            Whether its process has ended for certain.
        """
        health = self.health(target_id)
        health.ended |= ended
        was_held = health.excluded
        health.hold_s = min(LONGEST_HOLD_S, health.hold_s * 2 or FIRST_HOLD_S)
        health.held_until_s = now_s + health.hold_s
        if not was_held:
            health.marked_s = now_s
            health.reason = reason
        return not was_held

    def due_for_check(self, now_s: float) -> list[Target]:
        """Return the targets out of choice that should be asked whether they serve.

        Of a failure domain whose targets are all out of choice, one is asked: most
        likely the domain is cut off.
        """
        due_by_domain: dict[str, list[Target]] = {}
        lit_domains: set[str] = set()
        for target in self.by_id.values():
            health = self.health(target.id)
            health.leaving &= now_s < health.leaving_until_s
            if not health.excluded:
                lit_domains.add(target.domain)
            elif now_s >= health.held_until_s:
                due_by_domain.setdefault(target.domain, []).append(target)
        asked: list[Target] = []
        for domain, due in due_by_domain.items():
            asked.extend(due if domain in lit_domains else due[:1])
        return asked

    def check_domain_now(self, domain: str, now_s: float) -> None:
        """Have all targets of a domain asked, since one of them answers again."""
        for target in self.by_id.values():
            health = self.health(target.id)
            if target.domain == domain and health.excluded:
                health.held_until_s = now_s

    def counts_by_service(self) -> Mapping[str, int]:
        """Return the number of targets in choice by service."""
        counts: dict[str, int] = {}
        for target in self.by_id.values():
            if not self.is_leaving(target) and not self.health(target.id).excluded:
                counts[target.service] = counts.get(target.service, 0) + 1
        return counts
