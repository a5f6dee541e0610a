import http.client
import json
import threading
import time

import pytest

PATH = "/v1/log/configuration/records"


def read(platform, helpers, start=0, wait_ms=0, limit=100):
    query = f"{PATH}?from={start}&limit={limit}&wait_ms={wait_ms}"
    return helpers.call(platform.url, "GET", query)


def append(platform, helpers, data="d", nonce="n"):
    return helpers.call(platform.url, "POST", PATH, {"nonce": nonce, "data": data})


def test_offsets_grow_without_gaps(platform, helpers):
    assert [append(platform, helpers).json["offset"] for _ in range(3)] == [0, 1, 2]
    found = read(platform, helpers, start=1, limit=1).json
    assert [record["offset"] for record in found["records"]] == [1]
    assert (found["first_offset"], found["next_offset"]) == (0, 3)


def test_records_expire_by_offset_and_by_age(platform, helpers):
    for _ in range(3):
        append(platform, helpers)
    platform.log.expire_before("configuration", 1)
    assert read(platform, helpers).json["first_offset"] == 1
    platform.log.retain(10)
    platform.log.set_clock(lambda: time.time_ns() // 1_000_000 + 60_000)
    found = read(platform, helpers).json
    assert (found["records"], found["first_offset"]) == ([], 3)
    assert append(platform, helpers).json["offset"] == 3


def test_a_long_poll_ends_with_the_next_record(platform, helpers):
    found = []
    poll = threading.Thread(
        target=lambda: found.append(read(platform, helpers, wait_ms=8000).json)
    )
    poll.start()
    append(platform, helpers, data="new")
    poll.join(8)
    assert [record["data"] for record in found[0]["records"]] == ["new"]


def test_an_outage_answers_503_and_appends_nothing(platform, helpers):
    platform.log.outage(True)
    assert append(platform, helpers).status == 503
    assert read(platform, helpers).status == 503
    platform.log.outage(False)
    assert read(platform, helpers).json["next_offset"] == 0


def test_a_lost_answer_took_effect(platform, helpers):
    platform.log.lose_answers(1.0)
    with pytest.raises((http.client.HTTPException, ConnectionError)):
        append(platform, helpers, nonce="lost")
    assert [r.nonce for r in platform.log.contents("configuration")] == ["lost"]


def test_a_late_append_turns_up_after_the_client_gave_up(platform, helpers):
    platform.log.late_appends(1.0, 0.1)
    with pytest.raises((http.client.HTTPException, ConnectionError)):
        append(platform, helpers, nonce="late")
    helpers.wait_until(lambda: bool(platform.log.contents("configuration")))


def test_a_refused_append_is_not_there(platform, helpers):
    platform.log.refuse_appends(1.0)
    assert append(platform, helpers).status == 503
    assert platform.log.contents("configuration") == []


def test_appends_over_the_rate_get_429(platform, helpers):
    platform.log.limit_appends(2)
    statuses = [append(platform, helpers).status for _ in range(5)]
    assert statuses[:2] == [200, 200]
    assert 429 in statuses[2:]


def test_a_slow_log_answers_late(platform, helpers):
    platform.log.slow(0.2)
    started = time.monotonic()
    append(platform, helpers)
    assert time.monotonic() - started >= 0.2


def test_bad_appends_are_refused(platform, helpers):
    assert helpers.call(platform.url, "POST", PATH, {"nonce": 1}).status == 400
    large = "x" * (1024 * 1024)
    assert append(platform, helpers, data=large).status == 413
    assert json.loads(read(platform, helpers).body)["next_offset"] == 0
