"""Tests of celeryfork_streams.stall_check."""

import asyncio
from types import SimpleNamespace

from attrs import define
from celeryfork_base.counters import Counters
from celeryfork_streams.stall_check import ANSWER_KEPT_S, StallCheck

TIMEOUT_S = 0.15
CHAIN = SimpleNamespace(
    hops=[SimpleNamespace(target=SimpleNamespace(id="e1", address="127.0.0.1:1"))]
)


@define
class Engine:
    """An engine that answers or not, and counts how often it was asked."""

    answers: bool = True
    asked: int = 0

    async def alive(self, address: str, timeout_s: float) -> bool:
        self.asked += 1
        if not self.answers:
            await asyncio.sleep(timeout_s)
        return self.answers


def test_an_answer_from_before_the_stall_proves_nothing():
    """A stream went on over the stalled engine, and paused for 1.6 s in all."""

    async def ask() -> frozenset[str]:
        engine = Engine()
        check = StallCheck(engine, Counters())
        assert await check.silent(CHAIN, TIMEOUT_S) == frozenset()
        engine.answers = False
        await asyncio.sleep(ANSWER_KEPT_S / 2)
        return await check.silent(CHAIN, TIMEOUT_S)

    assert asyncio.run(ask()) == {"e1"}


def test_streams_that_stall_together_ask_once():
    async def ask() -> int:
        engine = Engine(answers=False)
        check = StallCheck(engine, Counters())
        asks = [check.silent(CHAIN, TIMEOUT_S) for _ in range(20)]
        assert await asyncio.gather(*asks) == [{"e1"}] * 20
        assert await check.silent(CHAIN, TIMEOUT_S) == {"e1"}
        return engine.asked

    assert asyncio.run(ask()) == 1


def test_a_dead_engine_is_asked_again_after_a_while():
    async def ask() -> frozenset[str]:
        engine = Engine(answers=False)
        check = StallCheck(engine, Counters())
        await check.silent(CHAIN, TIMEOUT_S)
        engine.answers = True
        await asyncio.sleep(ANSWER_KEPT_S + 0.05)
        return await check.silent(CHAIN, TIMEOUT_S)

    assert asyncio.run(ask()) == frozenset()
