"""First engines that a stream may use."""

from celeryfork_entry.first_engines import FirstEngines


def all_alive(engine_id, born_ms):
    return True


def make(*started, max_engines=2):
    """Return the first engines of a stream that was started on some engines."""
    engines = FirstEngines(max_engines)
    for engine_id in started:
        engines.record_run(engine_id)
    return engines


def test_any_first_engine_is_allowed_below_the_limit():
    assert make().allowed(all_alive) is None
    assert make("e1").allowed(all_alive) is None
    assert make("e1", "e1").allowed(all_alive) is None


def test_loss_of_later_engines_allows_no_third_first_engine():
    """Later engines are lost twice, and a third first engine is used although two live.

    (found by bench trial wanjiru-descale scale-1, seed 340203364010)
    """
    assert make("e1", "e2").allowed(all_alive) == {"e1", "e2"}


def test_a_terminated_first_engine_does_not_count():
    engines = make("e1", "e2")
    assert engines.allowed(lambda engine_id, born_ms: engine_id != "e1") is None
    engines.record_run("e3")
    assert engines.allowed(lambda engine_id, born_ms: engine_id != "e1") == {"e2", "e3"}


def test_a_limit_of_one_keeps_the_stream_on_its_first_engine():
    assert make("e1", max_engines=1).allowed(all_alive) == {"e1"}
