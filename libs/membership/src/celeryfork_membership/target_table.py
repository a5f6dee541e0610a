"""Table of the known targets, which computes the eligible ones."""

from typing import Any

from attrs import define, field
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters

from celeryfork_membership.circuit import Circuit, CircuitState
from celeryfork_membership.coverage import select_last_resorts
from celeryfork_membership.target import Target

UNLISTED_GRACE_S = 5.0
UNLISTED_RETENTION_S = 60.0


@define(eq=False)
class TargetEntry:
    """State of one target.

    Parameters
    ----------
    target
        The current description of the target.
    source
        The entry of the instance list that it was last read from.
    listed
        True if the instance list contains it.
    listed_in_version
        Version of the instance list in which a peer saw the target, -1 if no peer
        announced it. Older versions do not make it unlisted.
    listed_leaving
        True if the instance list says that it is leaving.
    observed_leaving
        True if a response of the target or a gossip update says that it is leaving.
    unlisted_s, unlisted_grace_s
        Monotonic time since which the list does not contain it, and number of seconds
        that it stays eligible after that, or after its last success if that is later.
    retry_leaving_s
        Monotonic time at which ``observed_leaving`` is withdrawn, so that a trial
        request can show if the target is still leaving; infinite if it is not set.
    leaving_retries
        Number of such trials since the last success; each doubles the next wait.
    circuit
        Circuit breaker.
    """

    target: Target
    source: Any = None
    listed: bool = True
    listed_in_version: int = -1
    listed_leaving: bool = False
    observed_leaving: bool = False
    unlisted_s: float = 0.0
    unlisted_grace_s: float = UNLISTED_GRACE_S
    retry_leaving_s: float = float("inf")
    leaving_retries: int = 0
    circuit: Circuit = field(factory=Circuit)

    @property
    def leaving(self) -> bool:
        """True if any source says that the target is leaving."""
        return self.listed_leaving or self.observed_leaving

    @property
    def unhealthy(self) -> bool:
        """True if the target is leaving, not listed, or its circuit is not closed."""
        closed = self.circuit.state is CircuitState.CLOSED
        return self.leaving or not self.listed or not closed

    def missing(self, now_s: float) -> bool:
        """Return True if it is not listed and the grace period is over."""
        return not self.listed and now_s >= self._grace_end_s()

    def is_eligible(self, now_s: float) -> bool:
        """Return True if new work may be sent to the target."""
        if self.leaving or self.missing(now_s):
            return False
        return self.circuit.state in (CircuitState.CLOSED, CircuitState.HALF_OPEN)

    def next_due_s(self, now_s: float) -> float:
        """Return the monotonic time of the next change caused by time alone."""
        due_s = min(self.circuit.due_s, self.retry_leaving_s)
        if not self.listed:
            grace_end_s = self._grace_end_s()
            due_s = min(due_s, self.unlisted_s + UNLISTED_RETENTION_S)
            due_s = min(due_s, grace_end_s if grace_end_s > now_s else due_s)
        return due_s

    def _grace_end_s(self) -> float:
        return max(self.unlisted_s, self.circuit.succeeded_s) + self.unlisted_grace_s


class TargetTable:
    """Targets by id, and by model or service name.

    Not thread-safe: `TargetView` holds its lock for every call.

    Parameters
    ----------
    clock, counters
        Clock and counters of the instance.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self.entries_by_id: dict[str, TargetEntry] = {}
        self.entries_by_name: dict[str, dict[str, TargetEntry]] = {}
        self.unhealthy_by_id: dict[str, TargetEntry] = {}
        self.last_resorts_by_name: dict[str, frozenset[str]] = {}
        self.eligible_by_name: dict[str, tuple[Target, ...]] = {}
        self.revision = 0
        self.due_s = float("inf")
        self._clock = clock
        self._counters = counters

    def put(self, entry: TargetEntry) -> None:
        """Store an entry, replacing one of the same id."""
        target = entry.target
        old = self.entries_by_id.get(target.id)
        if old is not None:
            self.remove(old)
        self.entries_by_id[target.id] = entry
        self.entries_by_name.setdefault(target.target, {})[target.id] = entry
        self.mark_changed(entry)

    def remove(self, entry: TargetEntry) -> None:
        """Remove an entry."""
        target = entry.target
        self.entries_by_id.pop(target.id, None)
        self.unhealthy_by_id.pop(target.id, None)
        by_id = self.entries_by_name.get(target.target, {})
        by_id.pop(target.id, None)
        if not by_id:
            self.entries_by_name.pop(target.target, None)
        self._invalidate(target.target)

    def mark_changed(self, entry: TargetEntry) -> None:
        """Update the indexes and caches after a change of an entry."""
        target_id = entry.target.id
        if entry.unhealthy:
            self.unhealthy_by_id[target_id] = entry
        else:
            self.unhealthy_by_id.pop(target_id, None)
        self._invalidate(entry.target.target)
        self._update_due_time()

    def eligible_targets(self, name: str) -> tuple[Target, ...]:
        """Return the eligible targets of a model or service, cached until a change."""
        cached = self.eligible_by_name.get(name)
        return self._compute_eligible(name) if cached is None else cached

    def advance(self) -> bool:
        """Apply the changes that are due; return True if there were any."""
        now_s = self._clock.monotonic()
        due = [e for e in self.unhealthy_by_id.values() if e.next_due_s(now_s) <= now_s]
        due += [
            e for e in self.unhealthy_by_id.values() if self._went_missing(e, now_s)
        ]
        for entry in due:
            self._advance_entry(entry, now_s)
            self._invalidate(entry.target.target)
        self._update_due_time()
        return bool(due)

    def _went_missing(self, entry: TargetEntry, now_s: float) -> bool:
        """Return True if an entry is missing but still cached as eligible."""
        if not entry.missing(now_s):
            return False
        cached = self.eligible_by_name.get(entry.target.target, ())
        return entry.target in cached

    def _advance_entry(self, entry: TargetEntry, now_s: float) -> None:
        entry.circuit.advance(now_s)
        if now_s >= entry.retry_leaving_s:
            entry.observed_leaving = False
            entry.leaving_retries += 1
            entry.retry_leaving_s = float("inf")
            entry.circuit.half_open()
        if not entry.listed and now_s - entry.unlisted_s >= UNLISTED_RETENTION_S:
            self.remove(entry)

    def _compute_eligible(self, name: str) -> tuple[Target, ...]:
        """Compute the eligible targets, including last resorts.

        Preferred as last resorts are listed targets, then those whose circuits opened
        less often; leaving targets are never used.
        """
        now_s = self._clock.monotonic()
        eligible: list[Target] = []
        candidates: list[TargetEntry] = []
        for entry in self.entries_by_name.get(name, {}).values():
            if not entry.unhealthy or entry.is_eligible(now_s):
                eligible.append(entry.target)
            elif not entry.leaving:
                candidates.append(entry)
        candidates.sort(
            key=lambda e: (e.missing(now_s), e.circuit.openings, e.target.id)
        )
        last_resorts = select_last_resorts(
            eligible, [entry.target for entry in candidates]
        )
        last_resort_ids = frozenset(target.id for target in last_resorts)
        if last_resort_ids - self.last_resorts_by_name.get(name, frozenset()):
            self._counters.add("targets.kept_as_last_resort")
        self.last_resorts_by_name[name] = last_resort_ids
        chosen = (*eligible, *last_resorts)
        self.eligible_by_name[name] = chosen
        return chosen

    def _invalidate(self, name: str) -> None:
        self.eligible_by_name.pop(name, None)
        self.revision += 1

    def _update_due_time(self) -> None:
        now_s = self._clock.monotonic()
        due_s = (entry.next_due_s(now_s) for entry in self.unhealthy_by_id.values())
        self.due_s = min(due_s, default=float("inf"))
