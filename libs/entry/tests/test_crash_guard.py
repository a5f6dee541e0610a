"""Requests that crash engines, and sound ones beside them, without a network.

The failures follow issue 27: a part of a prompt crashes each engine that begins to
write an answer on it.
"""

import asyncio
import time

import pytest
from attrs import evolve
from celeryfork_admission.crash_evidence import Verdict, make_part_trait
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.configuration import AtMostOnce, Idempotent
from celeryfork_entry.crash_guard import PROBE_DELAY_S, PROBE_WAIT_S
from celeryfork_entry.first_engines import CRASH_ONSET_S
from celeryfork_entry.plain_calls import PlainCalls
from stream_trial import Caller, LoseReply, Run, Trial

BACK = (4, 8)
FRONT = (0, 4)
DEADLY = ("common", "deadly")
CALL_S = 20.0


def add_crashing(trial, *names):
    """Add engines that end as they begin to write their first answer."""
    for name in names:
        trial.add(name, Run(0, lost=(name,), after_s=0.02))


async def serve(trial, request_id, parts, organisation="org", left_s=CALL_S):
    """Serve one stream; return its caller, or the refusal."""
    caller = Caller()
    call = trial.call(caller, request_id, left_s, parts)
    call.organisation = organisation
    try:
        await trial.streams.serve(call)
    except RequestRefusedError as error:
        return error
    return caller


def verdict(trial, part="deadly", organisation="org"):
    trait = make_part_trait("llm", part)
    return trial.evidence.judge((trait,), organisation).verdict


def arrivals(trial):
    return sum(engine.arrivals for engine in trial.engines.values())


def know_sound(trial, *parts):
    trial.evidence.record_sound([make_part_trait("llm", part) for part in parts])


def test_a_request_whose_probe_crashes_too_is_refused_with_all_of_its_part():
    """Each request with the part ended three engines."""
    trial = Trial(max_targets=9)
    know_sound(trial, "common")
    add_crashing(trial, "e1", "e2", "e3", "e4")

    async def run():
        first = await serve(trial, "r1", DEADLY)
        assert (first.status, first.code) == (502, "crashes_engines")
        assert arrivals(trial) == 2
        second = await serve(trial, "r2", DEADLY)
        assert (second.status, second.code) == (503, "crashes_engines")
        assert second.retry_after_s > 1
        assert arrivals(trial) == 2

    trial.run(run())
    assert verdict(trial) is Verdict.REFUSE
    assert verdict(trial, "common") is Verdict.CLEAR
    [line] = trial.logged("crash_convicted")
    assert (line["value"], line["kind"]) == ("deadly", "part")
    assert [line["probe"] for line in trial.logged("crash_suspect")] == [False, True]


def test_an_innocent_request_completes_as_a_probe():
    """A request is on an engine that ends for another reason."""
    trial = Trial(max_targets=9)
    trial.add("e1", Run(0, lost=("e1",), after_s=0.02))
    trial.add("e2")

    async def run():
        started_s = time.monotonic()
        caller = await serve(trial, "r1", ("common", "rare"))
        assert caller.has_complete_answer
        assert time.monotonic() - started_s >= PROBE_DELAY_S

    trial.run(run())
    assert verdict(trial, "rare") is Verdict.CLEAR
    assert len(trial.logged("crash_probe")) == 1


def test_a_request_with_sound_parts_is_retried_at_once():
    trial = Trial(max_targets=9)
    know_sound(trial, "common")
    trial.add("e1", Run(0, lost=("e1",), after_s=0.02))
    trial.add("e2")

    async def run():
        started_s = time.monotonic()
        caller = await serve(trial, "r1", ("common",))
        assert caller.has_complete_answer
        assert time.monotonic() - started_s < PROBE_DELAY_S

    trial.run(run())
    assert trial.logged("crash_probe") == []
    assert verdict(trial, "common") is Verdict.CLEAR


def test_a_request_without_parts_is_retried_at_once():
    trial = Trial(max_targets=9)
    trial.add("e1", Run(0, lost=("e1",), after_s=0.02))
    trial.add("e2")
    caller = trial.run(serve(trial, "r1", ()))
    assert caller.has_complete_answer
    assert trial.logged("crash_probe") == []


def test_engines_that_end_under_a_writing_stream_are_no_evidence():
    """All streams of an engine were suspects, also those that had written for long."""
    trial = Trial(max_targets=9)
    trial.add("e1", Run(4, lost=("e1",), gap_s=CRASH_ONSET_S / 2))
    trial.add("e2")
    caller = trial.run(serve(trial, "r1", ("rare",)))
    assert caller.has_complete_answer
    assert verdict(trial, "rare") is Verdict.CLEAR
    assert trial.logged("crash_suspect") == []


def test_a_connection_that_breaks_while_its_engine_lives_is_no_evidence():
    trial = Trial(max_targets=9)
    trial.add("e1", Run(0, lost=(), after_s=0.02))
    trial.add("e2")
    caller = trial.run(serve(trial, "r1", ("rare",)))
    assert caller.has_complete_answer
    assert trial.logged("crash_suspect") == []


def test_a_suspect_is_refused_with_503_while_another_probe_runs():
    """Each instance would run the suspects of the moment at engines of their own."""
    trial = Trial(max_targets=9)
    add_crashing(trial, "e1")
    trial.add("e2", Run(after_s=0.0))
    deadly = make_part_trait("llm", "deadly")
    trial.evidence.record_crash([deadly], "elsewhere", "org", probe=False)
    assert trial.evidence.begin_probe([deadly], "probe elsewhere")

    async def run():
        started_s = time.monotonic()
        refusal = await serve(trial, "r1", DEADLY)
        assert (refusal.status, refusal.code) == (503, "crashes_engines")
        assert 0.5 <= refusal.retry_after_s <= 1.5
        assert PROBE_WAIT_S <= time.monotonic() - started_s < 2 * PROBE_WAIT_S

    trial.run(run())
    assert arrivals(trial) == 0


def test_a_probe_that_ends_without_a_verdict_frees_its_place():
    """A caller that left, or a refusal, would have blocked probes for seconds."""
    trial = Trial(max_targets=9)
    trial.add("e1", Run(0, after_s=5.0))
    deadly = make_part_trait("llm", "deadly")
    trial.evidence.record_crash([deadly], "elsewhere", "org", probe=False)

    async def run():
        leaving = asyncio.ensure_future(serve(trial, "r1", DEADLY))
        await asyncio.sleep(0.1)
        leaving.cancel()
        await asyncio.wait({leaving})

    trial.run(run())
    assert trial.evidence.begin_probe([deadly], "next")


def test_an_engine_behind_the_first_one_that_ends_is_no_evidence():
    """Sound parts were convicted as engines behind two first ones were lost.

    The first engine runs the request, and a path has ten others (entry soak, seed 225).
    """
    trial = Trial(max_targets=9)
    trial.add("front", Run(0, lost=("back-1",), after_s=0.02), Run(), layers=FRONT)
    trial.add("back-1", layers=BACK)
    trial.add("back-2", layers=BACK)
    caller = trial.run(serve(trial, "r1", ("rare",)))
    assert caller.has_complete_answer
    assert trial.logged("crash_suspect") == trial.logged("crash_probe") == []


def test_a_whole_request_that_crashes_plain_targets_is_refused_at_the_third():
    """The same request comes again, and ends a target of a plain service each time."""
    trial = Trial(max_targets=9)
    trial.route = evolve(trial.route, kind=AtMostOnce())
    for number in range(5):
        trial.add(f"desk-{number}", LoseReply(crash=True))
    plain = PlainCalls(trial.context, trial.guard)

    async def ask(body):
        call = trial.call(Caller(), "r1", 1.5)
        call.request.body = body
        with pytest.raises(RequestRefusedError) as refusal:
            await plain.serve(call)
        return refusal.value.status

    async def run():
        for _ in range(3):
            assert await ask(b"deadly") == 502
        assert await ask(b"deadly") == 503
        assert arrivals(trial) == 3
        assert await ask(b"sound") == 502, "another request is sent"

    trial.run(run())


def test_a_probe_whose_part_is_convicted_while_it_waits_for_a_path_is_refused():
    """The probe was sent once there was a path, and ended one more engine."""
    trial = Trial(max_targets=9)
    trait = make_part_trait("llm", "deadly")
    trial.evidence.record_crash([trait], "r0", "org", probe=False)

    async def run():
        serving = asyncio.ensure_future(serve(trial, "r1", DEADLY))
        await asyncio.sleep(0.1)
        assert trial.logged("crash_probe")
        for other in ("r2", "r3"):
            trial.evidence.record_crash([trait], other, "org", probe=False)
        add_crashing(trial, "e1")
        return await serving

    refusal = trial.run(run())
    assert (refusal.status, refusal.code) == (503, "crashes_engines")
    assert arrivals(trial) == 0


def test_streams_on_one_crashed_engine_are_one_crash_together():
    """Three sound streams on an engine that ended would have convicted their parts."""
    trial = Trial(max_targets=9)
    trial.add("e1", *(Run(0, lost=("e1",), after_s=0.1) for _ in range(3)))

    async def run():
        serving = [
            asyncio.ensure_future(serve(trial, f"r{n}", ("rare",))) for n in range(3)
        ]
        await asyncio.sleep(0.2)
        assert verdict(trial, "rare") is Verdict.SUSPECT
        for each in serving:
            each.cancel()
        await asyncio.wait(serving)

    trial.run(run())
    assert arrivals(trial) == 3


def test_parts_of_a_stream_that_has_written_for_long_are_sound_before_its_end():
    trial = Trial(max_targets=9)
    rare = make_part_trait("llm", "rare")
    trial.evidence.record_crash([rare], "elsewhere", "org", probe=False)
    trial.add("e1", Run(gap_s=CRASH_ONSET_S / 2))

    async def run():
        serving = asyncio.ensure_future(serve(trial, "r1", ("rare",)))
        await asyncio.sleep(4 * CRASH_ONSET_S)
        assert not serving.done()
        assert verdict(trial, "rare") is Verdict.CLEAR
        assert (await serving).has_complete_answer

    trial.run(run())


def test_a_probe_runs_on_the_engine_with_the_fewest_requests():
    """Each crash of a probe breaks off the other streams of its engine."""
    trial = Trial(max_targets=9)
    busy = trial.add("busy", *(Run(0, after_s=9.0) for _ in range(3)))

    async def run():
        others = [asyncio.ensure_future(serve(trial, f"o{n}", ())) for n in range(3)]
        await asyncio.sleep(0.05)
        assert busy.arrivals == 3
        quiet = trial.add("quiet", domain="b")
        deadly = make_part_trait("llm", "deadly")
        trial.evidence.record_crash([deadly], "elsewhere", "org", probe=False)
        assert (await serve(trial, "r1", DEADLY)).has_complete_answer
        assert (busy.arrivals, quiet.arrivals) == (3, 1)
        for each in others:
            each.cancel()
        await asyncio.wait(others)

    trial.run(run())


def test_a_reply_of_a_plain_target_shows_that_its_request_is_sound():
    trial = Trial(max_targets=9)
    trial.route = evolve(trial.route, kind=AtMostOnce())
    rare = make_part_trait("llm", "rare")
    trial.evidence.record_crash([rare], "elsewhere", "org", probe=False)
    trial.add("desk")

    async def run():
        call = trial.call(Caller(), "r1", 1.5, ("rare",))
        call.organisation = "org"
        await PlainCalls(trial.context, trial.guard).serve(call)

    trial.run(run())
    assert verdict(trial, "rare") is Verdict.CLEAR


def test_a_sound_request_that_lost_three_targets_in_one_call_may_come_again():
    """Its retries alone convicted it: all of its kind were refused for 30 s."""
    trial = Trial(max_targets=9)
    trial.route = evolve(trial.route, kind=Idempotent())
    plain = PlainCalls(trial.context, trial.guard)
    trial.add("live", domain="b")

    async def ask():
        caller = Caller()
        call = trial.call(caller, "r1", 1.5)
        call.request.body = b"list"
        await plain.serve(call)
        return caller.status

    async def run():
        assert await ask() == 200
        for number in range(3):
            trial.add(f"lost-{number}", LoseReply(crash=True))
        trial.table.exclude("live", "a lost answer", time.monotonic())
        with pytest.raises(RequestRefusedError) as lost:
            await ask()
        assert lost.value.status == 502
        trial.table.succeeded("live")
        return await ask()

    assert trial.run(run()) == 200


def test_an_idempotent_request_that_crashes_targets_is_refused_in_its_second_call():
    """Calls that count as less than a conviction must not each end three targets."""
    trial = Trial(max_targets=9)
    trial.route = evolve(trial.route, kind=Idempotent())
    for number in range(9):
        trial.add(f"desk-{number}", LoseReply(crash=True))
    plain = PlainCalls(trial.context, trial.guard)

    async def ask():
        call = trial.call(Caller(), "r1", 1.5)
        call.request.body = b"deadly"
        with pytest.raises(RequestRefusedError) as refusal:
            await plain.serve(call)
        return refusal.value.status, arrivals(trial)

    async def run():
        return [await ask() for _ in range(4)]

    assert trial.run(run()) == [(502, 3), (502, 4), (503, 4), (503, 4)]


def test_a_crashed_probe_of_the_same_call_does_not_convict_the_request_itself():
    """Its part is cleared by others, but the request was refused for 30 s."""
    trial = Trial(max_targets=9)
    add_crashing(trial, "e1", "e2")

    async def run():
        first = await serve(trial, "r1", ("rare",))
        assert (first.status, first.code) == (502, "crashes_engines")
        know_sound(trial, "rare")
        trial.add("e3")
        return await serve(trial, "r1", ("rare",))

    assert trial.run(run()).has_complete_answer
