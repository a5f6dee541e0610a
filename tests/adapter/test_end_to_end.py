"""End-to-end tests: callers, one entry process, and the platform's stand-ins."""

import http.client
import json
import signal
import time

import pytest
from entry_process import Entry, wait_for


def event_ids(response):
    return [
        int(line[4:]) for line in response.read().split(b"\n") if line[:4] == b"id: "
    ]


def engine_runs(platform, attempt):
    return [
        (engine, path)
        for engine in platform.engines.values()
        for run_id, path, _ in engine.runs
        if run_id == attempt
    ]


def desk_runs(platform, attempt):
    return [
        run
        for service in platform.services.values()
        for run in service.runs
        if run[0] == attempt
    ]


def test_stream_is_complete_and_runs_each_layer_once(entry, fleet):
    response = entry.stream("a1")
    assert response.status == 200
    assert response.getheader("X-Server-Stamp").startswith("stamp.")
    assert event_ids(response) == list(range(1, 21))
    ((engine, path),) = engine_runs(fleet, "a1")
    layers = [layer for _, first, last in path for layer in range(first, last)]
    assert layers == list(range(8))
    assert path[0][0] == engine.addr


def test_target_receives_the_organisation_but_not_the_key(entry, fleet):
    entry.stream("a2", X_Tenant="forged", X_Hop_Count="1.2.3.4:5=0-8").read()
    (headers,) = [
        headers
        for engine in fleet.engines.values()
        for run_id, _, headers in engine.runs
        if run_id == "a2"
    ]
    assert headers["X-Tenant"] == "kiosk"
    assert "Authorization" not in headers
    assert "1.2.3.4" not in headers["X-Hop-Count"]
    assert int(headers["X-Deadline-Ms"]) <= 9000


def test_organisation_priority_overrides_the_route_priority(entry, fleet):
    entry.stream("a3").read()
    assert header_at_engine(fleet, "a3", "X-Request-Priority") == "1"
    tenant = {"name": "kiosk", "apiKeys": ["key-1"], "priority": 12}
    version = fleet.configure(tenants=[tenant])["version"]
    wait_for(lambda: entry.versions_in_force()[-1] == version, 3)
    entry.stream("a4", X_Request_Priority="0").read()
    assert header_at_engine(fleet, "a4", "X-Request-Priority") == "9"


def header_at_engine(platform, attempt, name):
    (value,) = [
        headers[name]
        for engine in platform.engines.values()
        for run_id, _, headers in engine.runs
        if run_id == attempt
    ]
    return value


@pytest.mark.parametrize("which", ["first", "other"])
def test_stream_continues_after_an_engine_crash(entry, fleet, which):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
    response = entry.stream("b1", events=40)
    first_lines = [response.readline() for _ in range(6)]
    ((first, path),) = engine_runs(fleet, "b1")
    address = path[0][0] if which == "first" else path[-1][0]
    lost = next(e for e in fleet.engines.values() if e.addr == address)
    fleet.kill(lost.id)
    body = b"".join(first_lines) + response.read()
    ids = [int(line[4:]) for line in body.split(b"\n") if line[:4] == b"id: "]
    assert ids == list(range(1, 41))
    assert response.getheader("X-Server-Stamp") == f"stamp.{first.id}"
    assert entry.events("engine_down")


def test_stream_continues_after_an_engine_stops_responding(entry, fleet):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
    response = entry.stream("b2", events=30)
    response.readline()
    ((_, path),) = engine_runs(fleet, "b2")
    lost = next(e for e in fleet.engines.values() if e.addr == path[-1][0])
    lost.silent = True
    started = time.monotonic()
    assert event_ids(response)[-1] == 30
    assert time.monotonic() - started < 3.0


def stream_with_lost_last_engine(entry, fleet, attempt, refuses=False):
    """Run a stream and silence the last engine of its path after the first event.

    Another engine holds the same layers. With ``refuses``, engines refuse orders to
    change a running request's path. Returns the stream's event ids, its first path,
    and the silenced engine.
    """
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
        engine.refuses_detours = refuses
    response = entry.stream(attempt, events=30)
    response.readline()
    ((_, path),) = engine_runs(fleet, attempt)
    lost = next(e for e in fleet.engines.values() if e.addr == path[-1][0])
    spare = fleet.add_engine(f"{attempt}-spare", lost.zone, "big", held=lost.held)
    wait_for(lambda: spare.id in json.loads(entry.ask("/dump"))["targets"], 5)
    lost.silent = True
    return [1, *event_ids(response)], path, lost


def test_stream_is_rerouted_around_a_lost_engine_without_a_new_run(entry, fleet):
    """Guards against a repeated prefill of each stream over a lost engine.

    With new runs, 45 streams over one lost engine all processed their prompts again.
    """
    ids, path, lost = stream_with_lost_last_engine(entry, fleet, "b3")
    assert ids == list(range(1, 31))
    assert len(engine_runs(fleet, "b3")) == 1
    first = next(e for e in fleet.engines.values() if e.addr == path[0][0])
    order = next(each for each in first.orders if each["op"] == "repath")
    assert lost.addr not in order["path"]
    assert order["path"].startswith(f"{path[0][0]}={path[0][1]}-{path[0][2]},")
    (logged,) = entry.events("detour_ordered")
    assert logged["status"] == 200 and logged["id"] == "b3"


def test_stream_is_run_again_if_its_detour_is_refused(entry, fleet):
    ids, _, _ = stream_with_lost_last_engine(entry, fleet, "b4", refuses=True)
    assert ids == list(range(1, 31))
    assert len(engine_runs(fleet, "b4")) == 2
    assert all(each["status"] == 409 for each in entry.events("detour_ordered"))


def test_stream_cut_within_an_event_is_resumed(entry, fleet):
    for engine in fleet.engines.values():
        engine.events_before_cut = 3
    response = entry.stream("b3", events=6)
    assert event_ids(response) == list(range(1, 7))
    assert len(engine_runs(fleet, "b3")) == 2


def test_stream_that_may_have_run_is_not_answered_as_not_run(entry, fleet):
    """Its first path fails at an unresponsive engine, then all engines refuse it."""
    for engine in fleet.engines.values():
        engine.fills_the_fleet = True
        engine.silent = engine.zone == "west" and engine.held[0] > 0
    response = entry.stream("b4")
    assert len(engine_runs(fleet, "b4")) == 1
    assert response.status == 502
    assert response.getheader("Retry-After") is None


def test_stream_that_no_engine_ran_is_answered_as_not_run(entry, fleet):
    """Its first engine refuses the connection, and all others are full."""
    for engine in fleet.engines.values():
        engine.full = True
    fleet.kill("west-big")
    response = entry.stream("b5")
    assert engine_runs(fleet, "b5") == []
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0


def test_layers_of_a_lost_engine_are_placed_on_others(entry, fleet):
    fleet.kill("west-big")
    entry.stream("c1").read()
    west = [e for e in fleet.engines.values() if e.zone == "west"]
    wait_for(
        lambda: (
            {x for e in west if e.id != "west-big" for x in range(*e.held)}
            == set(range(8))
        ),
        8,
    )
    orders = [order for engine in west for order in engine.orders]
    assert all(order["op"] == "place" and "fence" in order for order in orders)


def test_restarted_engine_is_given_layers_again(entry, fleet):
    async def restart():
        engine = fleet.engines["east-big"]
        engine.held, engine.seq, engine.fence = None, 0, -1
        engine.born += 5000
        engine.listed()

    fleet.call(restart())
    wait_for(lambda: fleet.engines["east-big"].held is not None, 8)


def test_at_most_once_call_is_not_retried_when_its_answer_is_lost(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "lose"
    response = entry.request("POST", "/book/1", "d1", body=b"visit")
    assert response.status == 502
    assert len(desk_runs(fleet, "d1")) == 1


def test_at_most_once_call_is_rerouted_if_a_target_refuses_connections(entry, fleet):
    fleet.kill("west-desk")
    response = entry.request("POST", "/book/1", "d2", body=b"visit")
    assert response.status == 200
    assert desk_runs(fleet, "d2") == [("d2", "POST", "/book/1", b"visit")]


def test_call_refused_by_every_target_fails_without_delay(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "full"
    started = time.monotonic()
    response = entry.request("POST", "/book/1", "d3", body=b"visit")
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0
    assert time.monotonic() - started < 0.5
    assert desk_runs(fleet, "d3") == []


def test_busy_answer_without_not_run_header_is_not_answered_as_not_run(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "busy"
    response = entry.request("POST", "/book/1", "d4", body=b"visit")
    assert response.status == 502
    assert len(desk_runs(fleet, "d4")) == 1


def test_idempotent_call_is_retried_on_another_target(entry, fleet):
    fleet.services["west-desk"].behaviour = "fail"
    responses = [entry.request("GET", f"/look/{n}", f"e{n}") for n in range(5)]
    assert [response.status for response in responses] == [200] * 5


def test_answer_with_another_request_id_is_not_forwarded(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "other"
    assert entry.request("POST", "/book/1", "f1", body=b"visit").status == 502


def test_call_ends_at_the_timeout_of_its_route(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "slow"
    started = time.monotonic()
    assert entry.request("POST", "/book/1", "f2", body=b"visit").status == 504
    assert 1.2 < time.monotonic() - started < 1.8


@pytest.mark.parametrize(
    ("method", "path", "key", "status"),
    [
        ("GET", "/look/1", None, 401),
        ("GET", "/look/1", "forged", 401),
        ("GET", "/look/open/1", None, 200),
        ("GET", "/nowhere/1", "key-1", 404),
        ("GET", "/look/1", "key-3", 200),
    ],
)
def test_status_depends_on_key_and_route(entry, method, path, key, status):
    assert entry.request(method, path, "g1", key=key).status == status


def test_draining_target_receives_no_new_requests(entry, fleet):
    async def drain():
        fleet.services["west-desk"].state = "draining"
        fleet.services["west-desk"].listed()

    fleet.call(drain())
    time.sleep(1.0)
    runs_before = len(fleet.services["west-desk"].runs)
    for number in range(5):
        assert entry.request("GET", "/look/1", f"j{number}").status == 200
    assert len(fleet.services["west-desk"].runs) == runs_before


def test_engine_run_is_cancelled_when_the_caller_disconnects(entry, fleet):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.1
    response = entry.stream("n1", events=50)
    response.readline()
    assert sum(engine.open for engine in fleet.engines.values()) == 1
    response.close()
    wait_for(lambda: sum(e.open for e in fleet.engines.values()) == 0, 0.5)


def test_planned_stop_completes_open_requests(entry, fleet):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.05
    response = entry.stream("o1", events=60)
    response.readline()
    entry.terminate()
    wait_for(lambda: not entry.is_ready(), 2)
    assert entry.request("GET", "/look/1", "o2").status == 200
    assert event_ids(response)[-1] == 60
    assert entry.wait() == 0
    (stop,) = entry.events("stop")
    assert stop["broken_off"] == 0


def test_process_can_be_stopped_while_it_starts(platform, tmp_path):
    platform.store.down = True
    entry = Entry(platform, tmp_path).start()
    try:
        wait_for(lambda: entry.log_path.exists() and entry.events("start"), 10)
        entry.terminate()
        assert entry.wait(5) == 0
    finally:
        entry.end()


def test_several_requests_on_one_connection(entry):
    connection = http.client.HTTPConnection(entry.ip, entry.front, timeout=5)
    for number in range(3):
        headers = {
            "Host": "shop.example",
            "Authorization": "Bearer key-1",
            "X-Attempt-Id": f"q{number}",
        }
        connection.request("GET", "/look/1", headers=headers)
        response = connection.getresponse()
        assert response.status == 200
        assert response.read() == f"done q{number}".encode()


def test_metrics_and_dump_show_streams_targets_and_leadership(entry, fleet):
    entry.stream("r1").read()
    metrics = entry.ask("/metrics").decode()
    assert "celeryfork_streams_first_event_ms_count 1" in metrics
    assert "celeryfork_targets_in_choice_llm 8" in metrics
    dump = json.loads(entry.ask("/dump"))
    assert dump["configuration"] == fleet.version
    assert dump["targets"]["west-big"]["held"]["last"] > 0
    assert dump["duty"]["held"] is True


@pytest.mark.parametrize("signalled", [True, False])
def test_changed_settings_are_applied(entry, fleet, signalled):
    entry.settings["bounds"]["graceS"] = 5
    entry.write_settings()
    if signalled:
        entry.process.send_signal(signal.SIGHUP)
    wait_for(lambda: entry.events("settings_reloaded"), 3)
    assert entry.stream("s1").status == 200


def test_invalid_settings_are_rejected_and_the_old_ones_kept(entry):
    entry.path.write_text("{")
    wait_for(lambda: entry.events("settings_refused"), 3)
    assert entry.request("GET", "/look/1", "t1").status == 200


def test_log_has_exactly_one_end_event_for_each_request(entry, fleet):
    fleet.services["west-desk"].behaviour = "fail"
    for number in range(4):
        entry.request("GET", f"/look/{number}", f"u{number}")
    entry.request("GET", "/nowhere/1", "u9")
    end_events = {"answered", "refused", "rejected", "broken_off", "caller_left"}
    for attempt in ("u0", "u1", "u2", "u3", "u9"):
        lines = [line for line in entry.log() if line.get("id") == attempt]
        assert sum(line["event"] in end_events for line in lines) == 1


def test_end_event_of_a_request_names_its_organisation(entry, fleet):
    """Without it, the logs could not show which organisation causes a high load."""
    entry.stream("v1").read()
    entry.request("GET", "/look/1", "v2").read()
    for engine in fleet.engines.values():
        engine.full = True
    entry.stream("v3").read()
    ends = {
        line["id"]: (line["event"], line["organisation"])
        for line in entry.log()
        if line["event"] in {"answered", "refused"}
    }
    assert ends["v1"] == ends["v2"] == ("answered", "kiosk")
    assert ends["v3"] == ("refused", "kiosk")


@pytest.mark.parametrize("status", ["000", "099", "199", "600", "999"])
def test_callers_never_get_a_status_outside_http(entry, fleet, status):
    """Callers got statuses from 600 to 999, with the target's stamp."""
    services = list(fleet.services.values())
    for each in services:
        each.odd_status = status
    booking = entry.request("POST", "/book/1", "o1", body=b"x")
    assert (booking.status, booking.getheader("X-Server-Stamp")) == (502, None)
    assert len(desk_runs(fleet, "o1")) == 1
    services[0].odd_status = None
    for number in range(6):
        assert entry.request("GET", "/look/1", f"o2-{number}").status == 200
    for each in fleet.engines.values():
        each.odd_status = status
    stream = entry.stream("o3")
    assert (stream.status, stream.getheader("X-Server-Stamp")) == (502, None)
    assert not entry.events("crash_suspect")
    assert not entry.events("failed")
    for each in fleet.engines.values():
        each.odd_status = None
    assert event_ids(entry.stream("o4")) == list(range(1, 21))


@pytest.mark.parametrize("path", ["/live/x", "/split/x"])
def test_a_resumed_stream_goes_on_after_its_callers_last_event(entry, path):
    """Callers got events twice from services without a model (review, case 8)."""
    for number in range(6):
        response = entry.stream(f"l{number}", path=path, Last_Event_Id="12")
        assert response.status == 200
        assert event_ids(response) == list(range(13, 21))


def desk_runs_of(platform, attempt):
    return {s.id for s in platform.services.values() for r in s.runs if r[0] == attempt}


def test_streams_of_a_plain_service_that_break_off_are_continued_or_cut(entry, fleet):
    """They were given out whole with part of an event at the end (review, case 9).

    Each run breaks off inside its fourth event.
    """
    for service in fleet.services.values():
        service.behaviour = "lose"
    resumed = entry.stream("p0", events=20, path="/live/x")
    assert event_ids(resumed) == list(range(1, 21))
    cut = entry.stream("p1", events=20, path="/live/once/x")
    lines = [cut.readline() for _ in range(9)]
    assert lines[-3:] == [b"id: 3\n", b"data: p1-3\n", b"\n"]
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        cut.read()


def test_a_stream_of_a_plain_service_is_continued_at_another_target(entry, fleet):
    """Its caller got 502 after a part of the answer had arrived."""
    west, east = (fleet.services[f"{zone}-desk"] for zone in ("west", "east"))
    for target in (west, east):
        target.event_gap_s = 0.05
    response = entry.stream("p2", events=20, path="/live/x")
    first_lines = [response.readline() for _ in range(6)]
    (ran,) = desk_runs_of(fleet, "p2")
    fleet.kill(ran)
    ids = [int(line[4:]) for line in first_lines if line[:4] == b"id: "]
    assert ids + event_ids(response) == list(range(1, 21))
    assert response.getheader("X-Server-Stamp") == f"stamp.{ran}"
    assert len(desk_runs_of(fleet, "p2")) == 2


def test_a_stream_that_is_resumed_after_its_last_event_is_complete(entry):
    for path in ("/advice/x", "/live/x"):
        response = entry.stream(f"p3{path}", path=path, Last_Event_Id="20")
        assert (response.status, event_ids(response)) == (200, [])


def test_a_planned_stop_completes_streams_of_plain_services(entry, fleet):
    for service in fleet.services.values():
        service.event_gap_s = 0.05
    response = entry.stream("p4", events=60, path="/live/x")
    response.readline()
    entry.terminate()
    assert event_ids(response)[-1] == 60
    assert entry.wait() == 0


def test_a_last_event_that_is_no_number_is_rejected_only_where_streams_are_resumed(
    entry, fleet
):
    """A call on another route was rejected for a header that it doesn't use."""
    assert entry.request("GET", "/look/1", "m1", Last_Event_Id="a-7").status == 200
    (ran,) = [each for each in fleet.services.values() if each.runs]
    assert ran.headers["Last-Event-Id"] == "a-7"
    assert entry.stream("m2", path="/live/x", Last_Event_Id="a-7").status == 400
    assert entry.stream("m3", Last_Event_Id="a-7").status == 400
