"""Engines on which one stream may run."""

from celeryfork_entry.first_engines import FirstEngines


def everyone(engine_id, born_ms):
    return True


def make(*begun, max_engines=2):
    engines = FirstEngines(max_engines)
    for engine_id in begun:
        engines.record_run(engine_id)
    return engines


def test_a_stream_may_begin_anywhere_while_its_route_allows_it():
    assert make().allowed(everyone) is None
    assert make("e1").allowed(everyone) is None
    assert make("e1", "e1").allowed(everyone) is None


def test_later_engines_that_are_lost_give_no_third_first_engine():
    """Pattern: wanjiru-descale scale-1, seed 340203364010.

    The first engines lived while engines behind them were lost, twice.
    """
    assert make("e1", "e2").allowed(everyone) == {"e1", "e2"}


def test_a_first_engine_that_has_ended_does_not_count():
    engines = make("e1", "e2")
    assert engines.allowed(lambda engine_id, born_ms: engine_id != "e1") is None
    engines.record_run("e3")
    assert engines.allowed(lambda engine_id, born_ms: engine_id != "e1") == {"e2", "e3"}


def test_a_route_for_one_engine_keeps_its_stream_there():
    assert make("e1", max_engines=1).allowed(everyone) == {"e1"}
