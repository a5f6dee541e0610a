"""The decision log is limited in rate and size, and never blocks."""

import json
import os

from celeryfork_entry.decision_log import (
    BURST_LINES,
    MAX_LINE_BYTES,
    MAX_LINES_PER_S,
    LineRateLimiter,
    make_decision_log,
)


def test_lines_above_the_burst_limit_are_dropped_and_counted():
    limiter = LineRateLimiter(refilled_s=0.0)
    acquired = sum(limiter.acquire(0.0) for _ in range(5_000))
    assert acquired == BURST_LINES
    assert limiter.dropped == 5_000 - acquired


def test_the_rate_limiter_refills():
    limiter = LineRateLimiter(refilled_s=0.0)
    while limiter.acquire(0.0):
        pass
    acquired = sum(limiter.acquire(1.0) for _ in range(5_000))
    assert acquired == MAX_LINES_PER_S


def test_a_line_is_json_with_the_given_fields():
    reading, writing = os.pipe()
    log = make_decision_log("entry-1", writing)
    log.info("path_chosen", id="a1", predicted_ms=12)
    line = json.loads(os.read(reading, 65_536))
    assert line["event"] == "path_chosen"
    assert (line["instance"], line["id"], line["predicted_ms"]) == ("entry-1", "a1", 12)


def test_lines_dropped_at_a_full_pipe_are_reported_later():
    reading, writing = os.pipe()
    log = make_decision_log("entry-1", writing)
    for number in range(2_000):
        log.info("filler", text="x" * 200, number=number)
    while True:
        os.set_blocking(reading, False)
        try:
            os.read(reading, 1 << 20)
        except BlockingIOError:
            break
    log.info("after")
    assert json.loads(os.read(reading, 65_536))["lines_dropped"] > 0


def test_a_line_over_the_maximum_size_is_replaced():
    reading, writing = os.pipe()
    make_decision_log("entry-1", writing).info("long", text="x" * 10_000)
    line = os.read(reading, 65_536)
    assert len(line) < MAX_LINE_BYTES
    assert json.loads(line)["cut"] > 10_000


def test_a_line_with_a_value_that_orjson_rejects_is_written():
    """Otherwise a traceback takes its place, which hides the odd entry it names."""
    reading, writing = os.pipe()
    log = make_decision_log("entry-1", writing)
    log.info("target_unreadable", target="i-\udcff", number=1 << 70)
    line = json.loads(os.read(reading, 65_536))
    assert (line["target"], line["number"]) == ("i-\udcff", 1 << 70)
