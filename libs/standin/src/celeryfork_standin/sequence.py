"""One attempt of one stream on its way through a chain of engines."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING

import orjson
from attrs import define, frozen

from celeryfork_standin.caches import KvEntry, count_prompt_tokens
from celeryfork_standin.engine_data import EventFault, EventFaults, RanStage, RanToken
from celeryfork_standin.links import UNREACHABLE, LinkTable
from celeryfork_standin.text import Answer, make_answer

if TYPE_CHECKING:
    from celeryfork_standin.engine_core import Engine

SHORTEST_TIMER_S = 0.001
MOST_UNREAD_BYTES = 1024 * 1024


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
    ran: RanStage
    latency_s: float = 0.0
    kv: KvEntry | None = None
    prefill_s: float = 0.0


class TokenRecord:
    """What all engines of a fleet ran, bounded; the oldest are dropped first."""

    def __init__(self, most_tokens: int) -> None:
        self._ran: deque[tuple[str, int, int, tuple[Stage, ...], float, float]] = deque(
            maxlen=most_tokens
        )
        self.count = 0

    def add(
        self,
        sequence: "Sequence",
        trail: tuple[Stage, ...],
        started_s: float,
        ended_s: float,
    ) -> None:
        """Note the token at the sequence's position."""
        self.count += 1
        body = sequence.body
        self._ran.append(
            (body.stream_id, body.attempt, sequence.position, trail, started_s, ended_s)
        )

    def tokens(self) -> list[RanToken]:
        """Return the tokens kept, in the order in which they ended."""
        return [
            RanToken(stream, attempt, at, tuple(s.ran for s in trail), start, end)
            for stream, attempt, at, trail, start, end in self._ran.copy()
        ]


class Sequence:
    """An attempt: where it is, what it ran, and the connection that it streams to.

    Everything here happens on the fleet's loop.
    """

    def __init__(
        self,
        body: GenerateBody,
        stages: list[Stage],
        links: LinkTable,
        record: TokenRecord,
        chance: random.Random,
        transport: asyncio.Transport,
    ) -> None:
        self.body = body
        self.stages = stages
        self.position = body.position
        self.index = 0
        self.over = False
        self.arrived_s = time.monotonic()
        self.transport = transport
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._answer: Answer = make_answer(
            body.model, body.prompt, body.seed, body.max_tokens
        )
        self._links = links
        self._links_revision = -1
        self._record = record
        self._chance = chance
        self._owed_s = 0.0
        self._trail: list[Stage] = []
        self._token_started_s = self.arrived_s
        self._prompt_tokens = count_prompt_tokens(body.prompt)
        covered = [[stage.first, stage.last] for stage in stages]
        self._head = b'{"a":%d,"p":' % body.attempt
        self._tail = b',"l":%b}\n' % orjson.dumps(covered)

    @property
    def kv_tokens(self) -> int:
        """How many tokens of prompt and answer the KV cache covers."""
        return self._prompt_tokens + self.position

    def start(self) -> None:
        """Enter the first engine, or end at once if nothing is left to say."""
        if self.position >= self._answer.length:
            self._finish()
            return
        self.stages[0].engine.enqueue(self)

    def advance(self, now: float) -> None:
        """Go on to the next stage, after the present one ran."""
        stages = self.stages
        self._trail.append(stages[self.index])
        self.index += 1
        if self.index == len(stages):
            self.index = 0
            self._end_token(now)
            if self.over:
                return
        self._send_on(stages[self.index])

    def fail(self, error: str, engine: str | None = None) -> None:
        """End the attempt with an error event; does nothing once it is over."""
        if self.over:
            return
        event: dict[str, object] = {"a": self.body.attempt, "error": error}
        if engine is not None:
            event["engine"] = engine
        self._write(orjson.dumps(event) + b"\n")
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

    # -- tokens --------------------------------------------------------------

    def _end_token(self, now: float) -> None:
        self._record.add(self, tuple(self._trail), self._token_started_s, now)
        faults = self.stages[0].engine.event_faults
        line = b'%b%d,"x":%b%b' % (
            self._head,
            self.position,
            self._answer.literal(self.position),
            self._tail,
        )
        if faults is None:
            self._write(line)
        else:
            self._write_spoilt(line, faults)
        self._trail.clear()
        self._token_started_s = now
        self.position += 1
        if self.position >= self._answer.length:
            self._finish()

    def _finish(self) -> None:
        event = {
            "a": self.body.attempt,
            "p": self.position,
            "end": self._answer.reason,
        }
        self._write(orjson.dumps(event) + b"\n")
        self.end()

    def _write(self, line: bytes) -> None:
        """Write one chunk of a chunked body (RFC 9112, section 7.1)."""
        transport = self.transport
        if transport.is_closing():
            return
        transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _write_spoilt(self, line: bytes, faults: EventFaults) -> None:
        if self._chance.random() >= faults.share:
            self._write(line)
            return
        match faults.kind:
            case EventFault.DUPLICATE:
                self._write(line + line)
            case EventFault.LATE:
                first = b'%b%d,"x":" late"%b' % (self._head, 0, self._tail)
                self._write(line + first)
            case EventFault.GARBLED:
                self._write(line[: len(line) // 2] + b"\n")
            case EventFault.COVERAGE_GAP:
                short = self.stages[:-1] or self.stages
                covered = [[s.first, s.last] for s in short]
                covered[-1][1] -= 1
                self._write(line.split(b',"l":')[0] + b',"l":%b}\n' % _json(covered))
            case EventFault.SKIPPED:
                return
            case EventFault.OLD_ATTEMPT:
                old = b'{"a":%d,"p":' % (self.body.attempt - 1)
                self._write(line.replace(self._head, old) + line)

    # -- the way between engines ---------------------------------------------

    def _send_on(self, stage: Stage) -> None:
        if self._links.revision != self._links_revision:
            self._measure_links()
        self._owed_s += stage.latency_s
        if self._owed_s < SHORTEST_TIMER_S:
            # Timers cost more than such a delay is worth: it is owed instead.
            stage.engine.enqueue(self)
            return
        loop = self.ended.get_loop()
        owed_s, self._owed_s = self._owed_s, 0.0
        if owed_s != UNREACHABLE:
            loop.call_later(owed_s, stage.engine.enqueue, self)
        elif self._links.timeout_s is not None:
            lost = stage.engine.spec.id
            loop.call_later(self._links.timeout_s, self.fail, "stage_lost", lost)

    def _measure_links(self) -> None:
        self._links_revision = self._links.revision
        previous = self.stages[-1].engine
        for stage in self.stages:
            stage.latency_s = previous.latency_to(stage.engine)
            previous = stage.engine


def _json(value: object) -> bytes:
    return orjson.dumps(value)


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
        ran = RanStage(named.engine, named.first, named.last)
        stages.append(Stage(engine, named.first, named.last, share, named.kv_from, ran))
    return stages
