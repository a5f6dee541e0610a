"""KV cache, prefix cache, priorities and load reports of the engines."""

import time

import pytest
from celeryfork_standin.caches import prefix_key
from celeryfork_standin.engine import EngineSpec, make_engine_fleet

SLOW_PREFILL = {"prefill_tokens_per_second": 100.0, "kv_import_tokens_per_second": 1e6}
LONG_PROMPT = "x" * 200  # 50 tokens: half a second of prefill


@pytest.fixture
def slow():
    """One stage on either of two engines that take long to prefill."""
    engines = make_engine_fleet(seed=1)
    for name in ("e1", "e2"):
        engines.add(
            EngineSpec(
                name,
                "m",
                "westlands",
                0,
                12,
                cache_event_lag_s=0.05,
                cache_event_loss=0.0,
                load_lag_s=0.05,
                most_prefixes=1,
                **SLOW_PREFILL,
            )
        )
    yield engines
    engines.stop()


def seconds_to_first(helpers, fleet, name, **fields):
    started = time.monotonic()
    stream = helpers.open(fleet, name, max_tokens=1, **fields)
    stream.event()
    return time.monotonic() - started


def test_kept_kv_saves_the_prefill(slow, helpers):
    kept = {"prompt": LONG_PROMPT, "stream_id": "kept"}
    first = seconds_to_first(helpers, slow, "e1", **kept)
    second = seconds_to_first(helpers, slow, "e1", attempt=2, **kept)
    assert first > 0.5 > second


def test_kv_is_imported_from_the_engine_named(slow, helpers):
    body = helpers.body(slow, "e2", prompt=LONG_PROMPT, stream_id="moved")
    body["chain"][0]["kv_from"] = slow.engine("e1").address
    seconds_to_first(helpers, slow, "e1", prompt=LONG_PROMPT, stream_id="moved")
    chain = {"chain": body["chain"], "attempt": 2, "stream_id": "moved"}
    imported = seconds_to_first(helpers, slow, "e2", prompt=LONG_PROMPT, **chain)
    assert imported < 0.5


def test_kv_is_exported_until_it_is_dropped(slow, helpers):
    helpers.open(slow, "e1", stream_id="s7").rest()
    address = slow.engine("e1").address
    path = "/v1/streams/s7/kv?first=0&last=12"
    assert len(helpers.call(address, "GET", path).body) > 0
    assert helpers.call(address, "DELETE", "/v1/streams/s7").status == 204
    assert helpers.call(address, "GET", path).status == 404


def test_a_deleted_stream_stops(slow, helpers):
    stream = helpers.open(slow, "e1", max_tokens=100_000, stream_id="s8")
    stream.event()
    helpers.call(slow.engine("e1").address, "DELETE", "/v1/streams/s8")
    helpers.wait_until(lambda: not slow.engine("e1").sequences)


def test_a_cached_prefix_saves_the_prefill_and_is_reported(slow, helpers):
    first = seconds_to_first(helpers, slow, "e1", prompt=LONG_PROMPT, stream_id="a")
    second = seconds_to_first(
        helpers, slow, "e1", prompt=LONG_PROMPT + "y", stream_id="b"
    )
    assert first > 0.5 > second
    seconds_to_first(helpers, slow, "e1", prompt="another", stream_id="c")
    address = slow.engine("e1").address

    def events():
        found = helpers.call(address, "GET", "/v1/cache-events?after=0").json
        return [(one["seq"], one["kind"], one["prefix"]) for one in found["events"]]

    helpers.wait_until(lambda: len(events()) == 3)
    assert events() == [
        (1, "stored", prefix_key(LONG_PROMPT)),
        (2, "stored", prefix_key("another")),
        (3, "evicted", prefix_key(LONG_PROMPT)),
    ]


def test_cache_events_have_gaps():
    fleet = make_engine_fleet(seed=1)
    engine = fleet.add(EngineSpec("e1", "m", "westlands", 0, 12, cache_event_lag_s=0))
    for number in range(200):
        engine.prefixes.take(f"{number:032d}")
    seqs = [event.seq for event in engine.prefixes.events_after(0)]
    fleet.stop()
    assert 0 < len(seqs) < seqs[-1]


def test_the_higher_priority_goes_first(helpers):
    fleet = make_engine_fleet(seed=1)
    fleet.add(EngineSpec("e1", "m", "westlands", 0, 12, max_batch=1))
    low = [
        helpers.open(fleet, "e1", stream_id=f"low{n}", max_tokens=200, priority=1)
        for n in range(3)
    ]
    high = helpers.open(fleet, "e1", stream_id="high", max_tokens=20, priority=9)
    high.rest()
    ran = [token.stream_id for token in fleet.ran]
    begun = ran.index("high")
    between = ran[begun : begun + 20]
    for stream in low:
        stream.close()
    fleet.stop()
    assert between.count("high") == 20


def test_load_reports_lag(slow, helpers):
    address = slow.engine("e1").address
    helpers.call(address, "GET", "/v1/load")
    stream = helpers.open(slow, "e1", max_tokens=100_000)
    stream.event()

    def report():
        return helpers.call(address, "GET", "/v1/load").json

    helpers.wait_until(lambda: report()["running"] == 1)
    assert report()["measured_ms"] <= time.time() * 1000 - 50
    assert report()["max_batch"] == slow.engine("e1").spec.max_batch
    stream.close()


def test_a_full_queue_refuses(helpers):
    fleet = make_engine_fleet(seed=1)
    spec = EngineSpec("e1", "m", "westlands", 0, 12, max_batch=1, most_waiting=0)
    fleet.add(spec)
    assert helpers.open(fleet, "e1").status == 429
    fleet.stop()
    assert fleet.ran == []
