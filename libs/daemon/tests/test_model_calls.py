"""Model calls that are cut off: none leaves its caller with a silent connection."""

import gc
import socket
import threading
import time
from concurrent.futures import Future
from types import SimpleNamespace

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_daemon.http_call import HttpCall
from celeryfork_daemon.in_flight import InFlight
from celeryfork_daemon.model_calls import ModelCallParts, ModelCalls
from celeryfork_streams.loop_thread import make_loop_thread
from celeryfork_streams.policy import StreamPolicy

WAIT_S = 5.0
MODEL = SimpleNamespace(name="m", most_tokens=100, most_prompt_characters=100)
CALL = HttpCall(
    method="POST",
    path="/v1/completions",
    query="",
    headers={},
    body=b'{"model": "m", "prompt": "Hard water"}',
    request_id="r1",
    received_s=0.0,
)


class Calls:
    """Model calls whose turn never comes, and their loop."""

    def __init__(self):
        clock = SystemClock()
        self.entered = []
        self.in_flight = InFlight(clock)
        self.loop_thread = make_loop_thread()
        self.loop_thread.start()
        organisation = SimpleNamespace(name="kiosk", weight=1.0, priority=5)
        configuration = SimpleNamespace(models_by_name={"m": MODEL})
        self.calls = ModelCalls(
            ModelCallParts(
                callers=SimpleNamespace(organisation_of=lambda call: organisation),
                configuration=lambda: configuration,
                stream_policy=StreamPolicy,
                deadlines=SimpleNamespace(of=lambda call: clock.monotonic() + 60),
                admission=SimpleNamespace(acquire=self._acquire),
                poison=SimpleNamespace(check=lambda fingerprint: None),
                runner=None,
                loop_thread=self.loop_thread,
                in_flight=self.in_flight,
                clock=clock,
                counters=Counters(),
            )
        )

    def _acquire(self, request):
        self.entered.append(Future())
        return self.entered[-1]

    def begin(self):
        """Hand a call's connection over, and return the caller's end."""
        caller, theirs = connected()
        self.calls.completion(CALL).take(theirs)
        return caller

    def run_on_loop(self, function):
        async def run():
            return function()

        return self.loop_thread.submit(run())


def connected():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname(), timeout=WAIT_S)
        theirs, _ = listener.accept()
    return ours, theirs


@pytest.fixture
def calls():
    made = Calls()
    # What ends by the collector of cycles ends when it likes.
    gc.disable()
    yield made
    gc.enable()
    made.loop_thread.stop()


def closed(caller):
    """Return whether the other end closes; raises TimeoutError where it is silent."""
    with caller:
        try:
            return caller.recv(1) == b""
        except ConnectionResetError:
            return True


def test_a_call_that_waits_for_its_turn_is_cut_off(calls):
    caller = calls.begin()
    deadline_s = time.monotonic() + WAIT_S
    while not calls.run_on_loop(lambda: calls.entered[0]._done_callbacks).result():
        assert time.monotonic() < deadline_s
    calls.calls.cancel_all()
    assert closed(caller)
    assert calls.entered[0].cancelled()
    assert calls.in_flight.wait_empty(WAIT_S)


def test_a_call_that_the_loop_has_not_begun_is_cut_off(calls):
    busy, go_on = threading.Event(), threading.Event()
    calls.run_on_loop(lambda: (busy.set(), go_on.wait(WAIT_S)))
    assert busy.wait(WAIT_S)
    caller = calls.begin()
    calls.calls.cancel_all()
    go_on.set()
    assert closed(caller)
    assert calls.entered[0].cancelled()
    assert calls.in_flight.wait_empty(WAIT_S)


def test_a_call_that_comes_after_all_were_cut_off_is_cut_off_as_well(calls):
    calls.calls.cancel_all()
    caller = calls.begin()
    assert closed(caller)
    assert calls.in_flight.wait_empty(WAIT_S)
