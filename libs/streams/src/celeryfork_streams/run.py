"""One request's way through its attempts, until the answer is whole."""

import asyncio
from collections.abc import Iterable

from attrs import evolve
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from xxhash import xxh3_64_hexdigest

from celeryfork_streams.attempt import Attempt
from celeryfork_streams.events import Ended
from celeryfork_streams.lost import Lost, Progress
from celeryfork_streams.parts import StreamParts
from celeryfork_streams.ports import (
    Chain,
    ChainRequest,
    ChainResult,
    Draining,
    Observation,
    Refused,
    Reset,
    Stalled,
    Succeeded,
)
from celeryfork_streams.refusals import gave_up, outcome_of, too_late
from celeryfork_streams.requests import (
    GenerateRequest,
    Recovery,
    RecoveryKind,
    Sink,
    StreamRefusedError,
    StreamResult,
)
from celeryfork_streams.salvage import TURNED_AWAY, Salvage
from celeryfork_streams.suspects import Suspicion

PREFIX_CHARACTERS = 32

_OBSERVATION_BY_KIND: dict[RecoveryKind, Observation] = {
    RecoveryKind.NOT_REACHED: Refused(),
    RecoveryKind.CUT: Reset(),
    RecoveryKind.STAGE_LOST: Reset(),
    RecoveryKind.STALLED: Stalled(),
    RecoveryKind.LEAVING: Draining(),
    RecoveryKind.MALFORMED: Reset(),
}
# Nothing was sent, so that the next attempt adds no load; or the budget was asked
# before the silent or slow attempt was given up.
_NEED_NO_RETRY = frozenset(
    {RecoveryKind.NOT_REACHED, RecoveryKind.STALLED, RecoveryKind.TOO_SLOW}
)


class StreamRun:
    """One request; use it once."""

    def __init__(
        self, parts: StreamParts, request: GenerateRequest, sink: Sink
    ) -> None:
        self._parts = parts
        self._request = request
        self._sink = sink
        self._policy = parts.policy()
        self._progress = Progress(request, parts.layers_of(request.model))
        self._salvage = Salvage(parts.view)
        self._suspicion = Suspicion(parts.suspects, parts.poison, request.fingerprint)
        self._recoveries: list[Recovery] = []
        self._last: Lost | None = None
        self._resumed_free = 0
        self._counted_attempts = 0
        self._wait_s = self._policy.no_target_wait_s

    @property
    def tokens(self) -> int:
        """Tokens that have passed to the caller."""
        return len(self._progress.emitted)

    async def run(self) -> StreamResult:
        """Run the request to its end.

        Raises
        ------
        StreamRefusedError
            It was given up, with the outcome that is true.
        CallerGoneError
            From the sink.
        """
        left_s = self._request.deadline_s - self._parts.clock.monotonic()
        try:
            if left_s <= 0:
                raise TimeoutError
            self._parts.poison.check(self._request.fingerprint)
            async with asyncio.timeout(left_s):
                return await self._run()
        except TimeoutError:
            self._parts.counters.add("streams.deadlines")
            late = too_late(self._progress, self._policy.refused_retry_after_s)
            raise StreamRefusedError(late, self._result(late.code)) from None
        except RequestRefusedError as error:
            raise StreamRefusedError(error, self._result(error.code)) from error

    async def _run(self) -> StreamResult:
        while True:
            chain = await self._choose()
            ended = await self._attempt(chain)
            if isinstance(ended, Ended):
                break
            if self.tokens >= self._request.max_tokens:
                # Only the end event was lost.
                await self._sink.finished("length", self.tokens)
                break
            self._check_may_go_on(ended)
        self._parts.retry_budget.record_success()
        self._parts.counters.add("streams.done")
        return self._result(None)

    async def _choose(self) -> Chain:
        """Return a chain that keeps clear of what has failed, as far as that goes.

        A request that no engine has accepted is refused at once where there is no
        chain; one that has begun waits for one until its deadline.
        """
        if self._suspicion.stands:
            chain = await self._choose_alone()
            if chain is not None:
                return chain
        while True:
            suspects = self._parts.suspects.targets()
            chain = self._first_choice(self._salvage.first_avoid(suspects))
            if chain is not None:
                return chain
            if self._progress.accepted:
                await self._wait()
            elif self._last is not None and self._last.kind in TURNED_AWAY:
                raise self._gave_up(self._last)
            chain = self._first_choice(self._salvage.then_avoid())
            if chain is not None:
                return chain
            if not self._progress.accepted:
                raise self._gave_up(self._last)

    async def _choose_alone(self) -> Chain | None:
        """Return a chain without other suspects; None if none came free in time."""
        clock, suspects = self._parts.clock, self._parts.suspects
        until_s = clock.monotonic() + self._policy.suspect_wait_s
        back: list[frozenset[str]] = []
        while True:
            taken = suspects.targets()
            best = self._salvage.first_avoid(taken)[0]
            chain = self._first_choice([best, *(avoid | taken for avoid in back)])
            left_s = until_s - clock.monotonic()
            if chain is not None or left_s <= 0:
                return chain
            if taken:
                await suspects.one_left(left_s)
            else:
                await self._wait()
                back = self._salvage.then_avoid()

    def _first_choice(self, avoidances: Iterable[frozenset[str]]) -> Chain | None:
        for avoid in avoidances:
            try:
                return self._parts.router.choose(self._chain_request(avoid))
            except RequestRefusedError:
                continue
        return None

    async def _wait(self) -> None:
        """Pause before going back to what has failed; longer each time."""
        wait_s = self._wait_s
        self._wait_s = min(2 * wait_s, self._policy.longest_wait_s)
        await asyncio.sleep(wait_s)

    def _chain_request(self, avoid: frozenset[str]) -> ChainRequest:
        request, progress = self._request, self._progress
        prefix = request.prompt[:PREFIX_CHARACTERS].encode("utf-8", "replace")
        return ChainRequest(
            model=request.model,
            layers=progress.layers,
            prompt_key=xxh3_64_hexdigest(prefix),
            prompt_tokens=progress.tokens_to_compute,
            expected_tokens=request.max_tokens - self.tokens,
            domain=self._parts.domain,
            avoid=avoid,
            keep=self._salvage.keep(avoid),
        )

    async def _attempt(self, chain: Chain) -> Ended | Lost:
        """Run one attempt and release its chain, whatever happens."""
        self._progress.attempts += 1
        self._parts.counters.add("streams.attempts")
        self._suspicion.begin(chain)
        attempt = Attempt(
            self._parts,
            self._progress,
            chain,
            self._salvage.stages(chain),
            self._sink,
            self._may_give_up,
            self._passed,
        )
        ended: Ended | Lost | None = None
        try:
            dead = await self._dead_engines(chain)
            if dead:
                ended = Lost(RecoveryKind.NOT_REACHED, dead, "was dead already")
            else:
                ended = await attempt.run()
        finally:
            self._suspicion.end()
            self._release(chain, attempt, ended)
        if isinstance(ended, Lost):
            return await self._note_lost(chain, attempt, ended)
        for hop in chain.hops:
            self._parts.view.observe(hop.target.id, Succeeded())
        return ended

    async def _dead_engines(self, chain: Chain) -> frozenset[str]:
        """Return the engines of a suspect's chain that don't answer.

        One that died before, as when a rack fails, must not be held against it.
        """
        if not self._suspicion.stands:
            return frozenset()
        timeout_s = self._policy.connect_timeout_s
        return await self._parts.stall_check.silent(chain, timeout_s)

    def _release(
        self, chain: Chain, attempt: Attempt, ended: Ended | Lost | None
    ) -> None:
        first_s, started_s = attempt.first_s, attempt.started_s
        failed = None
        if isinstance(ended, Lost):
            failed = next(iter(ended.blamed), chain.hops[0].target.id)
        result = ChainResult(
            tokens=attempt.tokens,
            seconds_to_first_token=None if first_s is None else first_s - started_s,
            seconds_total=self._parts.clock.monotonic() - started_s,
            failed_target_id=failed,
        )
        self._parts.router.release(chain, result)

    async def _note_lost(self, chain: Chain, attempt: Attempt, lost: Lost) -> Lost:
        """Count a lost attempt, find whom to blame, and learn from it."""
        now_s = self._parts.clock.monotonic()
        self._recoveries.append(Recovery(lost.kind, now_s, None, attempt.silent_s))
        self._parts.counters.add(f"streams.lost.{lost.kind}")
        if lost.kind is RecoveryKind.STALLED:
            timeout_s = self._policy.stall_check_timeout_s
            silent = await self._parts.stall_check.silent(chain, timeout_s)
            lost = evolve(lost, blamed=silent)
        observation = _OBSERVATION_BY_KIND.get(lost.kind)
        if observation is not None:
            for target_id in lost.blamed:
                self._parts.view.observe(target_id, observation)
        self._last = lost
        self._salvage.take_in(chain, lost, attempt.tokens)
        self._suspicion.count(lost, attempt.tokens, chain)
        return lost

    def _check_may_go_on(self, lost: Lost) -> None:
        """Raise unless another attempt is allowed."""
        # A stream that has begun pauses before it goes back to a dead engine, so that
        # its deadline is bound enough.
        if lost.kind is not RecoveryKind.NOT_REACHED or not self._progress.accepted:
            self._counted_attempts += 1
        if self._counted_attempts >= self._policy.most_attempts:
            raise self._gave_up(lost)
        if lost.kind not in _NEED_NO_RETRY and not self._take_retry():
            raise self._gave_up(lost)

    def _may_give_up(self) -> bool:
        """Return whether a silent or slow attempt may be left for another one."""
        if self._counted_attempts + 1 >= self._policy.most_attempts:
            return False
        return self._take_retry()

    def _take_retry(self) -> bool:
        """Take a retry from the budget; the first resumptions go even without.

        What an engine had begun when it was lost is bounded by what was in flight, so
        that this can't multiply an overload.
        """
        if self._parts.retry_budget.try_spend():
            return True
        free = self._policy.free_resumptions
        if self._progress.accepted and self._resumed_free < free:
            self._resumed_free += 1
            self._parts.counters.add("streams.resumed_over_budget")
            return True
        self._parts.counters.add("streams.retries_refused")
        return False

    def _gave_up(self, lost: Lost | None) -> RequestRefusedError:
        self._parts.counters.add("streams.given_up")
        return gave_up(self._progress, lost, self._policy.refused_retry_after_s)

    def _passed(self, tokens: int) -> None:
        """Note that an attempt has passed tokens on."""
        if self._recoveries and self._recoveries[-1].resumed_s is None:
            self._note_resumed()
        self._suspicion.passed(tokens)

    def _note_resumed(self) -> None:
        now_s = self._parts.clock.monotonic()
        self._wait_s = self._policy.no_target_wait_s
        for index, recovery in enumerate(self._recoveries):
            if recovery.resumed_s is None:
                self._recoveries[index] = evolve(recovery, resumed_s=now_s)
                pause_s = now_s - recovery.fault_s + recovery.silent_s
                timing = f"streams.recovery.{recovery.kind}"
                self._parts.counters.timing(timing, pause_s)

    def _result(self, code: str | None) -> StreamResult:
        return StreamResult(
            outcome=Outcome.DONE if code is None else outcome_of(self._progress),
            tokens=self.tokens,
            attempts=self._progress.attempts,
            recoveries=tuple(self._recoveries),
            code=code,
        )
