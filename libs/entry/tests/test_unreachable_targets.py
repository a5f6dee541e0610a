"""Targets to which no connection can be opened, so that they have run nothing.

The connections are real, to a listener whose backlog is full.
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

PENDING_CONNECTIONS = 4
"""Number of connections that more than fill the backlog of a listener."""


@pytest.fixture
def unreachable_address():
    """Return the address of a listener that accepts no more connections."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        waiting = [socket.socket() for _ in range(PENDING_CONNECTIONS)]
        for each in waiting:
            each.setblocking(False)
            each.connect_ex(server.getsockname())
        time.sleep(0.05)
        host, port = server.getsockname()
        yield f"{host}:{port}"
        for each in waiting:
            each.close()


class UnreachableTrial(Trial):
    """A trial in which connections to some engines can't be opened.

    Parameters
    ----------
    cut
        Ids of these engines.
    """

    def __init__(self, unreachable_address, **bounds):
        super().__init__(**bounds)
        self.unreachable_address, self.cut, self.real = (
            unreachable_address,
            set(),
            TargetConnections(),
        )

    async def send(self, address, request, **options):
        if self.engines[address].target.id in self.cut:
            outgoing = OutgoingRequest("GET", "/")
            return await self.real.send(self.unreachable_address, outgoing, **options)
        return await super().send(address, request, **options)


def serve_plain(trial, left_s):
    trial.route = evolve(trial.route, kind=Idempotent())

    async def run():
        caller = Caller()
        await PlainCalls(trial.context, trial.guard).serve(
            trial.call(caller, "r1", left_s)
        )

    begun_s = time.monotonic()
    with pytest.raises(RequestRefusedError) as refusal:
        trial.run(run())
    return refusal.value.status, time.monotonic() - begun_s


def test_a_stream_interrupted_while_connecting_has_not_run_there(unreachable_address):
    trial = UnreachableTrial(unreachable_address)
    trial.add("first", Run(3))
    trial.add("cut-1")
    trial.add("cut-2")
    trial.add("last", domain="b")
    trial.cut = {"cut-1", "cut-2"}
    caller = trial.serve()
    assert caller.has_complete_answer
    assert not any("cut-" in line["path"] for line in trial.logged("path_broke"))
    assert trial.share.state(time.monotonic(), 1).retries == 1


def test_a_stream_that_reached_no_engine_is_refused(unreachable_address):
    trial = UnreachableTrial(unreachable_address)
    trial.add("cut-1")
    trial.add("cut-2")
    trial.cut = {"cut-1", "cut-2"}
    with pytest.raises(RequestRefusedError) as refusal:
        trial.serve()
    assert refusal.value.status == 503


def test_a_plain_call_whose_connection_never_opened_was_not_run(unreachable_address):
    trial = UnreachableTrial(unreachable_address)
    trial.add("desk-1")
    trial.cut = {"desk-1"}
    assert serve_plain(trial, 1.5)[0] == 503


def test_a_plain_call_that_reached_no_target_is_refused_before_its_deadline(
    unreachable_address,
):
    trial = UnreachableTrial(unreachable_address, max_targets=1)
    for number in range(12):
        trial.add(f"desk-{number}")
        trial.cut.add(f"desk-{number}")
    status, took_s = serve_plain(trial, 6.0)
    assert status == 503
    assert took_s < 3.0
