"""One engine: continuous batching, caches, orders and faults.

Everything here happens on the fleet's loop; `EngineFleet` is the thread-safe way in.
"""

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from heapq import heappop, heappush

from attrs import define, field

from celeryfork_standin.caches import KvCache, PrefixCache
from celeryfork_standin.engine_data import EngineSpec, EventFaults
from celeryfork_standin.kv_opening import open_kv
from celeryfork_standin.links import LinkTable
from celeryfork_standin.load_history import LoadHistory, LoadSample
from celeryfork_standin.sequence import Sequence, Stage
from celeryfork_standin.step_timer import StepTimer

MOST_CATCH_UP_S = 0.05


@define(eq=False)
class FleetContext:
    """What the engines of one fleet share."""

    links: LinkTable
    engines_by_id: Mapping[str, "Engine"]
    engines_by_address: dict[str, "Engine"]
    step_timer: StepTimer
    poison_marker: str | None = None
    crash: Callable[["Engine"], None] = field(default=lambda engine: None)


class Engine:
    """One engine of a fleet.

    Parameters
    ----------
    spec
        What it is.
    context
        What it shares with the others.
    seed
        Seed of its random choices.
    """

    def __init__(self, spec: EngineSpec, context: FleetContext, seed: int) -> None:
        self.spec = spec
        self.address = ""
        self.address_by_domain: Mapping[str, str] = {}
        self.incarnation = 1
        self.alive = True
        self.leaving = False
        self.stalled = False
        self.loading_version: str | None = None
        self.standby = False
        self.version = spec.version
        self.adapters: list[str] = []
        self.highest_fencing = 0
        self.event_faults: EventFaults | None = None
        self.link_factor = 1.0
        self.speed_factor = 1.0
        self.sequences: set[Sequence] = set()
        self.tokens_until_kill: int | None = None
        self.seen_orders: OrderedDict[str, None] = OrderedDict()
        self.steps = 0
        self._context = context
        self._chance = random.Random(f"{seed}/{spec.id}")
        self._arrivals = 0
        self._busy = False
        self._free_at = 0.0
        self._step_id = 0
        self._reset()

    def _reset(self) -> None:
        spec = self.spec
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._batch: list[Sequence] = []
        self.kv = KvCache(spec.most_kv_tokens, spec.kv_kept_s)
        self.prefixes = PrefixCache(
            spec.most_prefixes,
            spec.cache_event_lag_s,
            spec.cache_event_loss,
            self._chance,
        )
        self._loads = LoadHistory()

    # -- what it is ----------------------------------------------------------

    @property
    def state(self) -> str:
        """``live``, ``leaving`` or ``dead``."""
        if not self.alive:
            return "dead"
        return "leaving" if self.leaving else "live"

    @property
    def refuses(self) -> bool:
        """Whether it takes no new attempts."""
        loading = self.loading_version is not None
        return self.leaving or loading or self.standby

    @property
    def waiting(self) -> int:
        """How many sequences wait for a step."""
        return len(self._waiting)

    def holds(self, model: str, first: int, last: int) -> bool:
        """Whether it holds the layers ``[first, last)`` of a model."""
        spec = self.spec
        return (
            spec.model == model and spec.first_layer <= first < last <= spec.last_layer
        )

    def latency_to(self, other: "Engine") -> float:
        """Return the one-way latency to another engine in seconds."""
        base_s = self._context.links.latency_s(self.spec.domain, other.spec.domain)
        return base_s * self.link_factor * other.link_factor

    def load(self) -> LoadSample:
        """Return the newest load report that is old enough to show."""
        now = time.monotonic()
        self._loads.add(now, len(self._batch), len(self._waiting))
        return self._loads.shown(now - self.spec.load_lag_s)

    # -- steps ---------------------------------------------------------------

    def enqueue(self, sequence: Sequence, now: float) -> None:
        """Let a sequence wait for the next step."""
        if sequence.over:
            return
        stage = sequence.stage
        if stage.kv is None:
            if not self.alive:
                sequence.fail("stage_lost", self.spec.id)
                return
            source = self._context.engines_by_address.get(stage.kv_from or "")
            import_s = open_kv(self, sequence, stage, source)
            if import_s > 0:
                timer = self._context.step_timer
                timer.at(now + import_s, now, self.enqueue, sequence)
                return
        self._arrivals += 1
        heappush(self._waiting, (-sequence.body.priority, self._arrivals, sequence))
        if self.stalled:
            self._report_later(sequence)
        elif not self._busy:
            # The step starts a turn later, so that sequences that arrive together
            # share it.
            self._busy = True
            sequence.ended.get_loop().call_soon(self._start_step)

    def _start_step(self, now: float | None = None) -> None:
        if self.stalled or not self.alive:
            return
        batch = self._batch
        waiting = self._waiting
        most = self.spec.max_batch
        shares, prefill_s = 0.0, 0.0
        while waiting and len(batch) < most:
            sequence = heappop(waiting)[2]
            if sequence.over:
                continue
            stage = sequence.stage
            shares += stage.share
            if stage.prefill_s:
                prefill_s += stage.prefill_s
                stage.prefill_s = 0.0
            batch.append(sequence)
        if not batch:
            self._busy = False
            return
        spec = self.spec
        # In proportion to the layers run, so that a full batch always yields the
        # engine's layer-tokens a second, whatever parts its sequences need.
        step_s = (spec.base_s / len(batch) + spec.per_sequence_s) * shares
        self._arm(now or time.monotonic(), step_s * self.speed_factor + prefill_s)

    def _arm(self, now: float, duration_s: float) -> None:
        """Set the step's timer, made up for the time that the last one was late."""
        start = max(self._free_at, now - MOST_CATCH_UP_S) if self._free_at else now
        self._free_at = due_s = start + duration_s
        self._step_id += 1
        self._context.step_timer.at(due_s, now, self._end_step, self._step_id)

    def _end_step(self, step_id: int, now: float) -> None:
        if step_id != self._step_id or self.stalled:
            return
        batch, self._batch = self._batch, []
        self.steps += 1
        if self._watched and self._must_crash(batch):
            self._context.crash(self)
            return
        for sequence in batch:
            if not sequence.over:
                sequence.advance(now)
        if not self._waiting:
            # An idle engine has no lateness to make up for.
            self._free_at = 0.0
        if now >= self._loads.due_s:
            self._loads.add(now, len(batch), len(self._waiting))
        self._start_step(now)

    @property
    def _watched(self) -> bool:
        return (
            self._context.poison_marker is not None
            or self.tokens_until_kill is not None
        )

    def _must_crash(self, batch: list[Sequence]) -> bool:
        marker = self._context.poison_marker
        if marker is not None and any(marker in s.body.prompt for s in batch):
            return True
        if self.tokens_until_kill is None:
            return False
        self.tokens_until_kill -= len(batch)
        return self.tokens_until_kill <= 0

    # -- attempts ------------------------------------------------------------

    def forget(self, sequence: Sequence, stage: Stage) -> None:
        """Let go of an attempt that is over."""
        self.sequences.discard(sequence)
        if stage.kv is not None:
            self.kv.release(sequence.body.stream_id, stage.kv)

    def cancel(self, stream_id: str) -> list[Sequence]:
        """Drop a stream's KV cache and return its attempts that run here."""
        self.kv.drop(stream_id)
        return [s for s in self.sequences if s.body.stream_id == stream_id]

    # -- faults --------------------------------------------------------------

    def die(self) -> None:
        """Lose everything; attempts that other engines started learn of it."""
        self.alive = False
        self.tokens_until_kill = None
        self._step_id += 1
        for sequence in list(self.sequences):
            if sequence.stages[0].engine is self:
                sequence.end()
            else:
                sequence.fail("stage_lost", self.spec.id)
        self.sequences.clear()
        self._reset()

    def revive(self) -> None:
        """Begin a new incarnation as at first."""
        self.incarnation += 1
        self.alive = True
        self.leaving = self.stalled = self.standby = False
        self.loading_version = None
        self.version = self.spec.version
        self.adapters = []
        self.highest_fencing = 0
        self.seen_orders.clear()
        self._busy = False
        self._free_at = 0.0

    def stall(self) -> None:
        """Stop making steps, and keep every connection open."""
        self.stalled = True
        self.mute_events()
        for sequence in [*self._batch, *(entry[2] for entry in self._waiting)]:
            self._report_later(sequence)

    def mute_events(self) -> None:
        """Hold back the events that can't leave, and let go of the others."""
        for sequence in list(self.sequences):
            if sequence.stages[0].engine is self:
                domain = sequence.client_domain
                sequence.events.mute(self.stalled or self.is_cut_off(domain))

    def is_cut_off(self, client_domain: str | None) -> bool:
        """Whether a partition stands between it and clients of a domain."""
        return self._context.links.is_cut(client_domain, self.spec.domain)

    def _report_later(self, sequence: Sequence) -> None:
        """Let the first engine notice, after a while, that this one stalls."""
        timeout_s = self._context.links.timeout_s
        if timeout_s is not None and sequence.stages[0].engine is not self:
            loop = sequence.ended.get_loop()
            loop.call_later(timeout_s, self._report_stall, sequence)

    def _report_stall(self, sequence: Sequence) -> None:
        if self.stalled and sequence.stage.engine is self:
            sequence.fail("stage_lost", self.spec.id)

    def resume(self) -> None:
        """Go on after a stall, with the sequences that were there."""
        if not self.stalled:
            return
        self.stalled = False
        self._step_id += 1
        self.mute_events()
        for sequence in self._batch:
            self._arrivals += 1
            heappush(self._waiting, (-sequence.body.priority, self._arrivals, sequence))
        self._batch = []
        self._busy = True
        asyncio.get_running_loop().call_soon(self._start_step)
