"""Streams whose prompts share a part that crashes each engine which runs them.

Issue 27: such requests ended engine after engine, and sound ones shared their caller
and their other parts.
"""

import asyncio
from contextlib import suppress

import pytest
from celeryfork_admission.crash_evidence import make_part_trait
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.first_engines import (
    MAX_LOST_ENGINES,
    MAX_LOST_ENGINES_IF_SOUND,
)
from stream_trial import CALL_S, Caller, CrashOn, Run, Trial

ENGINES = 8
REQUESTS = 5
MOST_CRASHES = 2
"""A first run, and a probe of what the first crash made a suspect."""


@pytest.fixture
def trial():
    """Engines in two domains, each of which the part crashes."""
    trial = Trial()
    for number in range(ENGINES):
        trial.add(f"engine-{number}", CrashOn("deadly"), domain="ab"[number % 2])
    return trial


async def serve(trial, number, part="deadly"):
    """Serve a request with a part, and return its status; None for a cut stream."""
    caller = Caller()
    parts = ("common", part, f"other-{number}")
    try:
        await trial.streams.serve(trial.call(caller, f"r{number}", CALL_S, parts))
    except RequestRefusedError as refusal:
        return refusal.status
    return caller.status if caller.has_complete_answer else None


def crashes(trial):
    return sum(engine.gone for engine in trial.engines.values())


def test_a_part_that_crashes_engines_ends_one_in_a_run_and_one_in_a_probe(trial):
    """Each request ended up to three engines, and the next one began anew."""

    async def run():
        return [await serve(trial, number) for number in range(REQUESTS)]

    statuses = trial.run(run())
    assert 0 < crashes(trial) <= MOST_CRASHES
    assert statuses[-1] == 503, "a request that no engine runs may come again"


def test_a_request_with_a_suspected_part_is_run_by_one_engine_at_a_time(trial):
    """Requests that came at once ended an engine each, and then the next."""

    async def run():
        await serve(trial, 0)
        await asyncio.gather(*(serve(trial, 1 + n) for n in range(REQUESTS)))

    trial.run(run())
    assert 0 < crashes(trial) <= MOST_CRASHES


def test_a_sound_stream_on_a_crashed_engine_is_continued_whole():
    """Sound streams lost engine after engine with the deadly ones beside them."""
    trial = Trial()
    trial.add("first", Run(3, after_s=9.0), CrashOn("deadly"))
    sound = Caller()

    async def run():
        streams = trial.streams
        call = trial.call(sound, "sound", CALL_S, ("common", "fine"))
        serving = asyncio.ensure_future(streams.serve(call))
        await asyncio.sleep(0.05)
        assert sound.events == [1, 2, 3]
        deadly = asyncio.ensure_future(serve(trial, 0))
        await asyncio.sleep(0)
        for number in range(ENGINES):
            trial.add(f"engine-{number}", CrashOn("deadly"), domain="ab"[number % 2])
        await asyncio.gather(serving, deadly)
        for number in range(REQUESTS):
            await serve(trial, 1 + number)
        return await serve(trial, 99, part="fine")

    assert trial.run(run()) == 200, "sound requests that share its parts are served"
    assert trial.engine("first").gone and sound.has_complete_answer


def test_a_stream_whose_parts_are_known_to_be_sound_outlives_three_engines():
    """Entry soak, seed 205: it was broken off as what crashed its engines.

    Deadly requests at other instances ended two of them, and a third was silent.
    """
    trial = Trial()
    trial.add("first", Run(3, lost=("first",)))
    for number in range(3):
        name = f"next-{number}"
        trial.add(name, Run(0, lost=(name,)))
    trial.add("last", domain="b")
    traits = [make_part_trait("llm", part) for part in ("common", "fine")]
    trial.evidence.record_sound(traits)
    caller = Caller()
    call = trial.call(caller, "sound", CALL_S, ("common", "fine"))
    trial.run(trial.streams.serve(call))
    assert caller.has_complete_answer


@pytest.mark.parametrize(
    ("events", "parts", "most"),
    [
        (1, ("common", "fine"), MAX_LOST_ENGINES_IF_SOUND),
        (0, ("common", "fine"), MAX_LOST_ENGINES),
        (1, ("common", "unknown"), MAX_LOST_ENGINES),
        (1, (), MAX_LOST_ENGINES),
    ],
    ids=["begun-and-sound", "not-begun", "unknown-part", "no-parts"],
)
def test_a_request_that_crashes_engines_as_a_whole_ends_a_bounded_number(
    events, parts, most
):
    """None of its parts is at fault, so that only its own limits bound it."""
    trial = Trial(max_targets=9)
    for number in range(2 * MAX_LOST_ENGINES_IF_SOUND):
        name = f"engine-{number}"
        trial.add(name, Run(events, lost=(name,), after_s=0.02))
    trial.evidence.record_sound(
        [make_part_trait("llm", part) for part in ("common", "fine")]
    )

    async def ask():
        with suppress(RequestRefusedError):
            await trial.streams.serve(trial.call(Caller(), "r1", CALL_S, parts))
        return crashes(trial)

    async def run():
        return [await ask() for _ in range(3)]

    first, second, third = trial.run(run())
    assert first <= most
    assert second <= first + 1, "its second call convicts it"
    assert third == second
