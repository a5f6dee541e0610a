"""Refusals, timeouts and lost engines of running streams, without a network."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_entry.path_attempts import PathAttempt
from celeryfork_entry.stream_calls import StreamCalls
from celeryfork_entry.stream_progress import StreamProgress
from celeryfork_entry.stream_waits import SILENCE_LIMIT_S, PathLeftError
from celeryfork_entry.targets import Listed, Target, TargetTable
from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Part
from celeryfork_routing.layers import LayerRange

PATH = LayerPath(
    (
        Part("e1", "10.0.0.1:1", LayerRange(0, 4), "a"),
        Part("e2", "10.0.0.2:1", LayerRange(4, 8), "a"),
    )
)
DETOUR = LayerPath((PATH.parts[0], Part("e3", "10.0.0.3:1", LayerRange(4, 8), "a")))

GUARD = SimpleNamespace(may_crash=lambda attempt: False)
"""A guard without suspects."""


@pytest.fixture
def table():
    table = TargetTable()
    for number in (1, 2):
        target = Target(f"e{number}", "llm", f"10.0.0.{number}:1", "a")
        table.apply([Listed(target)])
    return table


@pytest.mark.parametrize(("status", "lacks_layers"), [(421, True), (503, False)])
def test_the_engine_at_fault_for_a_refusal_is_recorded(table, status, lacks_layers):
    reported = []
    reachability = SimpleNamespace(refused=lambda *refusal: reported.append(refusal))
    dialect = SimpleNamespace(
        read_reply=lambda *_: SimpleNamespace(not_run=True, at_fault="10.0.0.2:1")
    )
    context = SimpleNamespace(table=table, domain="a", dialect=dialect, ramp_up=None)
    streams = StreamCalls(
        context, None, None, EngineLoads(), reachability, None, None, GUARD
    )
    first, second = table.by_id["e1"], table.by_id["e2"]
    path = SimpleNamespace(
        parts=[
            SimpleNamespace(engine_id=each.id, address=each.address, domain="a")
            for each in (first, second)
        ]
    )

    async def skip_body():
        pass

    call = SimpleNamespace(avoided=set())
    reply = SimpleNamespace(status=status, headers=[], skip_body=skip_body)
    asyncio.run(streams._handle_refusal(call, path, reply))
    assert call.avoided == {"e2"}
    assert reported == [("e2", "a", lacks_layers)]


class TricklingReply:
    """A reply whose bytes never complete an event."""

    status, headers = 200, ()

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        await asyncio.sleep(0.1)
        return b":"

    def header(self, name):
        return None


class HealthyChecks:
    async def find_down(self, *_, **__):
        return []


class LeavingStreams(StreamCalls):
    """Streams that have another path at any time."""

    def _reserve_other_path(self, attempt):
        return True


def test_bytes_without_an_event_do_not_reset_the_timeout():
    """Operators reported stalled streams that sent single bytes and never ended."""
    metadata = SimpleNamespace(request_id=None)
    dialect = SimpleNamespace(read_reply=lambda *_: metadata)
    context = SimpleNamespace(dialect=dialect)
    streams = LeavingStreams(
        context, HealthyChecks(), None, EngineLoads(), None, None, None, GUARD
    )
    call = SimpleNamespace(left_s=20.0, metadata=SimpleNamespace(id="a"))
    attempt = PathAttempt(call, PATH, 900.0)
    reply = TricklingReply()
    with pytest.raises(PathLeftError, match="silent for 1"):
        asyncio.run(
            asyncio.wait_for(
                streams._relay(attempt, reply, StreamProgress(None)),
                2 * SILENCE_LIMIT_S,
            )
        )
    assert reply.reads > 5


class FakeDetours:
    """Fake detours: each call returns the next path, or None for a refused order."""

    def __init__(self, *detours):
        self._left = list(detours)

    async def reroute(self, call, path):
        await asyncio.sleep(0)
        return self._left.pop(0)


def lose_engine(down, *detours, prefilling=True):
    """Lose an engine of a running stream; return the attempt and the stream calls."""

    async def run():
        selector = SimpleNamespace(is_available=lambda engine_id: engine_id != down)
        checks = SimpleNamespace(spawn=lambda work: None)
        reachability = SimpleNamespace(engine_down=lambda engine_id: None)
        streams = StreamCalls(
            SimpleNamespace(table=TargetTable()),
            checks,
            None,
            EngineLoads(),
            reachability,
            selector,
            FakeDetours(*detours),
            GUARD,
        )
        call = SimpleNamespace(metadata=SimpleNamespace(prompt_tokens=700))
        attempt = PathAttempt(call, PATH, 900.0, prefilling=prefilling)
        attempt.task = asyncio.ensure_future(asyncio.sleep(10))
        streams._attempts.add(attempt)
        streams.engine_down(down)
        streams.engine_down(down)
        if attempt.detour is not None:
            await attempt.detour
        attempt.task.cancel()
        return attempt, streams

    return asyncio.run(run())


@pytest.mark.parametrize("prefilling", [True, False])
def test_a_stream_is_rerouted_around_a_lost_engine(prefilling):
    attempt, streams = lose_engine("e2", DETOUR, prefilling=prefilling)
    assert not attempt.interrupted
    assert attempt.path == DETOUR
    assert streams.uses("e3") and not streams.uses("e2")
    assert set(streams._loads.own_loads()) == {"e1", "e3"}
    streams._attempts.remove(attempt)
    assert streams._loads.own_loads() == {} == streams._loads.total_loads(0.0)


def test_a_stream_without_a_detour_is_interrupted():
    attempt, streams = lose_engine("e2", None)
    assert attempt.interrupted == "engine e2 is down"
    assert set(streams._loads.own_loads()) == {"e1", "e2"}


def test_a_stream_whose_first_engine_is_lost_is_interrupted():
    attempt, _ = lose_engine("e1")
    assert attempt.interrupted == "engine e1 is down"
    assert attempt.detour is None


def test_a_stream_is_rerouted_again_if_an_engine_of_its_detour_is_lost():
    further = LayerPath(
        (PATH.parts[0], Part("e4", "10.0.0.4:1", LayerRange(4, 8), "a"))
    )

    async def run():
        living = {"e1", "e3", "e4"}
        selector = SimpleNamespace(is_available=lambda engine_id: engine_id in living)
        checks = SimpleNamespace(spawn=lambda work: None)
        reachability = SimpleNamespace(engine_down=lambda engine_id: None)
        streams = StreamCalls(
            SimpleNamespace(table=TargetTable()),
            checks,
            None,
            EngineLoads(),
            reachability,
            selector,
            FakeDetours(DETOUR, further),
            GUARD,
        )
        call = SimpleNamespace(metadata=SimpleNamespace(prompt_tokens=700))
        attempt = PathAttempt(call, PATH, 900.0)
        streams._attempts.add(attempt)
        streams.engine_down("e2")
        living.discard("e3")
        await attempt.detour
        return attempt

    assert asyncio.run(run()).path == further
