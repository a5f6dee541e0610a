"""Orders that lead streams around lost engines, without network."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_base.counters import Counters
from celeryfork_entry import detours
from celeryfork_entry.detours import Detours
from celeryfork_entry.target_http import LostError, NotSentError
from celeryfork_routing.engine_loads import LayerPath, Part
from celeryfork_routing.layers import LayerRange

PATH = LayerPath(
    (
        Part("e1", "10.0.0.1:1", LayerRange(0, 4), "a"),
        Part("e2", "10.0.0.2:1", LayerRange(4, 8), "a"),
    )
)
AROUND = LayerPath((PATH.parts[0], Part("e3", "10.0.0.3:1", LayerRange(4, 8), "a")))
CALL = SimpleNamespace(facts=SimpleNamespace(id="r1"))


class Connections:
    """The first engine, as far as it answers orders."""

    def __init__(self, answer):
        self._answer = answer
        self.sent = []

    async def send(self, address, order):
        self.sent.append((address, order))
        if isinstance(self._answer, Exception):
            raise self._answer
        if self._answer is None:
            await asyncio.sleep(10)
        return SimpleNamespace(status=self._answer, read_all=self._body)

    async def _body(self, most):
        return b'{"addr":"10.0.0.3:1"}' * 100


def order_detour(answer, call=CALL, detour=AROUND):
    notes = []
    connections = Connections(answer)
    first = SimpleNamespace(address="10.0.0.1:1")
    parts = SimpleNamespace(
        table=SimpleNamespace(by_id={"e1": first}),
        dialect=SimpleNamespace(build_path_order=lambda *order: order),
        connections=connections,
        counters=Counters(),
        log_event=lambda call, event, **inputs: notes.append((event, inputs)),
    )
    choice = SimpleNamespace(detour=lambda call, path: detour)
    found = asyncio.run(Detours(parts, choice, lambda: 7).reroute(call, PATH))
    return found, connections.sent, notes


@pytest.mark.parametrize("status", [200, 202])
def test_the_first_engine_is_ordered_to_go_around(status):
    found, sent, notes = order_detour(status)
    assert found == AROUND
    assert sent == [("10.0.0.1:1", ("r1", AROUND, 7))]
    assert notes[0][0] == "detour_ordered"
    assert notes[0][1]["status"] == status


@pytest.mark.parametrize("status", [404, 409, 412])
def test_a_refused_order_is_no_detour_and_its_reason_is_logged(status):
    found, _, notes = order_detour(status)
    assert found is None
    reason = notes[0][1]["reason"]
    assert reason.startswith('{"addr"')
    assert len(reason) <= detours.MAX_REASON_BYTES


@pytest.mark.parametrize("error", [NotSentError("gone"), LostError("cut")])
def test_an_order_that_is_not_answered_is_no_detour(error):
    found, _, notes = order_detour(error)
    assert found is None
    assert notes[0][1]["status"] is None


def test_a_silent_first_engine_is_not_waited_for(monkeypatch):
    monkeypatch.setattr(detours, "ORDER_TIMEOUT_S", 0.01)
    assert order_detour(None)[0] is None


def test_nothing_is_ordered_without_a_detour_or_an_id():
    assert order_detour(200, detour=None)[:2] == (None, [])
    nameless = SimpleNamespace(facts=SimpleNamespace(id=None))
    assert order_detour(200, call=nameless)[:2] == (None, [])
