"""One attempt of one stream on its way through a chain of engines."""

import asyncio
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING

from attrs import define, frozen

from celeryfork_standin.caches import KvEntry, count_prompt_tokens
from celeryfork_standin.event_stream import EventStream
from celeryfork_standin.links import UNREACHABLE, LinkTable
from celeryfork_standin.step_timer import StepTimer
from celeryfork_standin.text import Answer, make_answer
from celeryfork_standin.token_record import StageKey, TokenRecord

if TYPE_CHECKING:
    from celeryfork_standin.engine_core import Engine

SHORTEST_TIMER_S = 0.001


@frozen
class ChainStage:
    """One stage as the request names it."""

    engine: str
    address: str
    first: int
    last: int
    kv_from: str | None = None


@frozen
class GenerateBody:
    """The request of ``POST /v1/generate``, as in docs/ENGINE.md."""

    stream_id: str
    attempt: int
    model: str
    prompt: str
    position: int
    max_tokens: int
    chain: tuple[ChainStage, ...]
    emitted: tuple[str, ...] = ()
    version: str | None = None
    adapter: str | None = None
    priority: int = 5
    seed: int = 0


@define(eq=False)
class Stage:
    """One stage of a running attempt.

    Parameters
    ----------
    share
        Part of the engine's held layers that this stage runs.
    latency_s
        From the stage before; for the first stage, from the last one.
    kv
        The stream's KV cache there; None until the attempt first arrives.
    prefill_s
        Time that the first step there must add to fill the KV cache.
    """

    engine: "Engine"
    first: int
    last: int
    share: float
    kv_from: str | None
    ran: StageKey
    latency_s: float = 0.0
    kv: KvEntry | None = None
    prefill_s: float = 0.0


class Sequence:
    """An attempt: where it is, what it ran, and the connection that it streams to.

    Everything here happens on the fleet's loop.
    """

    def __init__(
        self,
        body: GenerateBody,
        stages: list[Stage],
        links: LinkTable,
        timer: StepTimer,
        record: TokenRecord,
        events: EventStream,
        client_domain: str | None,
    ) -> None:
        self.body = body
        self.client_domain = client_domain
        self.stages = stages
        self.stage = stages[0]
        self.position = body.position
        self.index = 0
        self.over = False
        self.arrived_s = time.monotonic()
        self.events = events
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._answer: Answer = make_answer(
            body.model, body.prompt, body.seed, body.max_tokens
        )
        self._links = links
        self._links_revision = -1
        self._timer = timer
        self._record = record
        self._owed_s = 0.0
        self._trail: list[StageKey] = []
        self._whole = tuple(stage.ran for stage in stages)
        self._token_started_s = self.arrived_s
        self._prompt_tokens = count_prompt_tokens(body.prompt)

    @property
    def kv_tokens(self) -> int:
        """How many tokens of prompt and answer the KV cache covers."""
        return self._prompt_tokens + self.position

    def start(self) -> None:
        """Enter the first engine, or end at once if nothing is left to say."""
        if self.position >= self._answer.length:
            self._finish()
            return
        self.stages[0].engine.enqueue(self, self.arrived_s)

    def advance(self, now: float) -> None:
        """Go on to the next stage, after the present one ran."""
        stages = self.stages
        self._trail.append(self.stage.ran)
        if self._links.revision != self._links_revision:
            self._measure_links()
        index = self.index + 1
        if index == len(stages):
            index = 0
            if stages[0].latency_s == UNREACHABLE:
                self._lose(self.stage.engine)
                return
            self._end_token(now)
            if self.over:
                return
        self.index = index
        self.stage = stage = stages[index]
        self._owed_s += stage.latency_s
        if self._owed_s < SHORTEST_TIMER_S:
            # Timers cost more than such a delay is worth: it is owed instead.
            stage.engine.enqueue(self, now)
        else:
            self._send_late(stage, now)

    def fail(self, error: str, engine: str | None = None) -> None:
        """End the attempt with an error event; does nothing once it is over."""
        if self.over:
            return
        self.events.failed(error, engine)
        self.end()

    def end(self) -> None:
        """End the attempt; each engine lets its KV cache age."""
        if self.over:
            return
        self.over = True
        for stage in self.stages:
            stage.engine.forget(self, stage)
        if not self.ended.done():
            self.ended.set_result(None)

    def _end_token(self, now: float) -> None:
        position = self.position
        trail = tuple(self._trail)
        if trail == self._whole:
            trail = self._whole  # one object for all tokens of the attempt
        body = self.body
        self._record.add(
            (body.stream_id, body.attempt, position, trail, self._token_started_s, now)
        )
        self.events.token(
            position,
            self._answer.literal(position),
            self.stages[0].engine.event_faults,
        )
        self._trail.clear()
        self._token_started_s = now
        self.position = position + 1
        if position + 1 >= self._answer.length:
            self._finish()

    def _finish(self) -> None:
        self.events.finished(self.position, self._answer.reason)
        self.end()

    def _send_late(self, stage: Stage, now: float) -> None:
        owed_s, self._owed_s = self._owed_s, 0.0
        if owed_s == UNREACHABLE:
            self._lose(stage.engine)
        else:
            self._timer.at(now + owed_s, now, stage.engine.enqueue, self)

    def _lose(self, engine: "Engine") -> None:
        """Never arrive; the first engine notices after a while."""
        if self._links.timeout_s is not None:
            self.ended.get_loop().call_later(
                self._links.timeout_s, self.fail, "stage_lost", engine.spec.id
            )

    def _measure_links(self) -> None:
        self._links_revision = self._links.revision
        previous = self.stages[-1].engine
        for stage in self.stages:
            stage.latency_s = previous.latency_to(stage.engine)
            previous = stage.engine


def make_stages(
    body: GenerateBody, engines_by_id: Mapping[str, "Engine"]
) -> list[Stage] | str:
    """Return the stages of a chain, or the engine that doesn't hold its part."""
    stages = []
    for named in body.chain:
        engine = engines_by_id.get(named.engine)
        if engine is None or not engine.holds(body.model, named.first, named.last):
            return named.engine
        share = (named.last - named.first) / engine.spec.layers
        ran = (named.engine, named.first, named.last)
        stages.append(Stage(engine, named.first, named.last, share, named.kv_from, ran))
    return stages
