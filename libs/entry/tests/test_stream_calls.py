"""Which engines a stream's outcome speaks against, without network."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_entry.stream_calls import SILENCE_LIMIT_S, StreamCalls
from celeryfork_entry.targets import Listed, Target, TargetTable
from celeryfork_routing.engine_loads import EngineLoads


@pytest.fixture
def table():
    table = TargetTable()
    for number in (1, 2):
        target = Target(f"e{number}", "llm", f"10.0.0.{number}:1", "a")
        table.apply([Listed(target)])
    return table


@pytest.mark.parametrize(("status", "lacks_layers"), [(421, True), (503, False)])
def test_the_engine_at_fault_of_a_refusal_is_noted(table, status, lacks_layers):
    told = []
    reach = SimpleNamespace(refused=lambda *refusal: told.append(refusal))
    dialect = SimpleNamespace(
        read_reply=lambda *_: SimpleNamespace(not_run=True, at_fault="10.0.0.2:1")
    )
    parts = SimpleNamespace(table=table, domain="a", dialect=dialect)
    streams = StreamCalls(parts, None, None, EngineLoads(), reach, None)
    first, second = table.by_id["e1"], table.by_id["e2"]
    path = SimpleNamespace(
        parts=[
            SimpleNamespace(engine_id=each.id, address=each.address, domain="a")
            for each in (first, second)
        ]
    )

    async def read_all(most):
        return b""

    call = SimpleNamespace(avoided=set())
    reply = SimpleNamespace(status=status, headers=[], read_all=read_all)
    asyncio.run(streams._refusal(call, path, reply))
    assert call.avoided == {"e2"}
    assert told == [("e2", "a", lacks_layers)]


class TricklingReply:
    """A stream of bytes that never complete an event."""

    status, headers = 200, ()

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        await asyncio.sleep(0.1)
        return b":"


class LivingChecks:
    async def find_down(self, *_, **__):
        return []


def test_a_stream_that_trickles_without_an_event_is_left():
    """Operators: stalled streams that sent a byte now and then never ended."""
    facts = SimpleNamespace(request_id=None)
    dialect = SimpleNamespace(read_reply=lambda *_: facts)
    parts = SimpleNamespace(dialect=dialect)
    streams = StreamCalls(parts, LivingChecks(), None, EngineLoads(), None, None)
    call = SimpleNamespace(left_s=20.0, facts=SimpleNamespace(id="a"))
    path, reply = SimpleNamespace(engine_ids=("e1",)), TricklingReply()
    with pytest.raises(TimeoutError, match="silent for 1"):
        asyncio.run(
            asyncio.wait_for(
                streams._relay(call, path, reply, None), 2 * SILENCE_LIMIT_S
            )
        )
    assert reply.reads > 5
