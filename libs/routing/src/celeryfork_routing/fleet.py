"""The engines of one version of a model, and their plan.

The plan is updated outside the request path.
"""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Executor

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_membership.targets import Target
from logbook import Logger

from celeryfork_routing.engines import Engine, make_engine
from celeryfork_routing.plan import (
    LatencyOf,
    Plan,
    adjust_planned_shares,
    draft_plan,
    finish_plan,
)

MIN_REPLAN_INTERVAL_S = 0.2  # Shortest pause between plans after a change.
SPEED_REPLAN_INTERVAL_S = 5.0  # Pause without a change; applies learned speeds.
MAX_PLANNING_TIME_SHARE = 0.01  # Of wall time; slow planning runs less often.
MIN_CHAINS_FOR_ESTIMATE = 4
MAX_EQUIVALENT_INSTANCES = 1000.0
INSTANCE_ESTIMATE_GAIN = 0.1
INSTANCE_ESTIMATE_INTERVAL_S = 0.1

_log = Logger("routing")

RateOf = Callable[[Target, int], float]


class Fleet:
    """The known engines of one version of a model, the usable ones, and the plan.

    The router calls it with its lock held; plans are drafted without the lock.
    ``own_chains`` counts the chains of this instance in flight, and
    ``equivalent_instances`` estimates the work of all instances as a multiple of this
    instance's work.

    Parameters
    ----------
    model, layers
        Name of the model and its number of layers.
    executor
        Executor of the planning tasks.
    rate_of
        Returns the tokens per second of a target over all layers that it holds, given
        the model's number of layers.
    latency_s
        Returns the one-way latency between two failure domains, in seconds.
    origin
        Failure domain of this instance.
    lock
        Lock of the router, held while a finished plan takes effect.
    """

    def __init__(
        self,
        model: str,
        layers: int,
        clock: Clock,
        counters: Counters,
        executor: Executor,
        rate_of: RateOf,
        latency_s: LatencyOf,
        origin: str,
        lock: threading.RLock,
    ) -> None:
        self.model = model
        self.layers = layers
        self.plan: Plan | None = None
        self.engines_by_id: dict[str, Engine] = {}
        self.usable_ids: frozenset[str] = frozenset()
        self.equivalent_instances = 1.0
        self.own_chains = 0
        self._estimated_s = float("-inf")
        self._clock = clock
        self._counters = counters
        self._executor = executor
        self._rate_of = rate_of
        self._latency_s = latency_s
        self._origin = origin
        self._eligible: Sequence[Target] = ()
        self._planned_targets: Sequence[Target] | None = None
        self._planned_s = float("-inf")
        self._queues_checked_s = float("-inf")
        self._replan_interval_s = MIN_REPLAN_INTERVAL_S
        self._lock = lock
        self._planning_lock = threading.Lock()

    def update_targets(self, eligible: Sequence[Target]) -> None:
        """Set the eligible targets, and start a new plan in the background if due.

        A new plan is due soon after the targets changed, and every few seconds for the
        learned speeds. The first plan is made before this returns.
        """
        if eligible is not self._eligible:
            self._sync_engines(eligible)
        now_s = self._clock.monotonic()
        if self.plan is None:
            self._replan()
            return
        changed = self._planned_targets is not eligible
        pause_s = (
            self._replan_interval_s
            if changed
            else max(SPEED_REPLAN_INTERVAL_S, self._replan_interval_s)
        )
        if now_s - self._planned_s < pause_s:
            return
        self._planned_s = now_s
        if not self._planning_lock.locked():
            self._plan_later()

    def bound(self) -> float:
        """Return the bound of the present plan in tokens per second, 0 without one."""
        return self.plan.bound_tokens_per_second if self.plan is not None else 0.0

    def estimate_equivalent_instances(self) -> None:
        """Estimate the work of all instances as a multiple of this instance's work.

        A stream is in the queue of one engine at a time, so that the sum of all queues
        is the number of streams of all instances.
        """
        plan = self.plan
        if plan is None or self.own_chains < MIN_CHAINS_FOR_ESTIMATE:
            return
        now_s = self._clock.monotonic()
        if now_s - self._estimated_s < INSTANCE_ESTIMATE_INTERVAL_S:
            return
        self._estimated_s = now_s
        queued = sum(stage.queue for stage in plan.stages_by_range.values())
        ratio = min(max(queued / self.own_chains, 1.0), MAX_EQUIVALENT_INSTANCES)
        self.equivalent_instances += (
            ratio - self.equivalent_instances
        ) * INSTANCE_ESTIMATE_GAIN

    def usable_engines(self, avoid: frozenset[str]) -> list[Engine]:
        """Return the engines that may be chosen, without those to avoid."""
        return [
            self.engines_by_id[target_id]
            for target_id in self.usable_ids
            if target_id not in avoid
        ]

    def dump(self) -> dict[str, object]:
        """Return the fleet's part of the state dump."""
        plan = self.plan
        return {
            "engines": len(self.engines_by_id),
            "usable": len(self.usable_ids),
            "bound_tokens_per_second": self.bound(),
            "paths": len(plan.table.paths) if plan and plan.table else 0,
            "instances_like_this": self.equivalent_instances,
            "slow_ids": sorted(
                engine.target.id
                for engine in list(self.engines_by_id.values())
                if engine.capacity < engine.nominal_capacity
            ),
            "own_layers_in_flight": sum(
                engine.own_layers for engine in list(self.engines_by_id.values())
            ),
        }

    def _sync_engines(self, eligible: Sequence[Target]) -> None:
        """Add engines for new or changed targets; drop idle ones without a target."""
        engines_by_id = dict(self.engines_by_id)
        for target in eligible:
            old_engine = engines_by_id.get(target.id)
            if old_engine is None or old_engine.target != target:
                engines_by_id[target.id] = self._replace_engine(old_engine, target)
        usable_ids = frozenset(target.id for target in eligible)
        for target_id, engine in list(engines_by_id.items()):
            if target_id not in usable_ids and engine.own_streams <= 0:
                del engines_by_id[target_id]
        self.engines_by_id = engines_by_id
        self.usable_ids = usable_ids
        self._eligible = eligible

    def _replace_engine(self, old_engine: Engine | None, target: Target) -> Engine:
        engine = make_engine(target, self._rate_of(target, self.layers))
        same_incarnation = (
            old_engine is not None
            and old_engine.target.incarnation == target.incarnation
        )
        if old_engine is not None and same_incarnation:
            engine.slowness, engine.samples = old_engine.slowness, old_engine.samples
        return engine

    def _plan_later(self) -> None:
        try:
            self._executor.submit(self._replan_or_keep)
        except RuntimeError:
            # The executor was shut down; chains in flight go on with the last plan.
            self._counters.add("routing.plans_after_stop")

    def _replan_or_keep(self) -> None:
        """Make a new plan; if that fails, keep the present one."""
        try:
            self._replan()
        except Exception:
            self._counters.add("routing.plan_faults")
            _log.exception("planning failed; keeping the old plan of {}", self.model)

    def _replan(self) -> None:
        with self._planning_lock:
            began_s = self._clock.monotonic()
            eligible = self._eligible
            engines = self._engines_of(eligible)
            if began_s - self._queues_checked_s >= SPEED_REPLAN_INTERVAL_S:
                self._queues_checked_s = began_s
                adjust_planned_shares(engines)
            draft = draft_plan(engines, self.layers)
            with self._lock:
                self.plan = finish_plan(draft, engines, self._latency_s, self._origin)
                self._planned_targets = eligible
            took_s = self._clock.monotonic() - began_s
            self._planned_s = began_s
            self._replan_interval_s = max(
                MIN_REPLAN_INTERVAL_S, took_s / MAX_PLANNING_TIME_SHARE
            )
            self._counters.add("routing.plans")
            self._counters.timing("routing.plan", took_s)

    def _engines_of(self, eligible: Sequence[Target]) -> list[Engine]:
        """Return the engines of eligible targets, with nominal capacities updated."""
        engines_by_id = self.engines_by_id
        engines = [engines_by_id[t.id] for t in eligible if t.id in engines_by_id]
        for engine in engines:
            layers_held = engine.target.last_layer - engine.target.first_layer
            rate = self._rate_of(engine.target, self.layers)
            engine.nominal_capacity = max(rate, 1e-3) * layers_held
        return engines
