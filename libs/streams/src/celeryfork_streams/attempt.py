"""One attempt of a stream: one request to one chain, its tokens passed on."""

from collections.abc import Callable

from attrs import define, field, frozen

from celeryfork_streams.engine_client import (
    EngineStream,
    generate_body,
)
from celeryfork_streams.errors import (
    EngineAnswerError,
    EngineCutError,
    EngineNotReachedError,
    EngineRejectedError,
    EngineStalledError,
)
from celeryfork_streams.events import Ended, EventReader, Faulted
from celeryfork_streams.gap_watch import GapWatch
from celeryfork_streams.parts import StreamParts
from celeryfork_streams.ports import Chain
from celeryfork_streams.requests import GenerateRequest, RecoveryKind, Sink
from celeryfork_streams.stages import Stage

CHARACTERS_PER_TOKEN = 4

_KIND_BY_FAULT = {
    "stage_lost": RecoveryKind.STAGE_LOST,
    "overloaded": RecoveryKind.OVERLOADED,
    "leaving": RecoveryKind.LEAVING,
}


@frozen
class Lost:
    """The attempt ended before the answer did.

    Parameters
    ----------
    suspect
        Id of the engine that is taken for the cause.
    retry_after_s
        What the engine said about coming back, in seconds.
    """

    kind: RecoveryKind
    suspect: str
    message: str
    retry_after_s: float | None = None


@define
class Progress:
    """How far a stream has come, over all of its attempts.

    Parameters
    ----------
    sent
        An engine may have received the request.
    accepted
        An engine has begun to run it.
    """

    request: GenerateRequest
    layers: int
    emitted: list[str] = field(factory=list)
    attempts: int = 0
    sent: bool = False
    accepted: bool = False

    @property
    def tokens_to_compute(self) -> int:
        """Length of the prompt and of what was emitted, in tokens (estimated)."""
        prompt_tokens = len(self.request.prompt) // CHARACTERS_PER_TOKEN + 1
        return prompt_tokens + len(self.emitted)


class Attempt:
    """One attempt; use it once.

    Parameters
    ----------
    may_give_up
        Asked before a silent engine is left.
    on_passed
        Told after each batch of tokens how many this attempt has passed.
    """

    def __init__(
        self,
        parts: StreamParts,
        progress: Progress,
        chain: Chain,
        stages: tuple[Stage, ...],
        sink: Sink,
        may_give_up: Callable[[], bool],
        on_passed: Callable[[int], None],
    ) -> None:
        self._parts = parts
        self._progress = progress
        self._chain = chain
        self._stages = stages
        self._sink = sink
        self._on_passed = on_passed
        self._policy = parts.policy()
        self._to_compute = progress.tokens_to_compute
        first = chain.hops[0].target
        self._address = first.address
        load = parts.load_of(first.id)
        gap_s = parts.gaps.first_gap_s(chain.id, self._to_compute, load, self._policy)
        self._watch = GapWatch(first.address, gap_s, may_give_up)
        self.started_s = self.heard_s = parts.clock.monotonic()
        self.first_s: float | None = None
        self.tokens = 0

    async def run(self) -> Ended | Lost:
        """Run the attempt.

        Raises
        ------
        CallerGoneError
            From the sink. The engine's connection is closed.
        """
        progress = self._progress
        sent_before, progress.sent = progress.sent, True
        first = self._chain.hops[0].target.id
        try:
            with self._watch:
                return await self._converse()
        except EngineNotReachedError as error:
            progress.sent = sent_before
            return Lost(RecoveryKind.NOT_REACHED, first, error.message)
        except EngineRejectedError as error:
            progress.sent = sent_before
            kind = RecoveryKind.REJECTED
            if error.status == 409:
                kind = RecoveryKind.LEAVING
            return Lost(kind, first, error.message, error.retry_after_s)
        except EngineCutError as error:
            return Lost(RecoveryKind.CUT, first, error.message)
        except EngineStalledError as error:
            return Lost(RecoveryKind.STALLED, first, error.message)
        except EngineAnswerError as error:
            self._parts.counters.add(f"streams.{error.kind}_events")
            return Lost(RecoveryKind.MALFORMED, first, error.message)

    async def _converse(self) -> Ended | Lost:
        progress = self._progress
        body = generate_body(
            progress.request,
            progress.attempts,
            self._stages,
            progress.emitted,
        )
        stream = await self._parts.session.open(self._address, body)
        progress.accepted = True
        try:
            return await self._relay(stream)
        finally:
            stream.close()

    async def _relay(self, stream: EngineStream) -> Ended | Lost:
        progress, watch = self._progress, self._watch
        reader = EventReader(
            progress.attempts,
            self._chain,
            progress.layers,
            len(progress.emitted),
            progress.request.max_tokens,
            self._parts.counters,
        )
        while True:
            watch.listen()
            lines = await stream.lines()
            watch.hold()
            passed = 0
            for line in lines:
                event = reader.read(line)
                if isinstance(event, str):
                    passed += 1
                    progress.emitted.append(event)
                    await self._sink.token(event)
                elif event is not None:
                    self._passed(passed)
                    return await self._end(event)
            self._passed(passed)

    def _passed(self, count: int) -> None:
        """Note that tokens came together and have passed."""
        if not count:
            return
        now_s = self._parts.clock.monotonic()
        gap_s, self.heard_s = now_s - self.heard_s, now_s
        self.tokens += count
        self._parts.counters.add("streams.tokens", count)
        gaps = self._parts.gaps
        if self.first_s is None:
            self.first_s = now_s
            gaps.heard_first(self._chain.id, self._to_compute, gap_s)
            self._watch.allow(gaps.token_gap_s(self._chain.id, self._policy))
        else:
            gaps.heard(self._chain.id, gap_s)
        self._on_passed(self.tokens)

    async def _end(self, event: Ended | Faulted) -> Ended | Lost:
        match event:
            case Ended(reason, tokens):
                await self._sink.finished(reason, tokens)
                return event
            case Faulted(fault, engine):
                suspect = engine or self._chain.hops[0].target.id
                message = f"the engines said {fault} of {suspect}"
                return Lost(_KIND_BY_FAULT[fault], suspect, message)
