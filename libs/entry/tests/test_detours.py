"""Orders that reroute streams around lost engines, without a network."""

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
DETOUR = LayerPath((PATH.parts[0], Part("e3", "10.0.0.3:1", LayerRange(4, 8), "a")))
CALL = SimpleNamespace(metadata=SimpleNamespace(id="r1"))


class Connections:
    """Fake connections on which the first engine replies to orders.

    ``answer`` is the status of its reply, the error raised, or None for no reply. The
    body of an ``endless`` reply doesn't end.
    """

    def __init__(self, answer, endless=False):
        self._answer = answer
        self.endless = endless
        self.dropped = 0
        self.sent = []

    async def send(self, address, order):
        self.sent.append((address, order))
        if isinstance(self._answer, Exception):
            raise self._answer
        if self._answer is None:
            await asyncio.sleep(10)
        return SimpleNamespace(
            status=self._answer, read_all=self._body, drop=self._drop
        )

    def _drop(self):
        self.dropped += 1

    async def _body(self, max_bytes):
        if self.endless:
            await asyncio.sleep(10)
        return b'{"addr":"10.0.0.3:1"}' * 100


def reroute_with(answer, call=CALL, detour=DETOUR, connections=None):
    logged = []
    connections = connections or Connections(answer)
    first = SimpleNamespace(address="10.0.0.1:1")
    context = SimpleNamespace(
        table=SimpleNamespace(by_id={"e1": first}),
        dialect=SimpleNamespace(build_path_order=lambda *order: order),
        connections=connections,
        counters=Counters(),
        log_event=lambda call, event, **inputs: logged.append((event, inputs)),
    )
    selector = SimpleNamespace(detour=lambda call, path: detour)
    found = asyncio.run(Detours(context, selector, lambda: 7).reroute(call, PATH))
    return found, connections.sent, logged


@pytest.mark.parametrize("status", [200, 202])
def test_the_first_engine_is_ordered_to_use_the_detour(status):
    found, sent, logged = reroute_with(status)
    assert found == DETOUR
    assert sent == [("10.0.0.1:1", ("r1", DETOUR, 7))]
    assert logged[0][0] == "detour_ordered"
    assert logged[0][1]["status"] == status


@pytest.mark.parametrize("status", [404, 409, 412])
def test_a_refused_order_returns_no_detour_and_logs_the_reason(status):
    found, _, logged = reroute_with(status)
    assert found is None
    reason = logged[0][1]["reason"]
    assert reason.startswith('{"addr"')
    assert len(reason) <= detours.MAX_REASON_BYTES


@pytest.mark.parametrize("error", [NotSentError("gone"), LostError("cut")])
def test_an_order_without_a_reply_returns_no_detour(error):
    found, _, logged = reroute_with(error)
    assert found is None
    assert logged[0][1]["status"] is None


def test_an_unresponsive_first_engine_times_out(monkeypatch):
    monkeypatch.setattr(detours, "ORDER_TIMEOUT_S", 0.01)
    assert reroute_with(None)[0] is None


def test_the_connection_of_an_endless_reply_is_closed(monkeypatch):
    """It stayed open, and the engine's late bytes were read into its buffer."""
    monkeypatch.setattr(detours, "ORDER_TIMEOUT_S", 0.01)
    connections = Connections(200, endless=True)
    assert reroute_with(200, connections=connections)[0] is None
    assert connections.dropped == 1


def test_no_order_is_sent_without_a_detour_or_a_request_id():
    assert reroute_with(200, detour=None)[:2] == (None, [])
    without_id = SimpleNamespace(metadata=SimpleNamespace(id=None))
    assert reroute_with(200, call=without_id)[:2] == (None, [])
