"""The checker finds each promise broken where a history was made to break it."""

from attrs import evolve
from celeryfork_base.outcomes import Outcome
from celeryfork_bench.checker import (
    Evidence,
    Left,
    OffsetSeen,
    PlannedStop,
    Published,
    check,
)
from celeryfork_bench.history import Ending, Exchange, ModelAsk, PlainAsk
from celeryfork_standin.engine_data import RanStage, RanToken
from celeryfork_standin.service import RanCall
from celeryfork_standin.text import expected_tokens

LAYERS = 24
ASK = ModelAsk("m", "chalky chai", 3, 0, True)
WHOLE = "".join(expected_tokens("m", "chalky chai", 0, 3))
BOOK = PlainAsk("desk", "book", "key-1", b"{}")


def model_exchange(**changes) -> Exchange:
    fields = {
        "request_id": "r1",
        "organisation": "o",
        "ask": ASK,
        "instance": "i1",
        "sent_s": 1.0,
        "ended_s": 2.0,
        "ending": Ending.ANSWERED,
        "outcome": Outcome.DONE,
        "text": WHOLE,
        "tokens": 3,
    }
    return Exchange(**{**fields, **changes})


def plain_exchange(**changes) -> Exchange:
    return model_exchange(**{"ask": BOOK, "text": "", "body": b"booked", **changes})


def ran_token(position: int, *spans: tuple[int, int], **changes) -> RanToken:
    stages = tuple(RanStage(f"e{first}", first, last) for first, last in spans)
    token = RanToken("r1.abc", 1, position, stages, started_s=1.2, ended_s=1.3)
    return evolve(token, **changes)


def ran_call(request_id: str = "r1", **changes) -> RanCall:
    call = RanCall("s1", "book", "key-1", "o", request_id, at_s=1.5, at_ms=1500)
    return evolve(call, **changes)


def evidence(**changes) -> Evidence:
    fields = {
        "exchanges": (),
        "ran_tokens": (),
        "ran_calls": (),
        "layers_by_model": {"m": LAYERS},
    }
    return Evidence(**{**fields, **changes})


def promises(**changes) -> set[str]:
    return {violation.promise for violation in check(evidence(**changes))}


def test_an_honest_history_breaks_nothing() -> None:
    tokens = [ran_token(n, (0, 12), (12, LAYERS)) for n in range(3)]
    assert not promises(exchanges=[model_exchange()], ran_tokens=tokens)
    assert not promises(
        exchanges=[plain_exchange(), plain_exchange(request_id="r2")],
        ran_calls=[ran_call()],
    )


def test_a_layer_that_is_missing_doubled_or_out_of_order() -> None:
    for spans in (
        [(0, 12)],
        [(12, LAYERS)],
        [(0, 12), (13, LAYERS)],
        [(0, 12), (11, LAYERS)],
        [(12, LAYERS), (0, 12)],
        [(0, 12), (12, LAYERS), (12, LAYERS)],
    ):
        token = ran_token(0, *spans)
        assert "layers" in promises(exchanges=[model_exchange()], ran_tokens=[token])


def test_an_answer_that_is_cut_or_another_callers() -> None:
    other = "".join(expected_tokens("m", "another prompt", 0, 3))
    for text in (WHOLE[:-2], WHOLE + " more", other, ""):
        assert promises(exchanges=[model_exchange(text=text)]) == {"own_whole_answer"}
    unfinished = model_exchange(outcome=Outcome.UNKNOWN, text=other)
    assert promises(exchanges=[unfinished]) == {"own_whole_answer"}


def test_a_part_of_an_answer_is_fine_where_it_is_not_called_done() -> None:
    part = model_exchange(outcome=Outcome.UNKNOWN, text=WHOLE[:5])
    assert not promises(exchanges=[part])


def test_not_run_that_did_run() -> None:
    told = plain_exchange(outcome=Outcome.NOT_RUN)
    assert "not_run" in promises(exchanges=[told], ran_calls=[ran_call()])
    told = model_exchange(outcome=Outcome.NOT_RUN, text="")
    token = ran_token(0, (0, LAYERS))
    assert "not_run" in promises(exchanges=[told], ran_tokens=[token])


def test_a_booking_that_ran_twice() -> None:
    calls = [ran_call("r1"), ran_call("r2", target="s2")]
    assert "at_most_once" in promises(exchanges=[plain_exchange()], ran_calls=calls)
    repeatable = frozenset({("desk", "book")})
    assert not promises(
        exchanges=[plain_exchange()], ran_calls=calls, repeatable_kinds=repeatable
    )


def test_a_booking_that_is_done_but_vanished() -> None:
    assert promises(exchanges=[plain_exchange()]) == {"done"}


def test_two_answers_to_one_key() -> None:
    exchanges = [plain_exchange(), plain_exchange(request_id="r2", body=b"other")]
    assert promises(exchanges=exchanges, ran_calls=[ran_call()]) == {"done"}


def test_a_leaving_target_that_begins_new_work() -> None:
    left = [Left("e0", at_s=1.0)]
    late = ran_token(0, (0, LAYERS), started_s=4.5)
    assert promises(exchanges=[model_exchange()], ran_tokens=[late], left=left) == {
        "leaving"
    }
    begun_before = ran_token(0, (0, LAYERS), started_s=1.1)
    goes_on = ran_token(1, (0, LAYERS), started_s=9.0)
    assert not promises(
        exchanges=[model_exchange()], ran_tokens=[begun_before, goes_on], left=left
    )
    call = ran_call(at_s=4.5)
    assert "leaving" in promises(
        exchanges=[plain_exchange()], ran_calls=[call], left=[Left("s1", 1.0)]
    )


def test_a_planned_stop_that_cuts_off_an_exchange() -> None:
    cut = model_exchange(ending=Ending.BROKEN_OFF, outcome=None, text="")
    stops = [PlannedStop("i1", from_s=1.5, until_s=3.0)]
    assert promises(exchanges=[cut], planned_stops=stops) == {"planned_stop"}
    elsewhere = evolve(cut, instance="i2")
    assert not promises(exchanges=[elsewhere], planned_stops=stops)


def test_configuration_that_reverts_or_comes_late() -> None:
    back = [OffsetSeen("i1", 5, 1.0), OffsetSeen("i1", 4, 2.0)]
    assert promises(offsets_seen=back) == {"configuration"}
    late = [OffsetSeen("i1", 4, 20.0)]
    assert promises(offsets_seen=late, published=[Published(5, 1.0)]) == {
        "configuration"
    }
    in_time = [OffsetSeen("i1", 4, 5.0), OffsetSeen("i1", 5, 20.0)]
    assert not promises(offsets_seen=in_time, published=[Published(5, 1.0)])
