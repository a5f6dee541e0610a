"""The targets that requests of this instance may be sent to.

The view combines three sources: the instance list (which lags and may be stale, empty
or unavailable), the observations of this instance, and gossip updates from peers. A
leaving target becomes ineligible as soon as any source says so. A failing target
becomes ineligible when its circuit breaker opens, unless it is the last one for some
layer of a model or for a service.
"""

import threading
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_membership.circuit import CircuitState
from celeryfork_membership.observations import (
    Draining,
    Observation,
    Refused,
    Reset,
    Stalled,
    Succeeded,
)
from celeryfork_membership.target import (
    ROLES,
    Target,
    decode_target,
    encode_target,
    target_from_instance,
    update_subject,
)
from celeryfork_membership.target_table import (
    UNLISTED_GRACE_S,
    TargetEntry,
    TargetTable,
)
from celeryfork_membership.update_store import UpdateStore

if TYPE_CHECKING:
    from celeryfork_platform.model import Instance, InstanceList

__all__ = [
    "Draining",
    "Observation",
    "Refused",
    "Reset",
    "Stalled",
    "Succeeded",
    "Target",
    "TargetView",
    "make_target_view",
]

FAILING_KIND = "target_out"
LEAVING_KIND = "target_leaving"
NEW_TARGET_KIND = "target_new"
FAILING_TTL_S = 10.0
LEAVING_TTL_S = 600.0
NEW_TARGET_TTL_S = 3600.0
MAX_NEW_TARGETS_PER_LIST = 32
LEAVING_RETRY_S = 30.0
MAX_LEAVING_RETRY_DOUBLINGS = 5
OWN_SUCCESS_PRECEDENCE_S = 2.0
SHRUNK_LIST_GRACE_S = 30.0
SHRUNK_LIST_SHARE = 0.5

_log = Logger("membership")


class TargetView:
    """State of all targets as known to this instance; thread-safe.

    Use `make_target_view`.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        updates: UpdateStore,
        domain: str,
        seed: int,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._updates = updates
        self._domain = domain
        self._random = Random(seed)
        self._lock = threading.RLock()
        self._table = TargetTable(clock, counters)
        self._list_version = -1
        self._callbacks: list[Callable[[], None]] = []
        updates.subscribe(LEAVING_KIND, self._handle_leaving_update)
        updates.subscribe(FAILING_KIND, self._handle_failing_update)
        updates.subscribe(NEW_TARGET_KIND, self._handle_new_target_update)

    @property
    def revision(self) -> int:
        """Number that increases whenever `eligible_targets` may have changed."""
        self._advance()
        return self._table.revision

    def eligible_targets(self, target_name: str) -> Sequence[Target]:
        """Return the targets of a model or service that new work may be sent to."""
        self._advance()
        cached = self._table.eligible_by_name.get(target_name)
        if cached is not None:
            return cached
        with self._lock:
            return self._table.eligible_targets(target_name)

    def usable(self, target_id: str) -> bool:
        """Return True if new work may be sent to the target now."""
        target = self.get(target_id)
        if target is None:
            return False
        return any(t.id == target_id for t in self.eligible_targets(target.target))

    def get(self, target_id: str) -> Target | None:
        """Return a target by id, eligible or not, None if it is unknown."""
        entry = self._table.entries_by_id.get(target_id)
        return None if entry is None else entry.target

    def last_resorts(self, target_name: str) -> frozenset[str]:
        """Return the ids of unhealthy targets that stay eligible for lack of others."""
        self.eligible_targets(target_name)
        return self._table.last_resorts_by_name.get(target_name, frozenset())

    def targets(self) -> list[Target]:
        """Return all known targets, eligible or not."""
        with self._lock:
            return [entry.target for entry in self._table.entries_by_id.values()]

    def unhealthy_ids(self) -> list[str]:
        """Return the ids of targets that are leaving, unlisted or failing."""
        with self._lock:
            return list(self._table.unhealthy_by_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` whenever eligible targets may have changed."""
        self._callbacks.append(callback)

    def update_from_list(self, instances: "InstanceList") -> None:
        """Apply a version of the instance list.

        An empty list, or one older than the last, changes nothing.
        """
        if not instances.by_id:
            self._counters.add("targets.list_empty")
            return
        with self._lock:
            if instances.version < self._list_version:
                self._counters.add("targets.list_stale")
                return
            is_first_list = self._list_version < 0
            self._list_version = instances.version
            revision_before = self._table.revision
            new_entries: list[TargetEntry] = []
            for instance in instances.by_id.values():
                if instance.role in ROLES:
                    self._merge(instance, new_entries)
            self._mark_unlisted(instances)
            changed = self._table.revision != revision_before
            if not is_first_list:
                self._publish_new_targets(new_entries)
        self._notify(changed)

    def observe(self, target_id: str, observation: Observation) -> None:
        """Record the outcome of an attempt on a target."""
        with self._lock:
            entry = self._table.entries_by_id.get(target_id)
            if entry is None:
                self._counters.add("targets.observed_unknown")
                return
            changed = self._observe(entry, observation)
            if changed:
                self._table.mark_changed(entry)
        self._notify(changed)

    def confirm_live(self, target_id: str, incarnation: int | None = None) -> None:
        """Withdraw an observation that a target is leaving.

        Called when the target itself reports that it accepts work. Other reasons for
        which it is ineligible, such as an open circuit, remain.

        Parameters
        ----------
        target_id
            Id of the target.
        incarnation
            Incarnation that sent the report. If the known target has another one,
            nothing changes.
        """
        with self._lock:
            entry = self._table.entries_by_id.get(target_id)
            if entry is None or not entry.observed_leaving:
                return
            if incarnation is not None and incarnation != entry.target.incarnation:
                return
            entry.observed_leaving = False
            entry.retry_leaving_s = float("inf")
            self._table.mark_changed(entry)
        self._notify(True)

    def begin_trial(self, target_id: str) -> None:
        """Start the trial of a half-open target; it is ineligible until the outcome."""
        self._advance()
        with self._lock:
            entry = self._table.entries_by_id.get(target_id)
            if entry is None:
                return
            if not entry.circuit.begin_trial(self._clock.monotonic()):
                return
            self._counters.add("targets.trials")
            self._table.mark_changed(entry)
        self._notify(True)

    def is_half_open(self, target_id: str) -> bool:
        """Return True if the next request to the target is its trial."""
        entry = self._table.unhealthy_by_id.get(target_id)
        return entry is not None and entry.circuit.state is CircuitState.HALF_OPEN

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump: counts, and each unhealthy target."""
        now_s = self._clock.monotonic()
        with self._lock:
            table = self._table
            return {
                "list_version": self._list_version,
                "revision": table.revision,
                "known_by_name": {n: len(e) for n, e in table.entries_by_name.items()},
                "last_resorts_by_name": {
                    name: sorted(ids)
                    for name, ids in table.last_resorts_by_name.items()
                    if ids
                },
                "ailing": {
                    target_id: _describe(entry, now_s)
                    for target_id, entry in table.unhealthy_by_id.items()
                },
            }

    def _merge(self, instance: "Instance", new_entries: list[TargetEntry]) -> None:
        """Apply a list entry; append a new or changed target to ``new_entries``."""
        entry = self._table.entries_by_id.get(instance.id)
        if entry is not None and entry.listed and entry.source == instance:
            return
        if entry is not None and instance.incarnation < entry.target.incarnation:
            self._counters.add("targets.list_old_incarnation")
            return
        target = target_from_instance(instance)
        if target is None:
            self._counters.add("targets.malformed")
            return
        if entry is None or entry.target != target:
            entry = self._update_target(entry, target)
            new_entries.append(entry)
        entry.source = instance
        entry.listed = True
        leaving = instance.state == "leaving"
        if leaving and not entry.listed_leaving:
            self._publish(LEAVING_KIND, entry, LEAVING_TTL_S)
        entry.listed_leaving = leaving
        self._table.mark_changed(entry)

    def _update_target(self, known: TargetEntry | None, target: Target) -> TargetEntry:
        """Store a new target, a new incarnation, or changed data of the same one."""
        entry = TargetEntry(target)
        if known is not None and known.target.incarnation == target.incarnation:
            self._table.remove(known)
            known.target = target
            entry = known
        elif self._updates.version_of(LEAVING_KIND, update_subject(target)) is not None:
            self._mark_observed_leaving(entry)
        self._table.put(entry)
        return entry

    def _mark_unlisted(self, instances: "InstanceList") -> None:
        """Start the grace period of targets that the list no longer contains.

        It is longer if more than `SHRUNK_LIST_SHARE` of the targets vanished at once.
        """
        entries = self._table.entries_by_id.values()
        listed = [
            entry
            for entry in entries
            if entry.listed and entry.listed_in_version <= instances.version
        ]
        newly_unlisted = [
            entry for entry in listed if entry.target.id not in instances.by_id
        ]
        shrunk = len(newly_unlisted) > len(listed) * SHRUNK_LIST_SHARE
        if shrunk:
            self._counters.add("targets.list_shrunk")
        now_s = self._clock.monotonic()
        for entry in newly_unlisted:
            entry.listed = False
            entry.unlisted_s = now_s
            entry.unlisted_grace_s = SHRUNK_LIST_GRACE_S if shrunk else UNLISTED_GRACE_S
            self._table.mark_changed(entry)

    def _observe(self, entry: TargetEntry, observation: Observation) -> bool:
        """Record an observation; return True if eligibility may have changed."""
        now_s = self._clock.monotonic()
        match observation:
            case Succeeded():
                return self._record_success(entry, now_s)
            case Draining():
                return self._record_draining(entry)
            case Refused():
                return self._record_failure(entry, now_s, conclusive=True)
            case Reset() | Stalled():
                return self._record_failure(entry, now_s, conclusive=False)

    def _record_success(self, entry: TargetEntry, now_s: float) -> bool:
        was_missing = entry.missing(now_s)
        newly_closed = entry.circuit.record_success(now_s)
        if newly_closed:
            entry.leaving_retries = 0
            self._counters.add("targets.closed")
            _log.info("target {} works again; circuit closed", entry.target.id)
        return newly_closed or was_missing

    def _record_draining(self, entry: TargetEntry) -> bool:
        newly_leaving = not entry.leaving
        self._mark_observed_leaving(entry)
        if newly_leaving:
            self._counters.add("targets.drained")
            _log.info(
                "target {} is leaving; no new work is sent to it", entry.target.id
            )
            self._publish(LEAVING_KIND, entry, LEAVING_TTL_S)
        return newly_leaving

    def _record_failure(
        self, entry: TargetEntry, now_s: float, *, conclusive: bool
    ) -> bool:
        self._counters.add("targets.failures")
        if not entry.circuit.record_failure(now_s, self._random, conclusive=conclusive):
            return False
        self._counters.add("targets.opened")
        _log.warning("target {} failed; circuit opened", entry.target.id)
        self._publish(FAILING_KIND, entry, FAILING_TTL_S)
        return True

    def _mark_observed_leaving(self, entry: TargetEntry) -> None:
        doublings = min(entry.leaving_retries, MAX_LEAVING_RETRY_DOUBLINGS)
        wait_s = LEAVING_RETRY_S * 2**doublings
        entry.observed_leaving = True
        entry.retry_leaving_s = self._clock.monotonic() + wait_s

    def _handle_leaving_update(
        self, subject: str, body: dict[str, Any], _: str
    ) -> None:
        with self._lock:
            entry = self._entry_of(subject)
            if entry is None or entry.leaving:
                return
            self._mark_observed_leaving(entry)
            self._table.mark_changed(entry)
        self._counters.add("targets.left_by_news")
        self._notify(True)

    def _publish_new_targets(self, new_entries: Sequence[TargetEntry]) -> None:
        """Announce targets first seen in this list to the peers.

        Peers fetch a long list only rarely and would see them late.
        """
        for entry in new_entries[:MAX_NEW_TARGETS_PER_LIST]:
            if entry.leaving:
                continue
            subject = update_subject(entry.target)
            if self._updates.version_of(NEW_TARGET_KIND, subject) is not None:
                continue
            body = encode_target(entry.target, self._list_version)
            self._updates.publish(NEW_TARGET_KIND, subject, body, NEW_TARGET_TTL_S)

    def _handle_new_target_update(
        self, subject: str, body: dict[str, Any], _: str
    ) -> None:
        """Store a target from a newer instance list that a peer has fetched."""
        decoded = decode_target(subject, body)
        if decoded is None:
            self._counters.add("targets.malformed")
            return
        target, listed_in = decoded
        with self._lock:
            known = self._table.entries_by_id.get(target.id)
            newer = known is None or known.target.incarnation < target.incarnation
            if not newer or listed_in <= self._list_version:
                return
            entry = self._update_target(known, target)
            entry.listed_in_version = listed_in
        self._counters.add("targets.new_by_news")
        self._notify(True)

    def _handle_failing_update(
        self, subject: str, body: dict[str, Any], _: str
    ) -> None:
        """Open the circuit of a target that a peer of the same domain found failing.

        The report is ignored if this instance had a success with the target within the
        last `OWN_SUCCESS_PRECEDENCE_S` seconds.
        """
        if self._domain and body.get("domain") not in ("", self._domain):
            return  # the link between domains may have failed, not the target
        now_s = self._clock.monotonic()
        with self._lock:
            entry = self._entry_of(subject)
            if entry is None or entry.circuit.state is not CircuitState.CLOSED:
                return
            if now_s - entry.circuit.succeeded_s < OWN_SUCCESS_PRECEDENCE_S:
                return
            entry.circuit.open(now_s, self._random)
            self._table.mark_changed(entry)
        self._counters.add("targets.opened_by_news")
        self._notify(True)

    def _entry_of(self, subject: str) -> TargetEntry | None:
        """Return the entry for the subject of an update.

        Returns None if the target is unknown or has another incarnation.
        """
        target_id, _, _ = subject.rpartition("@")
        entry = self._table.entries_by_id.get(target_id)
        if entry is None or update_subject(entry.target) != subject:
            return None
        return entry

    def _publish(self, kind: str, entry: TargetEntry, ttl_s: float) -> None:
        body = {"domain": self._domain}
        self._updates.publish(kind, update_subject(entry.target), body, ttl_s)

    def _advance(self) -> None:
        """Apply the changes that have become due since the last call."""
        if self._clock.monotonic() < self._table.due_s:
            return
        with self._lock:
            changed = self._table.advance()
        self._notify(changed)

    def _notify(self, changed: bool) -> None:
        if changed:
            for callback in self._callbacks:
                callback()


def make_target_view(
    clock: Clock,
    counters: Counters,
    updates: UpdateStore,
    domain: str = "",
    seed: int = 0,
) -> TargetView:
    """Return an empty view.

    Parameters
    ----------
    clock, counters, updates
        Clock, counters and gossip updates of the instance.
    domain
        Failure domain of the instance. Updates about failing targets apply only if
        they come from the same domain, or if either domain is empty.
    seed
        Seed for the jitter of the backoff.
    """
    return TargetView(clock, counters, updates, domain, seed)


def _describe(entry: TargetEntry, now_s: float) -> dict[str, object]:
    return {
        "listed": entry.listed,
        "leaving": entry.leaving,
        "circuit": entry.circuit.state.value,
        "failures": entry.circuit.failures,
        "missing": entry.missing(now_s),
    }
