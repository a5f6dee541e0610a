"""One attempt of a stream: one request to one chain, its tokens passed on."""

from collections.abc import Callable

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
    EngineTooSlowError,
)
from celeryfork_streams.events import Ended, EventReader, Faulted
from celeryfork_streams.gap_watch import GapWatch
from celeryfork_streams.lost import Lost, Progress
from celeryfork_streams.pace import Pace
from celeryfork_streams.parts import StreamParts
from celeryfork_streams.ports import Chain
from celeryfork_streams.requests import BatchingSink, RecoveryKind, Sink
from celeryfork_streams.salvage import Stage

# Counters and learned gaps cost more than the relay of a token; see relay_cost.
TOKENS_PER_NOTE = 8

_KIND_BY_FAULT = {
    "stage_lost": RecoveryKind.STAGE_LOST,
    "overloaded": RecoveryKind.OVERLOADED,
    "leaving": RecoveryKind.LEAVING,
}
_KIND_BY_STATUS = {409: RecoveryKind.LEAVING, 429: RecoveryKind.OVERLOADED}


class Attempt:
    """One attempt; use it once.

    Parameters
    ----------
    may_give_up
        Asked before a silent engine or a slow chain is left.
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
        self._batching = sink if isinstance(sink, BatchingSink) else None
        self._on_passed = on_passed
        self._policy = parts.policy()
        self._to_compute = progress.tokens_to_compute
        first = chain.hops[0].target
        self._address = first.address
        load = parts.load_of(first.id)
        gap_s = parts.gaps.first_gap_s(chain, self._to_compute, load, self._policy)
        self._may_give_up = may_give_up
        self._watch = GapWatch(first.address, gap_s, may_give_up)
        self._pace = Pace()
        self._first_position = len(progress.emitted)
        self._noted_tokens = 0
        self.started_s = parts.clock.monotonic()
        self.first_s: float | None = None

    async def run(self) -> Ended | Lost:
        """Run the attempt.

        Raises
        ------
        CallerGoneError
            From the sink. The engine's connection is closed.
        """
        progress = self._progress
        sent_before = progress.sent
        first = frozenset({self._chain.hops[0].target.id})
        try:
            with self._watch:
                return await self._converse()
        except EngineNotReachedError as error:
            return Lost(RecoveryKind.NOT_REACHED, first, error.message)
        except EngineRejectedError as error:
            progress.sent = sent_before
            kind = _KIND_BY_STATUS.get(error.status, RecoveryKind.REJECTED)
            return Lost(kind, first, error.message, error.retry_after_s)
        except EngineCutError as error:
            return Lost(RecoveryKind.CUT, first, error.message)
        except EngineStalledError as error:
            return Lost(RecoveryKind.STALLED, frozenset(), error.message)
        except EngineTooSlowError as error:
            return Lost(RecoveryKind.TOO_SLOW, frozenset(), error.message)
        except EngineAnswerError as error:
            self._parts.counters.add(f"streams.{error.kind}_events")
            return Lost(RecoveryKind.MALFORMED, first, error.message)
        finally:
            self._count()

    @property
    def silent_s(self) -> float:
        """How long nothing has come, in seconds."""
        return self._watch.silent_s

    async def _converse(self) -> Ended | Lost:
        progress = self._progress
        body = generate_body(
            progress.request,
            progress.attempts,
            self._stages,
            progress.emitted,
        )
        stream = await self._parts.session.connect(self._address)
        try:
            progress.sent = True
            await stream.begin(body)
            progress.accepted = True
            return await self._relay(stream)
        finally:
            if self._batching is not None:
                self._batching.flush()
            stream.close()

    async def _relay(self, stream: EngineStream) -> Ended | Lost:
        progress, watch, sink = self._progress, self._watch, self._sink
        batching, pace = self._batching, self._pace
        emitted = progress.emitted
        reader = EventReader(
            progress.attempts,
            self._chain,
            progress.layers,
            len(emitted),
            progress.request.max_tokens,
            self._parts.counters,
        )
        while True:
            watch.listen()
            lines = await stream.lines()
            gap_s = watch.hold()
            # A longer gap that was heard is the loop's own lateness, not the chain's.
            pace.waited_s += min(gap_s, watch.allowed_s)
            if batching is not None and len(lines) > 1:
                batching.hold()
            for line in lines:
                event = reader.read(line)
                if isinstance(event, str):
                    emitted.append(event)
                    await sink.token(event)
                    if self.first_s is None:
                        self._note_first()
                elif event is not None:
                    return await self._end(event)
            if batching is not None and len(lines) > 1:
                batching.flush()
            if self.tokens >= self._noted_tokens + TOKENS_PER_NOTE:
                self._note(gap_s)
                self._check_pace()

    @property
    def tokens(self) -> int:
        """Tokens that this attempt has passed on."""
        return len(self._progress.emitted) - self._first_position

    def _note_first(self) -> None:
        """Learn the silence before the first token."""
        self.first_s = self._parts.clock.monotonic()
        gaps, gap_s = self._parts.gaps, self.first_s - self.started_s
        gaps.heard_first(self._chain, self._to_compute, gap_s)
        self._watch.allow(gaps.token_gap_s(self._chain, self._policy))
        self._pace.begin(self.tokens)
        self._on_passed(1)

    def _note(self, gap_s: float) -> None:
        """Count the tokens that have passed, and learn one silence of theirs."""
        gaps = self._parts.gaps
        gaps.heard(self._chain, gap_s)
        self._watch.allow(gaps.token_gap_s(self._chain, self._policy))
        self._count()
        self._on_passed(self._noted_tokens)

    def _check_pace(self) -> None:
        """Raise EngineTooSlowError if another chain is to give the rest in time."""
        progress, pace = self._progress, self._pace
        tokens_left = progress.request.max_tokens - len(progress.emitted)
        left_s = progress.request.deadline_s - self._parts.clock.monotonic()
        late = pace.too_slow(
            self.tokens, tokens_left, left_s, self._parts.gaps, self._chain
        )
        if late and self._may_give_up():
            raise EngineTooSlowError(
                self._address,
                f"would be late with {tokens_left} tokens, {left_s:.3f} s are left",
                "resume on another chain",
            )
        pace.begin(self.tokens)

    def _count(self) -> None:
        self._parts.counters.add("streams.tokens", self.tokens - self._noted_tokens)
        self._noted_tokens = self.tokens

    async def _end(self, event: Ended | Faulted) -> Ended | Lost:
        match event:
            case Ended(reason, tokens):
                await self._sink.finished(reason, tokens)
                return event
            case Faulted(fault, engine):
                ids = [hop.target.id for hop in self._chain.hops]
                # An engine that isn't in the chain can't have been its fault.
                blamed = engine if engine in ids else ids[0]
                message = f"the engines said {fault} of {blamed}"
                return Lost(_KIND_BY_FAULT[fault], frozenset({blamed}), message)
