"""The targets that an instance may choose from.

Three sources: the instance list (lags, may be stale, empty or down), this instance's
own observations, and peers' news. A target that leaves goes out of choice as soon as
any of them says so; a target that fails goes out by its circuit, but never the last
one that a model's layers or a service depend on.
"""

import threading
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_membership.circuit import Circuit, CircuitState
from celeryfork_membership.coverage import fill_gaps
from celeryfork_membership.news import NewsBoard
from celeryfork_membership.observations import (
    Draining,
    Observation,
    Refused,
    Reset,
    Stalled,
    Succeeded,
)

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

NEWS_OUT = "target_out"
NEWS_LEAVING = "target_leaving"
NEWS_OUT_TTL_S = 10.0
NEWS_LEAVING_TTL_S = 600.0
LEAVING_RETRY_S = 30.0
OWN_SUCCESS_OUTWEIGHS_NEWS_S = 2.0
UNLISTED_GRACE_S = 5.0
SHRUNK_LIST_GRACE_S = 30.0
SHRUNK_LIST_SHARE = 0.5
FORGET_UNLISTED_S = 60.0

_log = Logger("membership")


@frozen
class Target:
    """An engine or a plain service that requests can be sent to.

    Parameters
    ----------
    id
        Its name in the instance list.
    role
        ``engine`` or ``service``.
    target
        The model or the service that it belongs to.
    domain
        Its failure domain.
    address
        ``ip:port``.
    incarnation
        Grows with each restart.
    first_layer, last_layer
        The layers ``[first_layer, last_layer)`` that an engine holds; 0 for services.
    accelerator, version
        Kind of the accelerator and version of the weights; empty for services.
    checks_fencing
        Whether an engine refuses orders with an old fencing number.
    """

    id: str
    role: str
    target: str
    domain: str
    address: str
    incarnation: int
    first_layer: int = 0
    last_layer: int = 0
    accelerator: str = ""
    version: str = ""
    checks_fencing: bool = False


@define(eq=False)
class _Entry:
    """One target with everything known of it."""

    target: Target
    source: Any = None
    listed: bool = True
    listed_leaving: bool = False
    observed_leaving: bool = False
    unlisted_s: float = 0.0
    unlisted_grace_s: float = UNLISTED_GRACE_S
    retry_leaving_s: float = float("inf")
    leaving_retries: int = 0
    circuit: Circuit = field(factory=Circuit)

    @property
    def leaving(self) -> bool:
        return self.listed_leaving or self.observed_leaving

    def missing(self, now_s: float) -> bool:
        """Return whether it is gone from the list and not seen working since."""
        if self.listed:
            return False
        seen_s = max(self.unlisted_s, self.circuit.succeeded_s)
        return now_s - seen_s >= self.unlisted_grace_s

    def in_choice(self, now_s: float) -> bool:
        if self.leaving or self.missing(now_s):
            return False
        return self.circuit.state in (CircuitState.CLOSED, CircuitState.HALF_OPEN)

    def next_due_s(self, now_s: float) -> float:
        """Return when time alone may change whether it is in choice."""
        due_s = min(self.circuit.due_s, self.retry_leaving_s)
        if not self.listed:
            seen_s = max(self.unlisted_s, self.circuit.succeeded_s)
            gone_s = seen_s + self.unlisted_grace_s
            due_s = min(due_s, gone_s if gone_s > now_s else due_s)
            due_s = min(due_s, self.unlisted_s + FORGET_UNLISTED_S)
        return due_s


class TargetView:
    """What this instance believes of all targets; safe to use from any thread.

    Use `make_target_view`.
    """

    def __init__(
        self, clock: Clock, counters: Counters, news: NewsBoard, domain: str, seed: int
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._news = news
        self._domain = domain
        self._random = Random(seed)
        self._lock = threading.RLock()
        self._entries_by_id: dict[str, _Entry] = {}
        self._entries_by_name: dict[str, dict[str, _Entry]] = {}
        self._choice_by_name: dict[str, tuple[Target, ...]] = {}
        self._last_resort_ids_by_name: dict[str, frozenset[str]] = {}
        self._ailing_by_id: dict[str, _Entry] = {}
        self._due_s = float("inf")
        self._list_version = -1
        self._revision = 0
        self._callbacks: list[Callable[[], None]] = []
        news.subscribe(NEWS_LEAVING, self._on_leaving_news)
        news.subscribe(NEWS_OUT, self._on_out_news)

    @property
    def revision(self) -> int:
        """A number that grows whenever `in_choice` can have changed."""
        self._advance()
        return self._revision

    def in_choice(self, target_name: str) -> Sequence[Target]:
        """Return the targets of a model or service that may get new work."""
        self._advance()
        chosen = self._choice_by_name.get(target_name)
        if chosen is not None:
            return chosen
        with self._lock:
            return self._rebuild(target_name)

    def usable(self, target_id: str) -> bool:
        """Return whether the target may get new work now."""
        target = self.get(target_id)
        if target is None:
            return False
        return any(t.id == target_id for t in self.in_choice(target.target))

    def get(self, target_id: str) -> Target | None:
        """Return a target by id, also one that is out of choice."""
        entry = self._entries_by_id.get(target_id)
        return None if entry is None else entry.target

    def last_resorts(self, target_name: str) -> frozenset[str]:
        """Return the ids that stay in choice only because nothing better is left."""
        self.in_choice(target_name)
        return self._last_resort_ids_by_name.get(target_name, frozenset())

    def targets(self) -> list[Target]:
        """Return all targets known, in and out of choice."""
        with self._lock:
            return [entry.target for entry in self._entries_by_id.values()]

    def ailing_ids(self) -> list[str]:
        """Return the ids of targets that are leaving, missing or failing."""
        with self._lock:
            return list(self._ailing_by_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback()`` after each change of what is in choice."""
        self._callbacks.append(callback)

    def update_from_list(self, instances: "InstanceList") -> None:
        """Take in an answer of the instance list.

        An empty answer changes nothing, nor does one that is older than the last.
        """
        if not instances.by_id:
            self._counters.add("targets.list_empty")
            return
        with self._lock:
            if instances.version < self._list_version:
                self._counters.add("targets.list_stale")
                return
            self._list_version = instances.version
            changed = self._merge(instances.by_id.values())
            changed |= self._mark_unlisted(instances)
        self._tell(changed)

    def observe(self, target_id: str, observation: Observation) -> None:
        """Note what became of an attempt on a target."""
        with self._lock:
            entry = self._entries_by_id.get(target_id)
            if entry is None:
                self._counters.add("targets.observed_unknown")
                return
            changed = self._observe(entry, observation)
        self._tell({entry.target.target} if changed else set())

    def confirm_live(self, target_id: str, incarnation: int | None = None) -> None:
        """Note that a target itself said that it takes work again."""
        with self._lock:
            entry = self._entries_by_id.get(target_id)
            if entry is None or not entry.observed_leaving:
                return
            if incarnation is not None and incarnation != entry.target.incarnation:
                return
            entry.observed_leaving = False
            entry.retry_leaving_s = float("inf")
            self._watch(entry)
            self._changed(entry.target.target)
        self._tell({entry.target.target})

    def begin_trial(self, target_id: str) -> None:
        """Note that a half-open target was chosen; it leaves choice for the trial."""
        self._advance()
        with self._lock:
            entry = self._entries_by_id.get(target_id)
            if entry is None:
                return
            if not entry.circuit.begin_trial(self._clock.monotonic()):
                return
            self._counters.add("targets.trials")
            self._watch(entry)
            self._changed(entry.target.target)
        self._tell({entry.target.target})

    def half_open(self, target_id: str) -> bool:
        """Return whether the next request to the target is its trial."""
        entry = self._ailing_by_id.get(target_id)
        return entry is not None and entry.circuit.state is CircuitState.HALF_OPEN

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump: counts, and each ailing target."""
        now_s = self._clock.monotonic()
        with self._lock:
            ailing = {
                entry.target.id: {
                    "listed": entry.listed,
                    "leaving": entry.leaving,
                    "circuit": entry.circuit.state.value,
                    "failures": entry.circuit.failures,
                    "missing": entry.missing(now_s),
                }
                for entry in self._ailing_by_id.values()
            }
            return {
                "list_version": self._list_version,
                "revision": self._revision,
                "known_by_name": {n: len(e) for n, e in self._entries_by_name.items()},
                "last_resorts_by_name": {
                    name: sorted(ids)
                    for name, ids in self._last_resort_ids_by_name.items()
                    if ids
                },
                "ailing": ailing,
            }

    def _merge(self, instances: Iterable["Instance"]) -> set[str]:
        """Take over what the list says of each target; return names that changed."""
        changed: set[str] = set()
        told_leaving: dict[str, dict[str, Any]] | None = None
        for instance in instances:
            if instance.role not in ("engine", "service"):
                continue
            entry = self._entries_by_id.get(instance.id)
            if entry is not None and entry.listed and entry.source == instance:
                continue
            if entry is not None and instance.incarnation < entry.target.incarnation:
                self._counters.add("targets.list_old_incarnation")
                continue
            target = _target_of(instance)
            if target is None:
                self._counters.add("targets.malformed")
                continue
            if entry is None or target.incarnation > entry.target.incarnation:
                if told_leaving is None:
                    told_leaving = self._news.current(NEWS_LEAVING)
                entry = self._add(target)
                if _subject(target) in told_leaving:
                    self._mark_observed_leaving(entry)
            if self._update(entry, target, instance):
                changed.add(target.target)
        return changed

    def _add(self, target: Target) -> _Entry:
        """Begin a target, or a new incarnation of it, with a clean record."""
        old = self._entries_by_id.get(target.id)
        if old is not None:
            self._forget(old)
        entry = _Entry(target)
        self._entries_by_id[target.id] = entry
        self._entries_by_name.setdefault(target.target, {})[target.id] = entry
        self._changed(target.target)
        return entry

    def _update(self, entry: _Entry, target: Target, instance: "Instance") -> bool:
        """Bring an entry up to date with the list; return whether choice changed."""
        leaving = instance.state == "leaving"
        changed = entry.source is None or entry.target != target
        changed |= leaving != entry.listed_leaving or not entry.listed
        if entry.target.target != target.target:
            self._forget(entry)
            self._entries_by_id[target.id] = entry
            self._entries_by_name.setdefault(target.target, {})[target.id] = entry
        entry.target = target
        entry.source = instance
        entry.listed = True
        if leaving and not entry.listed_leaving:
            self._publish(NEWS_LEAVING, entry, NEWS_LEAVING_TTL_S)
        entry.listed_leaving = leaving
        self._watch(entry)
        if changed:
            self._changed(target.target)
        return changed

    def _mark_unlisted(self, instances: "InstanceList") -> set[str]:
        """Start the grace of targets that the list no longer shows."""
        gone = [
            entry
            for entry in self._entries_by_id.values()
            if entry.listed and entry.target.id not in instances.by_id
        ]
        if not gone:
            return set()
        listed = sum(entry.listed for entry in self._entries_by_id.values())
        shrunk = len(gone) > listed * SHRUNK_LIST_SHARE
        if shrunk:
            self._counters.add("targets.list_shrunk")
        now_s = self._clock.monotonic()
        for entry in gone:
            entry.listed = False
            entry.unlisted_s = now_s
            entry.unlisted_grace_s = SHRUNK_LIST_GRACE_S if shrunk else UNLISTED_GRACE_S
            self._watch(entry)
            self._changed(entry.target.target)
        return {entry.target.target for entry in gone}

    def _observe(self, entry: _Entry, observation: Observation) -> bool:
        now_s = self._clock.monotonic()
        match observation:
            case Succeeded():
                changed = self._succeed(entry, now_s)
            case Draining():
                changed = not entry.leaving
                self._mark_observed_leaving(entry)
                if changed:
                    self._publish(NEWS_LEAVING, entry, NEWS_LEAVING_TTL_S)
            case Refused():
                changed = self._fail(entry, now_s, certain=True)
            case Reset() | Stalled():
                changed = self._fail(entry, now_s, certain=False)
        if changed:
            self._watch(entry)
            self._changed(entry.target.target)
        return changed

    def _succeed(self, entry: _Entry, now_s: float) -> bool:
        was_missing = entry.missing(now_s)
        changed = entry.circuit.succeed(now_s)
        if changed:
            self._counters.add("targets.closed")
            _log.info("target {} works again", entry.target.id)
        return changed or was_missing

    def _fail(self, entry: _Entry, now_s: float, *, certain: bool) -> bool:
        self._counters.add("targets.failures")
        if not entry.circuit.fail(now_s, self._random, certain=certain):
            return False
        self._counters.add("targets.opened")
        _log.warning("target {} fails and is left alone", entry.target.id)
        self._publish(NEWS_OUT, entry, NEWS_OUT_TTL_S)
        return True

    def _mark_observed_leaving(self, entry: _Entry) -> None:
        entry.observed_leaving = True
        wait_s = LEAVING_RETRY_S * 2 ** min(entry.leaving_retries, 5)
        entry.retry_leaving_s = self._clock.monotonic() + wait_s
        self._watch(entry)
        self._changed(entry.target.target)

    def _on_leaving_news(self, subject: str, body: dict[str, Any], _: str) -> None:
        with self._lock:
            entry = self._entry_of(subject)
            if entry is None or entry.leaving:
                return
            self._mark_observed_leaving(entry)
        self._counters.add("targets.left_by_news")
        self._tell({entry.target.target})

    def _on_out_news(self, subject: str, body: dict[str, Any], _: str) -> None:
        """Leave a target alone that a peer of this failure domain found failing."""
        if self._domain and body.get("domain") not in ("", self._domain):
            return  # a link between domains may be cut, not the target
        now_s = self._clock.monotonic()
        with self._lock:
            entry = self._entry_of(subject)
            if entry is None or entry.circuit.state is not CircuitState.CLOSED:
                return
            if now_s - entry.circuit.succeeded_s < OWN_SUCCESS_OUTWEIGHS_NEWS_S:
                return
            entry.circuit.open(now_s, self._random)
            self._watch(entry)
            self._changed(entry.target.target)
        self._counters.add("targets.opened_by_news")
        self._tell({entry.target.target})

    def _entry_of(self, subject: str) -> _Entry | None:
        """Return the entry that news speak of, None for another incarnation."""
        target_id, _, _ = subject.rpartition("@")
        entry = self._entries_by_id.get(target_id)
        if entry is None or _subject(entry.target) != subject:
            return None
        return entry

    def _publish(self, kind: str, entry: _Entry, ttl_s: float) -> None:
        self._news.publish(
            kind, _subject(entry.target), {"domain": self._domain}, ttl_s
        )

    def _forget(self, entry: _Entry) -> None:
        self._entries_by_id.pop(entry.target.id, None)
        self._ailing_by_id.pop(entry.target.id, None)
        by_id = self._entries_by_name.get(entry.target.target, {})
        by_id.pop(entry.target.id, None)
        if not by_id:
            self._entries_by_name.pop(entry.target.target, None)
        self._changed(entry.target.target)

    def _watch(self, entry: _Entry) -> None:
        """Keep the set of ailing targets, and when time next changes one of them."""
        healthy = entry.listed and not entry.leaving
        if healthy and entry.circuit.state is CircuitState.CLOSED:
            self._ailing_by_id.pop(entry.target.id, None)
        else:
            self._ailing_by_id[entry.target.id] = entry
        now_s = self._clock.monotonic()
        due_s = (e.next_due_s(now_s) for e in self._ailing_by_id.values())
        self._due_s = min(due_s, default=float("inf"))

    def _advance(self) -> None:
        """Apply what time alone has changed since the last call."""
        now_s = self._clock.monotonic()
        if now_s < self._due_s:
            return
        with self._lock:
            changed = set()
            for entry in list(self._ailing_by_id.values()):
                if entry.next_due_s(now_s) <= now_s or entry.missing(now_s):
                    self._advance_entry(entry, now_s)
                    changed.add(entry.target.target)
            for name in changed:
                self._changed(name)
            due_s = (e.next_due_s(now_s) for e in self._ailing_by_id.values())
            self._due_s = min(due_s, default=float("inf"))
        self._tell(changed)

    def _advance_entry(self, entry: _Entry, now_s: float) -> None:
        entry.circuit.advance(now_s)
        if now_s >= entry.retry_leaving_s:
            entry.observed_leaving = False
            entry.leaving_retries += 1
            entry.retry_leaving_s = float("inf")
            entry.circuit.state = CircuitState.HALF_OPEN
            entry.circuit.due_s = float("inf")
        if not entry.listed and now_s - entry.unlisted_s >= FORGET_UNLISTED_S:
            self._forget(entry)

    def _rebuild(self, name: str) -> tuple[Target, ...]:
        now_s = self._clock.monotonic()
        entries = self._entries_by_name.get(name, {}).values()
        good = [entry for entry in entries if entry.in_choice(now_s)]
        rest = [e for e in entries if not e.leaving and e not in good]
        rest.sort(key=lambda e: (e.missing(now_s), e.circuit.openings, e.target.id))
        by_id = {entry.target.id: entry.target for entry in rest}
        kept = fill_gaps([e.target for e in good], list(by_id.values()))
        chosen = (*(entry.target for entry in good), *kept)
        last_resort_ids = frozenset(target.id for target in kept)
        if last_resort_ids - self._last_resort_ids_by_name.get(name, frozenset()):
            self._counters.add("targets.kept_as_last_resort")
        self._last_resort_ids_by_name[name] = last_resort_ids
        self._choice_by_name[name] = chosen
        return chosen

    def _changed(self, name: str) -> None:
        self._choice_by_name.pop(name, None)
        self._revision += 1

    def _tell(self, changed: set[str]) -> None:
        if not changed:
            return
        for callback in self._callbacks:
            callback()


def make_target_view(
    clock: Clock,
    counters: Counters,
    news: NewsBoard,
    domain: str = "",
    seed: int = 0,
) -> TargetView:
    """Return an empty view.

    Parameters
    ----------
    clock, counters, news
        Shared parts of the instance.
    domain
        The instance's failure domain; peers' news of failing targets counts only
        from the same one.
    seed
        Seed of the backoffs' jitter.
    """
    return TargetView(clock, counters, news, domain, seed)


def _subject(target: Target) -> str:
    """Return the news subject: news of one incarnation never touches the next."""
    return f"{target.id}@{target.incarnation}"


def _target_of(instance: "Instance") -> Target | None:
    """Return the target that a list entry describes, None if it is malformed."""
    attributes = instance.attributes
    if instance.role == "service":
        layers = (0, 0)
    else:
        first, last = attributes.get("first_layer"), attributes.get("last_layer")
        if not isinstance(first, int) or not isinstance(last, int):
            return None
        if not 0 <= first < last:
            return None
        layers = (first, last)
    return Target(
        id=instance.id,
        role=instance.role,
        target=instance.target,
        domain=instance.domain,
        address=instance.address,
        incarnation=instance.incarnation,
        first_layer=layers[0],
        last_layer=layers[1],
        accelerator=str(attributes.get("accelerator", "")),
        version=str(attributes.get("version", "")),
        checks_fencing=attributes.get("checks_fencing") is True,
    )
