"""Table of targets: registry entries and the health observed by this instance."""

import time
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from math import inf

from attrs import define, evolve, field, frozen
from celeryfork_routing.layers import LayerRange

from celeryfork_entry.engine_limits import EngineLimit, EngineLimits
from celeryfork_entry.engine_speeds import EngineSpeeds, Speed
from celeryfork_entry.list_changes import ListChanges
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.target_health import ReportedLayers, TargetHealth

FIRST_EXCLUSION_S = 0.5
"""Seconds for which a failed target is excluded before its next health check."""
MAX_EXCLUSION_S = 2.0
"""Upper bound in seconds of the exclusion, which doubles with each failed check."""
REFUSAL_BACKOFF_S = 0.3
"""Seconds for which an engine that refused work is avoided if others can do it."""
MAX_REFUSAL_BACKOFF_S = 2.4
"""Upper bound in seconds of the backoff after a refusal, which doubles with each one
while the target list is stale."""
REFUSALS_BEFORE_LEAVING_CHECK = 2
"""Consecutive refusals after which an engine is asked if it is leaving; an engine that
lacks memory for one request usually accepts the next."""
SUSPICION_TTL_S = 5.0
"""Seconds for which an engine reported down by a peer is only a last resort. An engine
that has gone leaves the target list within 3 s, including the list's usual lag."""
LEAVING_TTL_S = 5.0
"""Seconds for which an engine's report that it is leaving is valid; draining takes
2 s."""
LIST_LAG_S = 0.8
"""Age in seconds of an entry when it appears in the target list, as stated by the
platform."""
REPORTED_LAYERS_TTL_S = 10.0
"""Seconds for which layers reported by an engine are sent to peers: about forty of this
instance's reports."""
RESTORED_ENTRY_TTL_S = 5.0
"""Seconds after a restore of the store for which an entry of a target that had left is
not trusted; the entry of a dead one lapses sooner."""
ENDED_AFTER_S = 2.0
"""Seconds of exclusion after which a target that doesn't respond counts as terminated.
An instance that excluded it in error, as its own link or processor was
overloaded, corrects this earlier."""
MAX_LEFT = 2_000
"""Maximum number of targets that have left that are remembered."""
MAX_BACKOFF_DOUBLINGS = 4
"""Upper bound of the counter of refusals; a lower count gives the longest backoff."""
FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the moving average of a target's failures."""


@frozen
class Target:
    """One process that serves requests, as described by the target list.

    Parameters
    ----------
    held
        Layers of the model that it has loaded; None for none.
    entry_number
        Number of renewals of its entry since the process started.
    born_ms
        Wall-clock start time in ms, None if the target list doesn't state it.
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


class StartCause(Enum):
    """Why a target's ramp-up begins."""

    STARTED = "started"
    LAYERS = "layers"
    RECOVERED = "recovered"


@frozen
class Listed:
    """An entry of the target list was added or renewed."""

    target: Target


@frozen
class Unlisted:
    """The entry of a target was removed from the target list."""

    target_id: str


ListChange = Listed | Unlisted


@define
class TargetTable:
    """All listed targets with their health.

    Parameters
    ----------
    list_is_stale
        True if the target list can't be read, or may still name engines that left.
    position
        Position in the store's log up to which the list was read, by this instance or
        by the peer that it comes from; None if unknown.
    in_flight_by_id
        Number of plain calls of this instance in progress, by target.
    on_start
        Called with a target that can take requests and is new, has other layers, or
        answers again after it was excluded.
    """

    by_id: dict[str, Target] = field(factory=dict)
    _health_by_id: dict[str, TargetHealth] = field(factory=dict)
    in_flight_by_id: dict[str, int] = field(factory=dict)
    _expired: set[str] = field(factory=set)
    _left_by_process: dict[tuple[str, int | None], int] = field(factory=dict)
    _answered_leaving_s_by_process: dict[tuple[str, int | None], float] = field(
        factory=dict
    )
    _restored_s: float = -inf
    list_is_stale: bool = False
    position: LogPosition | None = None
    _clock: Callable[[], float] = time.monotonic
    changes: ListChanges = field(factory=ListChanges)
    speeds: EngineSpeeds = field(factory=EngineSpeeds)
    limits: EngineLimits = field(factory=EngineLimits)
    on_start: Callable[[Target, StartCause], None] = lambda target, cause: None

    def is_newer_than(self, position: LogPosition | None) -> bool:
        """Return True if the list was read later than one of a peer.

        Parameters
        ----------
        position
            Position up to which the peer's list was read. None, as from a peer of an
            earlier release, doesn't count as older.
        """
        if self.position is None or position is None:
            return False
        return position < self.position

    def is_of_earlier_era(self, position: LogPosition | None) -> bool:
        """Return True if the store was restored between the list and a position."""
        if self.position is None or position is None:
            return False
        return self.position.era < position.era

    def move_to(self, position: LogPosition | None) -> None:
        """Set the position of a list that is applied next."""
        if self.is_of_earlier_era(position):
            self._restored_s = self._clock()
        self.position = position

    def apply(
        self, changes: Iterable[ListChange], *, keep_expired: bool = False
    ) -> None:
        """Apply changes of the target list in order.

        Parameters
        ----------
        keep_expired
            If True, unlisted targets stay until :meth:`drop_expired`: entries expire
            while the store is unavailable, and are renewed soon after its return.
        """
        for change in changes:
            match change:
                case Listed(target):
                    self._apply_entry(target)
                case Unlisted(target_id) if keep_expired and target_id in self.by_id:
                    self._expired.add(target_id)
                case Unlisted(target_id):
                    self.forget(target_id)

    def replace_all(
        self, targets: Iterable[Target], *, keep_expired: bool = False
    ) -> None:
        """Apply a full target list; other targets are removed, or kept as expired."""
        listed = {target.id: target for target in targets}
        missing = [Unlisted(target_id) for target_id in set(self.by_id) - set(listed)]
        self.apply(missing, keep_expired=keep_expired)
        for target in listed.values():
            self._apply_entry(target)

    def drop_expired(self) -> list[str]:
        """Remove expired targets that were not listed again; return their ids."""
        expired = sorted(self._expired)
        for target_id in expired:
            self.forget(target_id)
        return expired

    def forget(self, target_id: str) -> None:
        """Remove a target, its health, its speed and its limit."""
        known = self.by_id.pop(target_id, None)
        if known is not None:
            self.changes.removed(target_id)
            self._record_left(known)
        health = self._health_by_id.pop(target_id, None)
        if known is not None and health is not None and health.answered_leaving_s > 0:
            answered = self._answered_leaving_s_by_process
            answered[known.id, known.born_ms] = health.answered_leaving_s
            if len(answered) > MAX_LEFT:
                del answered[next(iter(answered))]
        self.speeds.forget(target_id)
        self.limits.forget(target_id)
        self._expired.discard(target_id)

    def _record_left(self, target: Target) -> None:
        """Remember that a target is leaving or has left, and with which entry."""
        left = self._left_by_process
        left.pop((target.id, target.born_ms), None)
        left[target.id, target.born_ms] = target.entry_number
        if len(left) > MAX_LEFT:
            del left[next(iter(left))]

    def _restore_answered_leaving(self, target: Target) -> None:
        """Restore what a process that is listed again has answered of its leaving."""
        process = (target.id, target.born_ms)
        answered_s = self._answered_leaving_s_by_process.pop(process, None)
        if answered_s is None:
            return
        is_new = target.entry_number > self._left_by_process.get(process, -1)
        if not is_new or self._clock() - answered_s < LEAVING_TTL_S:
            self.health(target.id).answered_leaving_s = answered_s

    def _has_returned(self, target: Target) -> bool:
        """Return True if an entry is that of before its target left.

        A store that comes back from a copy lists targets that have left since.
        """
        if self._clock() - self._restored_s >= RESTORED_ENTRY_TTL_S:
            return False
        left = self._left_by_process.get((target.id, target.born_ms))
        return left is not None and target.entry_number <= left

    def _apply_entry(self, target: Target) -> None:
        known = self.by_id.get(target.id)
        if known is None:
            self._restore_answered_leaving(target)
        elif known.born_ms != target.born_ms:
            if (target.born_ms or 0) < (known.born_ms or 0):
                return
            self._health_by_id.pop(target.id, None)
            self.speeds.forget(target.id)
            self.limits.forget(target.id)
            self.health(target.id).listed_s = self._clock()
        elif target.entry_number < known.entry_number:
            return
        elif target.entry_number > known.entry_number:
            health = self.health(target.id)
            health.leaving = False
            if self._clock() - health.answered_leaving_s >= LEAVING_TTL_S:
                health.answered_leaving_s = 0.0
            target = self._merge_renewal(target, health)
        elif learnt := self.health(target.id).learnt:
            target = evolve(target, held=learnt.held)
        if target.draining:
            self._record_left(target)
        elif self._has_returned(target):
            self.mark_leaving(target.id, self._clock())
        self._update(target)
        self._expired.discard(target.id)

    def _update(self, target: Target) -> None:
        """Store a target; a renewal without other changes isn't a change for peers."""
        known = self.by_id.get(target.id)
        self.by_id[target.id] = target
        if known is None or known != evolve(target, entry_number=known.entry_number):
            self.changes.changed(target.id)
            is_new = known is None or known.born_ms != target.born_ms
            if is_new or (known and known.held != target.held):
                cause = StartCause.STARTED if is_new else StartCause.LAYERS
                self._report_start(target, cause)

    def _report_start(self, target: Target, cause: StartCause) -> None:
        """Report that a target begins to take requests; engines need layers for it."""
        takes_requests = target.accelerator is None or target.held is not None
        if takes_requests and not target.draining:
            self.on_start(target, cause)

    def _merge_renewal(self, target: Target, health: TargetHealth) -> Target:
        """Return a target as in its new entry, or with its reported layers if newer."""
        now_s = health.listed_s = self._clock()
        if health.learnt and health.learnt.at_s > now_s - LIST_LAG_S:
            return evolve(target, held=health.learnt.held)
        health.learnt = None
        return target

    def record_layers(self, target_id: str, learnt: ReportedLayers) -> bool:
        """Record the layers of an engine's report if it is newer than the entry.

        Returns
        -------
        bool
            True if the layers differ from those known before.
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
        self._update(evolve(known, held=learnt.held))
        return known.held != learnt.held

    def record_speed(self, target_id: str, speed: Speed) -> bool:
        """Record an engine's speed; return True if it turned slow or normal."""
        known = self.by_id.get(target_id)
        if known is None or known.born_ms not in {None, speed.born_ms}:
            return False
        return self.speeds.learn(target_id, speed)

    def record_limit(self, target_id: str, limit: EngineLimit) -> bool:
        """Record an engine's answer about its limit; return True if it changed."""
        known = self.by_id.get(target_id)
        if known is None or known.born_ms not in {None, limit.born_ms}:
            return False
        return self.limits.learn(target_id, limit)

    def slow_in(self, domain: str, now_s: float) -> list[str]:
        """Return the slow engines of a domain whose speed is due for a check."""
        return [
            target_id
            for target_id in self.speeds.due_for_check(now_s)
            if self.by_id[target_id].domain == domain
            and not self.health(target_id).excluded
        ]

    def own_reported_layers(self) -> dict[str, ReportedLayers]:
        """Return layers reported to this instance that differ from the target list."""
        since_s = self._clock() - REPORTED_LAYERS_TTL_S
        return {
            target_id: health.learnt
            for target_id, health in self._health_by_id.items()
            if health.learnt is not None
            and health.learnt.own
            and health.learnt.at_s > since_s
        }

    def not_leaving(self, service: str) -> list[Target]:
        """Return the listed targets of a service that aren't leaving."""
        return [
            target
            for target in self.by_id.values()
            if target.service == service and not self.is_leaving(target)
        ]

    def engines(self) -> list[Target]:
        """Return the listed targets that run models."""
        return [each for each in self.by_id.values() if each.accelerator is not None]

    def is_leaving(self, target: Target) -> bool:
        """Return True if a target is leaving, as its entry or its own report says."""
        return target.draining or self.health(target.id).is_leaving

    def mark_leaving(self, target_id: str, now_s: float) -> None:
        """Record a target's report that it is leaving, valid until its next entry."""
        health = self.health(target_id)
        health.leaving = True
        health.leaving_until_s = now_s + LEAVING_TTL_S

    def record_leaving(self, target: Target) -> bool:
        """Record that an answer of a target said that it is leaving.

        That holds for its process, as it says so in all its answers, until an entry
        that was read ``LEAVING_TTL_S`` later says otherwise; earlier ones may have been
        written before.

        Parameters
        ----------
        target
            The target as listed when the request was sent.

        Returns
        -------
        bool
            True if it wasn't known to leave.
        """
        known = self.by_id.get(target.id)
        if known is None or known.born_ms != target.born_ms:
            return False
        was_leaving, now_s = self.is_leaving(known), self._clock()
        if known.born_ms is None:
            # A restart under its id couldn't be told.
            self.mark_leaving(target.id, now_s)
        else:
            self.health(target.id).answered_leaving_s = now_s
        return not was_leaving

    def available(self, service: str) -> list[Target]:
        """Return the listed targets of a service that aren't excluded."""
        return [
            target
            for target in self.not_leaving(service)
            if not self.health(target.id).excluded
        ]

    def may_still_run(self, target_id: str, born_ms: int | None) -> bool:
        """Return True if the target started at ``born_ms`` may still run requests."""
        target = self.by_id.get(target_id)
        if target is None or target.born_ms != born_ms:
            return False
        health = self.health(target_id)
        excluded_for_s = self._clock() - health.marked_s
        return not health.excluded or (
            excluded_for_s < ENDED_AFTER_S and not health.ended
        )

    def health(self, target_id: str) -> TargetHealth:
        """Return the health of a target, creating it if absent."""
        health = self._health_by_id.get(target_id)
        if health is None:
            health = self._health_by_id[target_id] = TargetHealth()
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
        has_recovered = health.excluded and target_id in self.by_id
        health.hold_s = health.doubted_until_s = 0.0
        health.ended = False
        if has_recovered:
            self._report_start(self.by_id[target_id], StartCause.RECOVERED)

    def failed(self, target_id: str) -> None:
        """Record that the target answered with an error, or too late."""
        health = self.health(target_id)
        health.failed_share += FAILURE_WEIGHT * (1 - health.failed_share)

    def refused(self, target_id: str, now_s: float) -> bool:
        """Record that an engine refused work: it lacks memory, or is leaving.

        An engine that lacks memory soon accepts work again; one that is leaving
        continues to refuse.

        Returns
        -------
        bool
            True if it should be asked directly if it is leaving, since the target list
            is stale.
        """
        health = self.health(target_id)
        pause_s = REFUSAL_BACKOFF_S
        if self.list_is_stale:
            pause_s = min(MAX_REFUSAL_BACKOFF_S, pause_s * 2**health.refusals)
        health.refusals = min(MAX_BACKOFF_DOUBLINGS, health.refusals + 1)
        health.refused_until_s = now_s + pause_s
        return self.list_is_stale and health.refusals >= REFUSALS_BEFORE_LEAVING_CHECK

    def accepted(self, target_ids: Iterable[str]) -> None:
        """Record that engines have accepted work."""
        for target_id in target_ids:
            if target_id in self._health_by_id:
                health = self._health_by_id[target_id]
                health.refusals, health.doubted_until_s = 0, 0.0

    def suspect(self, target_id: str, now_s: float) -> None:
        """Suspect a target that a peer reported down, without a check of its own."""
        self.health(target_id).doubted_until_s = now_s + SUSPICION_TTL_S

    def exclude(
        self, target_id: str, reason: str, now_s: float, *, ended: bool = False
    ) -> bool:
        """Exclude a target; return True if it wasn't excluded before.

        Parameters
        ----------
        ended
            True if its process has certainly ended.
        """
        health = self.health(target_id)
        health.ended |= ended
        was_excluded = health.excluded
        health.hold_s = min(MAX_EXCLUSION_S, health.hold_s * 2 or FIRST_EXCLUSION_S)
        health.held_until_s = now_s + health.hold_s
        if not was_excluded:
            health.marked_s = now_s
            health.reason = reason
        return not was_excluded

    def due_for_check(self, now_s: float) -> list[Target]:
        """Return the excluded targets that are due for a health check.

        If all targets of a failure domain are excluded, only one of them is returned:
        most likely the whole domain is cut off.
        """
        due_by_domain: dict[str, list[Target]] = {}
        available_domains: set[str] = set()
        for target in self.by_id.values():
            health = self.health(target.id)
            health.leaving &= now_s < health.leaving_until_s
            if not health.excluded:
                available_domains.add(target.domain)
            elif now_s >= health.held_until_s:
                due_by_domain.setdefault(target.domain, []).append(target)
        selected: list[Target] = []
        for domain, due in due_by_domain.items():
            selected.extend(due if domain in available_domains else due[:1])
        return selected

    def check_domain_now(self, domain: str, now_s: float) -> None:
        """Make the excluded targets of a domain due at once: one of them answered."""
        for target in self.by_id.values():
            health = self.health(target.id)
            if target.domain == domain and health.excluded:
                health.held_until_s = now_s

    def counts_by_service(self) -> Mapping[str, int]:
        """Return the number of available targets by service."""
        counts: dict[str, int] = {}
        for target in self.by_id.values():
            if not self.is_leaving(target) and not self.health(target.id).excluded:
                counts[target.service] = counts.get(target.service, 0) + 1
        return counts
