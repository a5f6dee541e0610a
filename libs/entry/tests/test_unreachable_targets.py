"""Targets to which no connection opens: nobody has run what was meant for them.

The connections are real; the other end's queue of new ones is full.
"""

import socket
import time

import pytest
from attrs import evolve
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.configuration import Idempotent
from celeryfork_entry.plain_calls import PlainCalls
from celeryfork_entry.target_http import OutgoingRequest, TargetConnections
from stream_trial import Caller, Run, Trial

QUEUE = 4
"""Connections that fill the queue of a listener, with some to spare."""


@pytest.fixture
def hole():
    """Return an address whose listener takes no more connections."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        waiting = [socket.socket() for _ in range(QUEUE)]
        for each in waiting:
            each.setblocking(False)
            each.connect_ex(server.getsockname())
        time.sleep(0.05)
        host, port = server.getsockname()
        yield f"{host}:{port}"
        for each in waiting:
            each.close()


class Unreachable(Trial):
    """Sends to some engines go over connections that never open."""

    def __init__(self, hole, **bounds):
        super().__init__(**bounds)
        self.hole, self.cut, self.real = hole, set(), TargetConnections()

    async def send(self, address, request, **options):
        if self.engines[address].target.id in self.cut:
            outgoing = OutgoingRequest("GET", "/")
            return await self.real.send(self.hole, outgoing, **options)
        return await super().send(address, request, **options)


def serve_plain(trial, left_s):
    trial.route = evolve(trial.route, kind=Idempotent())

    async def run():
        caller = Caller()
        await PlainCalls(trial.context).serve(trial.call(caller, "r1", left_s))

    begun_s = time.monotonic()
    with pytest.raises(RequestRefusedError) as refusal:
        trial.run(run())
    return refusal.value.status, time.monotonic() - begun_s


def test_a_begun_answer_taken_off_a_connection_that_opens_has_not_run_there(hole):
    trial = Unreachable(hole)
    trial.add("first", Run(3))
    trial.add("cut-1")
    trial.add("cut-2")
    trial.add("last", domain="b")
    trial.cut = {"cut-1", "cut-2"}
    caller = trial.serve()
    assert caller.has_all
    assert not any("cut-" in line["path"] for line in trial.logged("path_broke"))
    assert trial.share.state(time.monotonic(), 1).retries == 1


def test_a_stream_that_reached_nobody_is_refused_and_not_unknown(hole):
    trial = Unreachable(hole)
    trial.add("cut-1")
    trial.add("cut-2")
    trial.cut = {"cut-1", "cut-2"}
    with pytest.raises(RequestRefusedError) as refusal:
        trial.serve()
    assert refusal.value.status == 503


def test_a_plain_target_whose_connection_never_opened_has_not_run_the_call(hole):
    trial = Unreachable(hole)
    trial.add("desk-1")
    trial.cut = {"desk-1"}
    assert serve_plain(trial, 1.5)[0] == 503


def test_a_plain_call_that_reached_nobody_is_refused_while_its_caller_has_time(hole):
    trial = Unreachable(hole, max_targets=1)
    for number in range(12):
        trial.add(f"desk-{number}")
        trial.cut.add(f"desk-{number}")
    status, took_s = serve_plain(trial, 6.0)
    assert status == 503
    assert took_s < 3.0
