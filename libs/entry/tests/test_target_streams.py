"""Promises of streams, for services without a model and for those with one.

Without a model, a single target runs a stream at a time; with one, each engine of these
trials holds all layers.
"""

import asyncio
import contextlib
import time

import pytest
from attrs import evolve
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.configuration import Stream
from celeryfork_entry.first_engines import MAX_LOST_ENGINES
from celeryfork_entry.plain_calls import (
    BUSY_RETRY_AFTER_S,
    NO_TARGETS_RETRY_AFTER_S,
)
from celeryfork_entry.stream_waits import SILENCE_LIMIT_S
from celeryfork_entry.target_http import OutgoingRequest, TargetConnections
from celeryfork_entry.targets import Listed
from skipping_loop import simulated_time
from stream_trial import (
    ANSWER_EVENTS,
    PLAIN_SERVICE,
    Caller,
    Engine,
    LoseReply,
    Refuse,
    ReplyWithError,
    Run,
    Stall,
    Trial,
)

pytestmark = pytest.mark.usefixtures("each_service")
without_model = pytest.mark.parametrize(
    "each_service", [PLAIN_SERVICE], ids=["plain"], indirect=True
)
"""Marks tests of what differs from streams over engines."""
GAP_S = 0.05
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: r1\r\n\r\n"
ONCE = Stream(False, 0.2)


def handle(trial, left_s=20.0):
    """Let the dispatcher handle a request; return its caller."""
    caller = Caller()
    trial.run(trial.dispatcher().handle(caller, trial.request("r1", left_s)))
    return caller


def arrivals(trial):
    return sum(target.arrivals for target in trial.engines.values())


def test_events_are_forwarded_as_they_arrive():
    """Callers got the whole answer at its end (review, case 9)."""
    trial = Trial()
    trial.add("desk", Run(gap_s=GAP_S))
    caller = handle(trial)
    assert caller.has_complete_answer
    assert len(caller.at_s) == ANSWER_EVENTS
    assert caller.at_s[-1] - caller.at_s[0] > GAP_S * (ANSWER_EVENTS - 2)


def test_a_sound_stream_that_takes_long_is_run_once():
    """The limit for a whole reply sent it to three targets, one after the other."""
    trial = Trial(max_targets=3)
    for number in range(3):
        trial.add(f"desk-{number}", Run(gap_s=2 * GAP_S))
    assert handle(trial).has_complete_answer
    assert arrivals(trial) == 1


@without_model
def test_a_stream_that_breaks_off_is_continued_at_another_target():
    """Its caller got 502, though both targets could resume it."""
    trial = Trial()
    trial.add("desk-1", Run(3))
    trial.add("desk-2", domain="b")
    caller = handle(trial)
    assert caller.has_complete_answer
    assert trial.engine("desk-2").arrivals == 1
    [chosen, other] = trial.logged("path_chosen")
    assert (chosen["target"], other["target"]) == ("desk-1", "desk-2")
    assert (chosen["after"], other["after"]) == (None, 3)


def test_a_stream_that_may_not_be_resumed_is_broken_off_with_what_came():
    trial = Trial()
    trial.route = evolve(trial.route, kind=ONCE)
    trial.add("desk-1", Run(3))
    trial.add("desk-2", domain="b")
    caller = handle(trial)
    assert (caller.events, caller.ending) == ([1, 2, 3], "broken off")
    assert arrivals(trial) == 1
    [line] = trial.logged("broken_off")
    assert line["ended_by"] == "kind"


@pytest.mark.parametrize("step", [Run(0), LoseReply()], ids=["in-body", "no-head"])
def test_a_stream_that_may_not_be_resumed_is_not_run_again(step):
    trial = Trial()
    trial.route = evolve(trial.route, kind=ONCE)
    trial.add("desk-1", step)
    trial.add("desk-2", domain="b")
    assert handle(trial).status == 502
    assert arrivals(trial) == 1


@without_model
def test_a_stream_that_may_not_be_resumed_uses_a_new_connection():
    """A kept one may be closed while the request is sent, which may have run then."""
    used = []
    for resumable in (True, False):
        trial = Trial()
        trial.route = evolve(trial.route, kind=Stream(resumable, 0.2))
        trial.add("desk")
        send = trial.send

        async def record(*args, send=send, fresh=False, **options):
            used.append(fresh)
            return await send(*args, **options)

        trial.context.connections = type("Fake", (), {"send": staticmethod(record)})
        assert handle(trial).has_complete_answer
    assert used == [False, True]


def test_a_stream_runs_on_no_more_targets_than_its_route_allows():
    trial = Trial(max_targets=2)
    for number in range(5):
        trial.add(f"desk-{number}", *[Run(1)] * 2)
    assert handle(trial).events
    assert sum(target.runs > 0 for target in trial.engines.values()) <= 2


def test_a_target_that_has_ended_does_not_count():
    trial = Trial(max_targets=1)
    trial.add("desk-1", Run(3, lost=("desk-1",)))
    trial.add("desk-2", domain="b")
    assert handle(trial).has_complete_answer
    assert trial.table.health("desk-1").ended


def test_a_target_restarted_under_its_id_does_not_count():
    """The new process has not run the stream; other targets may."""
    trial = Trial(max_targets=1)
    desk = trial.add("desk-1", Run(3), *[Refuse("desk-1")] * 9)

    async def serve():
        caller = Caller()
        serving = asyncio.ensure_future(trial.serve_one(caller))
        while len(caller.events) < 3:
            await asyncio.sleep(0.01)
        desk.target = evolve(desk.target, born_ms=2)
        trial.table.apply([Listed(desk.target)])
        trial.add("desk-2", domain="b")
        await serving
        return caller

    assert trial.run(serve()).has_complete_answer


def test_a_stream_that_ends_its_targets_is_given_up():
    """It would have ended the whole service, as one that crashes engines would."""
    trial = Trial(max_targets=9)
    for number in range(MAX_LOST_ENGINES + 3):
        name = f"desk-{number}"
        trial.add(name, Run(1, lost=(name,), after_s=0.0))
    caller = handle(trial)
    assert caller.ending == "broken off"
    assert arrivals(trial) <= MAX_LOST_ENGINES
    assert trial.counters.count("crashes.recorded") == arrivals(trial)


def test_a_stream_that_all_targets_refuse_has_not_run():
    trial = Trial()
    for number in range(3):
        trial.add(f"desk-{number}", *[Refuse(f"desk-{number}")] * 9)
    assert handle(trial).status == 503
    assert arrivals(trial) == 3


@without_model
def test_a_stream_without_targets_is_refused_at_once():
    begun_s = time.monotonic()
    assert handle(Trial()).status == 503
    assert time.monotonic() - begun_s < 0.2


@without_model
@pytest.mark.parametrize(
    ("targets", "after_s"), [(2, BUSY_RETRY_AFTER_S), (0, NO_TARGETS_RETRY_AFTER_S)]
)
def test_a_refused_caller_is_told_to_come_back_as_for_a_plain_call(targets, after_s):
    """The share of refusals is no measure for a service that few streams go to."""
    trial = Trial()
    for number in range(targets):
        trial.add(f"desk-{number}", Refuse(f"desk-{number}"))
    handle(trial)
    [line] = trial.logged("refused")
    assert line["retry_after_s"] == after_s


def test_a_stream_whose_targets_refuse_to_continue_it_waits_for_them():
    """The caller has a part of it: it can't be refused any more."""
    trial = Trial()
    trial.add("desk-1", Run(3), *[Refuse("desk-1")] * 3)
    trial.add("desk-2", *[Refuse("desk-2")] * 3, domain="b")
    assert handle(trial).has_complete_answer


def test_an_answer_that_is_no_stream_is_forwarded_whole():
    trial = Trial()
    trial.add("desk-1", ReplyWithError())
    assert (handle(trial).status, arrivals(trial)) == (500, 1)
    trial.add("desk-2", domain="b")
    trial.engine("desk-1").script.append(ReplyWithError())
    assert handle(trial).has_complete_answer


@without_model
def test_an_answer_below_500_is_forwarded_at_once():
    """Another target would answer the same: the failure is in the request."""
    missing = b"HTTP/1.1 404 X\r\nX-Attempt-Id: r1\r\nContent-Length: 2\r\n\r\nno"
    caller = serve_at(SocketTarget(missing))
    assert (caller.status, caller.ending) == (404, "whole")


def test_a_target_that_answers_that_it_leaves_gets_no_further_streams():
    trial = Trial()
    trial.add("desk-1").leaving = True
    trial.add("desk-2", domain="b")
    for _ in range(4):
        assert handle(trial).has_complete_answer
    assert trial.engine("desk-1").arrivals == 1


def test_a_silent_target_is_left_for_another_one():
    with simulated_time() as run:
        trial = Trial()
        trial.add("desk-1", Stall())
        trial.add("desk-2", domain="b")
        caller = Caller()
        begun_s = time.monotonic()
        run(asyncio.wait_for(trial.serve_one(caller), 10.0))
        took_s = time.monotonic() - begun_s
    assert caller.has_complete_answer
    assert SILENCE_LIMIT_S <= took_s < SILENCE_LIMIT_S + 0.5


def test_a_silent_target_is_left_for_one_that_has_failed_before():
    with simulated_time() as run:
        trial = Trial()
        trial.add("desk-1", Run(3))
        trial.add("desk-2", Stall(), domain="b")
        caller = Caller()
        run(asyncio.wait_for(trial.serve_one(caller), 10.0))
    assert caller.has_complete_answer


@without_model
@pytest.mark.parametrize(
    ("options", "others"),
    [({"slack": 0.0}, 1), ({"max_targets": 1}, 1), ({}, 0)],
    ids=["no-retry-budget", "no-further-target", "no-other"],
)
def test_a_silent_target_is_kept_if_the_stream_has_nowhere_else_to_go(options, others):
    """A pause is no reason to end an answer (review, case 4)."""
    with simulated_time() as run:
        trial = Trial(**options)
        desk = trial.add("desk-1", Run(gap_s=GAP_S))
        for _ in range(others):
            trial.add("desk-2", domain="b")
        caller = Caller()

        async def pause():
            await asyncio.sleep(GAP_S * ANSWER_EVENTS / 2)
            desk.awake.clear()
            await asyncio.sleep(2 * SILENCE_LIMIT_S)
            desk.awake.set()

        async def serve():
            await asyncio.gather(pause(), trial.serve_one(caller))

        run(asyncio.wait_for(serve(), 10.0))
    assert caller.has_complete_answer
    assert arrivals(trial) == 1
    [line] = trial.logged("silent_path_kept")
    assert line["other_path"] == ("slack" in options)


def test_a_stream_that_waits_for_a_silent_target_ends_with_its_time():
    trial = Trial()
    trial.add("desk", Stall())
    begun_s = time.monotonic()
    with pytest.raises(RequestRefusedError) as failure:
        trial.run(trial.serve_call(trial.call(Caller(), "r1", 0.4)))
    assert failure.value.status == 504
    assert time.monotonic() - begun_s < 0.8


@without_model
def test_the_log_of_a_caller_that_left_names_the_target():
    trial = Trial()
    trial.add("desk", Run(3, after_s=9.0))

    async def leave():
        request = trial.request("r1", 20.0)
        handling = asyncio.ensure_future(trial.dispatcher().handle(Caller(), request))
        await asyncio.sleep(0.3)
        handling.cancel()
        with pytest.raises(asyncio.CancelledError):
            await handling

    trial.run(leave())
    [line] = trial.logged("caller_left")
    assert (line["begun"], line["last"], line["waiting_for"]) == (True, 3, "target")


class SocketTarget:
    """A target that writes the same bytes to each request.

    Parameters
    ----------
    ends
        True if its process ends with its first answer.
    stays
        True if it keeps the connection open.
    """

    def __init__(self, answer, *, ends=False, stays=False):
        self.answer, self.ends, self.stays = answer, ends, stays
        self.left = asyncio.Event()

    async def listen(self, trial, name, domain):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = "{}:{}".format(*self.server.sockets[0].getsockname())
        target = evolve(trial.add(name, domain=domain).target, address=address)
        trial.engines[address] = Engine(target)
        trial.table.apply([Listed(target)])

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await writer.drain()
            if self.stays:
                await reader.read()
                self.left.set()
            await asyncio.sleep(0.02)
            if self.ends:
                self.server.close()
        writer.close()


def encode_events(first, last):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


def serve_at(first, *, kind=None):
    """Serve a stream at a target, and after it at one that sends the last events."""
    trial, caller = Trial(), Caller()
    trial.context.connections = TargetConnections()
    trial.build_target_request = lambda *_: OutgoingRequest("POST", "/")
    if kind is not None:
        trial.route = evolve(trial.route, kind=kind)

    async def run():
        await first.listen(trial, "desk-1", "a")
        sound = SocketTarget(HEAD + encode_events(4, ANSWER_EVENTS))
        await sound.listen(trial, "desk-2", "b")
        handling = trial.dispatcher().handle(caller, trial.request("r1", 20.0))
        await asyncio.wait_for(handling, 5.0)

    trial.run(run())
    return caller


@pytest.mark.parametrize("cut", [b"id: 4\ndata: x", b"id: 4\ndata: x\n", b"id"])
def test_a_stream_without_a_length_that_ends_inside_an_event_is_continued(cut):
    """It was given out as a complete 200 with a Content-Length (review, case 9)."""
    target = SocketTarget(HEAD + encode_events(1, 3) + cut)
    assert serve_at(target).has_complete_answer


def test_such_a_stream_that_may_not_be_resumed_is_broken_off():
    target = SocketTarget(HEAD + encode_events(1, 3) + b"id: 4\nda")
    caller = serve_at(target, kind=ONCE)
    assert (caller.events, caller.ending) == ([1, 2, 3], "broken off")


@without_model
def test_a_stream_without_a_length_that_ends_with_its_target_is_continued():
    """The kernel closes the connections of a killed process like a whole reply's."""
    target = SocketTarget(HEAD + encode_events(1, 3), ends=True)
    assert serve_at(target).has_complete_answer


def test_a_stream_without_a_length_that_ends_between_events_is_complete():
    caller = serve_at(SocketTarget(HEAD + encode_events(1, 3)))
    assert (caller.events, caller.ending) == ([1, 2, 3], "whole")


def test_an_encoded_answer_is_not_taken_for_events():
    """Encodings were not requested: the answer isn't the target's."""
    encoded = HEAD[:-2] + b"Content-Encoding: gzip\r\n\r\n" + encode_events(1, 3)
    assert serve_at(SocketTarget(encoded), kind=ONCE).status == 502


def test_a_target_whose_caller_leaves_is_left_at_once():
    trial = Trial()
    trial.context.connections = TargetConnections()
    trial.build_target_request = lambda *_: OutgoingRequest("POST", "/")

    async def run():
        target = SocketTarget(HEAD + encode_events(1, 3), stays=True)
        await target.listen(trial, "desk", "a")
        caller = Caller()
        serving = asyncio.ensure_future(trial.serve_one(caller))
        while len(caller.events) < 3:
            await asyncio.sleep(0.01)
        serving.cancel()
        await asyncio.wait_for(target.left.wait(), 0.5)

    trial.run(run())
