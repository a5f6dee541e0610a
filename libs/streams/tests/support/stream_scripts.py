"""How engines fail, and what a caller must see of it."""

import asyncio

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.requests import StreamRefusedError


def expected(count):
    return [f" t{position}" for position in range(count)]


def check_resumed(world, kind, attempts=2, request=None):
    """Run a request and check that its caller saw nothing but a pause."""
    result, sink = world.run(request)
    assert sink.texts == expected(12)
    assert sink.ends == [("length", 12)]
    assert (result.outcome, result.attempts) == (Outcome.DONE, attempts)
    assert {recovery.kind for recovery in result.recoveries} == {kind}
    assert all(recovery.resumed_s is not None for recovery in result.recoveries)
    return result


def refused(world, request=None):
    with pytest.raises(StreamRefusedError) as caught:
        world.run(request)
    assert world.router.in_flight == 0
    return caught.value


async def dies(talk):
    await talk.accept()
    await talk.tokens(3)
    talk.reset()


async def dies_late(talk):
    await talk.accept()
    await talk.tokens(10)
    talk.reset()


async def ends_early(talk):
    await talk.accept()
    await talk.tokens(3)


async def stalls(talk):
    await talk.accept()
    await talk.tokens(3)
    await asyncio.sleep(60)


async def never_begins(talk):
    await asyncio.sleep(60)


async def overloaded(talk):
    await talk.reject(429, headers="Retry-After: 7\r\n")


async def leaving(talk):
    await talk.reject(409, "leaving")
