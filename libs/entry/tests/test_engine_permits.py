"""Limits of engines: what instances know of them, and how they keep them together."""

import asyncio
import time
from itertools import chain
from math import inf

import pytest
from attrs import evolve
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.configuration import Idempotent
from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.peer_messages import decode
from celeryfork_entry.permit_messages import (
    MAX_FORWARDS,
    PermitGrant,
    PermitRequest,
    encode_permit_grant,
    encode_permit_request,
)
from celeryfork_entry.plain_calls import PlainCalls
from orjson import dumps, loads
from stream_trial import Caller, Fleet, Run, Trial

INSTANCES = 9
LIMIT_PER_S = 5.0
WINDOW_S = 4.0
"""Window of the users' rule, which allows one and a half times the limit and 5 more."""
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLS_PER_S = 4.0
"""Calls of each instance: together seven times the limit."""


def test_each_answer_tells_of_a_limit():
    """No log line told that an engine names a limit; a report tells it too."""
    trial = Trial()
    engine = trial.add("x")
    engine.limit_per_s = 5.0
    trial.serve()
    trial.run(trial.checks.ask("x"))
    engine.limit_per_s = inf
    trial.run(trial.checks.ask("x"))
    assert trial.logged("engine_limit") == [
        {"engine": "x", "per_s": 5.0, "own": True},
        {"engine": "x", "per_s": None, "own": True},
    ]


def make_fleet(lost=lambda sender, receiver: False, limits=(LIMIT_PER_S, inf)):
    """Return instances before engines ``x`` and ``y``, which each holds all layers."""
    fleet = Fleet(INSTANCES, 1_000.0, lost)
    for trial in fleet.trials:
        for engine_id, per_s in zip("xy", limits, strict=True):
            trial.add(engine_id).limit_per_s = per_s
    return fleet


async def call_for(fleet, seconds, serve):
    """Let all instances report and call at their rate; return the calls' results."""
    ends_s = time.monotonic() + seconds

    async def report():
        while time.monotonic() < ends_s:
            for trial in fleet.trials:
                trial.peers._report()
            await asyncio.sleep(0.25)

    async def call(trial, number):
        results = []
        await asyncio.sleep(number / INSTANCES / CALLS_PER_S)
        while time.monotonic() < ends_s:
            results.append(asyncio.ensure_future(serve(trial)))
            await asyncio.sleep(1 / CALLS_PER_S)
        return await asyncio.gather(*results)

    calling = [call(trial, number) for number, trial in enumerate(fleet.trials)]
    results = await asyncio.gather(report(), *calling)
    return list(chain.from_iterable(results[1:]))


async def serve_stream(trial):
    caller = Caller()
    try:
        await trial.serve_one(caller)
    except RequestRefusedError as error:
        return error
    return caller


async def serve_plain(trial):
    caller = Caller()
    call = trial.call(caller, "r1", 1.5)
    call.route = evolve(call.route, kind=Idempotent())
    try:
        await PlainCalls(trial.context, trial.guard).serve(call)
    except RequestRefusedError as error:
        return error
    return caller


def arrivals(fleet, engine_id):
    """Return the sorted times at which requests reached an engine.

    They count from half a second after the engine's first answer to their instance on,
    as in the users' rule.
    """
    times_s = []
    for trial in fleet.trials:
        arrived_s = trial.engine(engine_id).arrived_s
        times_s += [at_s for at_s in arrived_s if at_s >= arrived_s[0] + 0.5]
    return sorted(times_s)


def most_in_window(times_s):
    return max(
        sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s)
        for begin_s in times_s
    )


# An engine that had named a limit got 49 requests in 4 s where 40 are allowed.
@pytest.mark.parametrize("serve", [serve_stream, serve_plain])
def test_all_instances_together_keep_the_limit_of_an_engine(serve):
    fleet = make_fleet()
    callers = fleet.run(call_for(fleet, WINDOW_S + 0.5, serve))
    assert all(each.ending == "whole" for each in callers)
    assert most_in_window(arrivals(fleet, "x")) <= ALLOWED
    assert len(arrivals(fleet, "x")) >= INSTANCES, "the limit is used"


# The sides of a cut can't ask each other for permits.
def test_domains_that_are_cut_off_from_each_other_keep_a_limit_together():
    def lost(sender, receiver):
        return sender.split(".")[1] != receiver.split(".")[1]

    fleet = make_fleet()

    async def cut_and_call():
        fleet.lost = lost
        return await call_for(fleet, WINDOW_S + 0.5, serve_stream)

    callers = fleet.run(cut_and_call())
    assert all(each.ending == "whole" for each in callers)
    assert most_in_window(arrivals(fleet, "x")) <= ALLOWED


# A relay that dies takes what it has issued with it.
def test_a_limit_is_kept_when_its_issuer_dies():
    fleet, dead = make_fleet(), set()
    issuer = fleet.trials[0].roster.own.address
    fleet.lost = lambda sender, receiver: bool({sender, receiver} & dead)

    async def kill_and_call():
        asyncio.get_running_loop().call_later(1.5, dead.add, issuer)
        return await call_for(fleet, WINDOW_S + 1.0, serve_stream)

    fleet.run(kill_and_call())
    assert most_in_window(arrivals(fleet, "x")) <= ALLOWED
    issued = [trial.counters.count("permits.issued") for trial in fleet.trials]
    assert issued[0] > 0
    assert sum(issued[1:]) > 0, "another relay issues"


# Instances that hadn't asked for a while each had a permit of their own share when
# their issuer ceased to answer, and used them at the same moment.
def test_shares_are_not_saved_while_an_issuer_answers():
    fleet = make_fleet()
    for trial in fleet.trials:
        trial.serve()

    async def wait_and_lose_the_issuer():
        await call_for(fleet, 0.5, serve_stream)
        await asyncio.sleep(2 * INSTANCES / LIMIT_PER_S)
        fleet.lost = lambda sender, receiver: True
        others = fleet.trials[1:]
        taken = [trial.permits.acquire("x") for trial in others]
        return sum(await asyncio.gather(*taken))

    assert fleet.run(wait_and_lose_the_issuer()) == 0


def test_lost_permit_datagrams_never_create_permits():
    dropped = iter(range(1_000_000))
    fleet = make_fleet(lambda sender, receiver: next(dropped) % 3 == 0)
    fleet.run(call_for(fleet, WINDOW_S + 0.5, serve_stream))
    assert most_in_window(arrivals(fleet, "x")) <= ALLOWED


# A call that no engine takes in time waited until its deadline.
@pytest.mark.parametrize("serve", [serve_stream, serve_plain])
def test_calls_are_refused_at_once_if_no_limited_engine_takes_them_in_time(serve):
    trial = Trial()
    trial.add("x").limit_per_s = 0.5
    trial.serve()

    async def refused():
        results = [await serve(trial) for _ in range(2)]
        begun_s = time.monotonic()
        return await serve(trial), time.monotonic() - begun_s, results

    error, held_s, _ = trial.run(refused())
    assert error.status == 503
    assert 0.5 < error.retry_after_s <= 8.0
    assert held_s < 0.25
    assert trial.engine("x").arrivals == 1


def test_an_engine_is_used_again_once_its_limit_has_ended():
    trial = Trial()
    engine = trial.add("x")
    engine.limit_per_s = 0.1
    trial.serve()

    async def end_and_serve():
        assert isinstance(await serve_stream(trial), RequestRefusedError)
        engine.limit_per_s = inf
        await trial.checks.ask("x")
        return [await serve_stream(trial) for _ in range(20)]

    callers = trial.run(end_and_serve())
    assert all(caller.has_complete_answer for caller in callers)


# Calls that asked as the limit ended waited in vain, and no permit was ever asked for
# once the engine named a limit again.
def test_permits_are_asked_for_again_after_a_limit_has_ended():
    trial = Trial()
    engine = trial.add("x")
    engine.limit_per_s = 100.0
    trial.serve()

    async def end_and_name_again():
        asked = asyncio.ensure_future(trial.permits.acquire("x"))
        await asyncio.sleep(0)
        now_s = time.monotonic()
        trial.permits.record_limit("x", EngineLimit(inf, 1, now_s, own=True))
        assert await asked
        named = EngineLimit(100.0, 1, time.monotonic(), own=True)
        trial.permits.record_limit("x", named)
        for _ in range(20):
            if await trial.permits.acquire("x"):
                return True
            await asyncio.sleep(0.03)
        return False

    assert trial.run(end_and_name_again())
    assert trial.counters.count("permits.unanswered") == 0


# An engine that had named 0 requests a second was never used again, as only answers to
# requests tell that a limit has ended.
def test_an_engine_without_permits_is_asked_whether_its_limit_holds():
    trial = Trial()
    engine = trial.add("x")
    engine.limit_per_s = 0.0
    trial.serve()
    trial.permits.on_old_limit = lambda target: asyncio.ensure_future(
        trial.checks.ask(target.id)
    )

    async def end_and_serve():
        assert isinstance(await serve_stream(trial), RequestRefusedError)
        engine.limit_per_s = inf
        until_s = time.monotonic() + 4.0
        while time.monotonic() < until_s:
            caller = await serve_stream(trial)
            if not isinstance(caller, RequestRefusedError):
                return caller
            await asyncio.sleep(0.1)
        return None

    assert trial.run(end_and_serve()).has_complete_answer


def test_a_stream_goes_on_over_another_engine_if_its_engine_has_no_permit():
    """The repeat of a broken stream counts like any request."""
    trial = Trial()
    trial.add("x", Run(events=3, lost=("x",)))
    trial.add("y").limit_per_s = 0.0
    trial.add("z")
    trial.run(trial.checks.ask("y"))
    assert trial.serve().has_complete_answer
    assert trial.engine("y").arrivals == 0


def limit(per_s=5.0):
    return EngineLimit(per_s, 1, time.monotonic(), own=True)


@pytest.mark.parametrize(
    "message",
    [
        PermitRequest("10.0.0.0:7", 3, "x", 2, limit(), MAX_FORWARDS),
        PermitGrant(3, 2, 0.5, limit(inf)),
        PermitGrant(3, 0, 0.5),
    ],
)
def test_messages_are_read_as_written(message):
    match message:
        case PermitRequest():
            read = decode(encode_permit_request(message))
        case PermitGrant():
            read = decode(encode_permit_grant(message))
    if message.limit is not None:
        assert read.limit.per_s == message.limit.per_s
        assert read.limit.at_s == pytest.approx(message.limit.at_s, abs=0.1)
    assert evolve(read, limit=None) == evolve(message, limit=None)


@pytest.mark.parametrize(
    "fields",
    [
        {"asks": 0}, {"asks": 257}, {"asks": True}, {"asks": None},
        {"forwards": MAX_FORWARDS + 1}, {"forwards": -1}, {"engine": ""},
        {"engine": "a b"}, {"for": "x"}, {"number": 1.5}, {"limit": None},
        {"limit": [-1.0, 1, 0]}, {"limit": [1.0, 1]}, {"limit": [1.0, 1, -5]},
        {"limit": ["1", 1, 0]}, {"limit": [True, 1, 0]},
    ],
)  # fmt: skip
def test_malformed_requests_for_permits_are_rejected(fields):
    whole = loads(
        encode_permit_request(PermitRequest("10.0.0.0:7", 3, "x", 2, limit()))
    )
    with pytest.raises(ValueError):
        decode(dumps(whole | fields))


@pytest.mark.parametrize(
    "fields",
    [{"issues": -1}, {"issues": 257}, {"wait": "1"}, {"wait": None}, {"limit": "x"}],
)
def test_malformed_answers_with_permits_are_rejected(fields):
    whole = loads(encode_permit_grant(PermitGrant(3, 2, 0.5)))
    with pytest.raises(ValueError):
        decode(dumps(whole | fields))


def test_answers_to_no_request_give_no_permits():
    """A peer, or an instance's earlier start, must not lift a limit."""
    trial = Trial()
    trial.add("x").limit_per_s = 0.1
    trial.serve()
    for number in range(50):
        trial.permits.handle_message(PermitGrant(number, 200, 0.0))
    assert trial.counters.count("permits.came_late") == 50 * 200
    assert isinstance(trial.run(serve_stream(trial)), RequestRefusedError)
