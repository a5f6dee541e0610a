"""Callers, one entry instance as a process, and the platform's stand-ins."""

import http.client
import json
import signal
import time

import pytest
from entry_process import Entry, wait_for


def events_of(response):
    return [
        int(line[4:]) for line in response.read().split(b"\n") if line[:4] == b"id: "
    ]


def runs_of(platform, attempt):
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


def test_a_stream_comes_whole_over_every_layer_once(entry, fleet):
    response = entry.stream("a1")
    assert response.status == 200
    assert response.getheader("X-Server-Stamp").startswith("stamp.")
    assert events_of(response) == list(range(1, 21))
    ((engine, path),) = runs_of(fleet, "a1")
    layers = [layer for _, first, last in path for layer in range(first, last)]
    assert layers == list(range(8))
    assert path[0][0] == engine.addr


def test_the_target_gets_the_organisation_and_not_the_key(entry, fleet):
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


def test_an_organisations_priority_goes_before_the_routes(entry, fleet):
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
def test_a_stream_goes_on_when_an_engine_crashes(entry, fleet, which):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
    response = entry.stream("b1", events=40)
    got = [response.readline() for _ in range(6)]
    ((first, path),) = runs_of(fleet, "b1")
    address = path[0][0] if which == "first" else path[-1][0]
    lost = next(e for e in fleet.engines.values() if e.addr == address)
    fleet.kill(lost.id)
    rest = b"".join(got) + response.read()
    numbers = [int(x[4:]) for x in rest.split(b"\n") if x[:4] == b"id: "]
    assert numbers == list(range(1, 41))
    assert response.getheader("X-Server-Stamp") == f"stamp.{first.id}"
    assert entry.events("engine_down")


def test_a_stream_goes_on_when_an_engine_falls_silent(entry, fleet):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
    response = entry.stream("b2", events=30)
    response.readline()
    ((_, path),) = runs_of(fleet, "b2")
    lost = next(e for e in fleet.engines.values() if e.addr == path[-1][0])
    lost.silent = True
    began = time.monotonic()
    assert events_of(response)[-1] == 30
    assert time.monotonic() - began < 3.0


def lose_the_last_engine(entry, fleet, attempt, refuses=False):
    """Lose the last engine of a running stream while another one holds its layers.

    Returns the numbers of the stream's events, its path, and the lost engine.
    """
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
        engine.refuses_detours = refuses
    response = entry.stream(attempt, events=30)
    response.readline()
    ((_, path),) = runs_of(fleet, attempt)
    lost = next(e for e in fleet.engines.values() if e.addr == path[-1][0])
    spare = fleet.add_engine(f"{attempt}-spare", lost.zone, "big", held=lost.held)
    wait_for(lambda: spare.id in json.loads(entry.ask("/dump"))["targets"], 5)
    lost.silent = True
    return [1, *events_of(response)], path, lost


def test_a_stream_is_led_around_an_engine_without_a_new_run(entry, fleet):
    """Pattern: 45 streams over one lost engine all read their prompts again."""
    numbers, path, lost = lose_the_last_engine(entry, fleet, "b3")
    assert numbers == list(range(1, 31))
    assert len(runs_of(fleet, "b3")) == 1
    first = next(e for e in fleet.engines.values() if e.addr == path[0][0])
    order = next(each for each in first.orders if each["op"] == "repath")
    assert lost.addr not in order["path"]
    assert order["path"].startswith(f"{path[0][0]}={path[0][1]}-{path[0][2]},")
    (noted,) = entry.events("detour_ordered")
    assert noted["status"] == 200 and noted["id"] == "b3"


def test_a_stream_whose_detour_is_refused_is_begun_anew(entry, fleet):
    numbers, _, _ = lose_the_last_engine(entry, fleet, "b4", refuses=True)
    assert numbers == list(range(1, 31))
    assert len(runs_of(fleet, "b4")) == 2
    assert all(each["status"] == 409 for each in entry.events("detour_ordered"))


def test_a_stream_that_stops_midway_in_an_event_is_resumed(entry, fleet):
    for engine in fleet.engines.values():
        engine.events_before_cut = 3
    response = entry.stream("b3", events=6)
    assert events_of(response) == list(range(1, 7))
    assert len(runs_of(fleet, "b3")) == 2


def test_a_stream_that_may_have_begun_is_not_said_not_to_have_run(entry, fleet):
    """Its first path broke on a dead engine, and all that live refuse it."""
    for engine in fleet.engines.values():
        engine.fills_the_fleet = True
        engine.silent = engine.zone == "west" and engine.held[0] > 0
    response = entry.stream("b4")
    assert len(runs_of(fleet, "b4")) == 1
    assert response.status == 502
    assert response.getheader("Retry-After") is None


def test_a_stream_that_no_engine_was_reached_for_has_not_run(entry, fleet):
    """Its first engine refuses the connection; every other is full."""
    for engine in fleet.engines.values():
        engine.full = True
    fleet.kill("west-big")
    response = entry.stream("b5")
    assert runs_of(fleet, "b5") == []
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0


def test_lost_layers_are_taken_over(entry, fleet):
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


def test_a_restarted_engine_gets_layers_again(entry, fleet):
    async def restart():
        engine = fleet.engines["east-big"]
        engine.held, engine.seq, engine.fence = None, 0, -1
        engine.born += 5000
        engine.listed()

    fleet.call(restart())
    wait_for(lambda: fleet.engines["east-big"].held is not None, 8)


def test_a_call_that_runs_once_is_not_repeated_when_its_answer_is_lost(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "lose"
    response = entry.request("POST", "/book/1", "d1", body=b"visit")
    assert response.status == 502
    assert len(desk_runs(fleet, "d1")) == 1


def test_a_call_that_runs_once_goes_on_when_a_target_is_gone(entry, fleet):
    fleet.kill("west-desk")
    response = entry.request("POST", "/book/1", "d2", body=b"visit")
    assert response.status == 200
    assert desk_runs(fleet, "d2") == [("d2", "POST", "/book/1", b"visit")]


def test_a_call_that_every_target_refuses_is_told_so_at_once(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "full"
    began = time.monotonic()
    response = entry.request("POST", "/book/1", "d3", body=b"visit")
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0
    assert time.monotonic() - began < 0.5
    assert desk_runs(fleet, "d3") == []


def test_a_promise_that_a_target_does_not_make_is_not_passed_on(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "busy"
    response = entry.request("POST", "/book/1", "d4", body=b"visit")
    assert response.status == 502
    assert len(desk_runs(fleet, "d4")) == 1


def test_a_repeatable_call_is_asked_again_elsewhere(entry, fleet):
    fleet.services["west-desk"].behaviour = "fail"
    responses = [entry.request("GET", f"/look/{n}", f"e{n}") for n in range(5)]
    assert [response.status for response in responses] == [200] * 5


def test_an_answer_that_belongs_to_another_request_is_not_passed_on(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "other"
    assert entry.request("POST", "/book/1", "f1", body=b"visit").status == 502


def test_a_call_ends_at_its_routes_time(entry, fleet):
    for service in fleet.services.values():
        service.behaviour = "slow"
    began = time.monotonic()
    assert entry.request("POST", "/book/1", "f2", body=b"visit").status == 504
    assert 1.2 < time.monotonic() - began < 1.8


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
def test_keys_and_routes(entry, method, path, key, status):
    assert entry.request(method, path, "g1", key=key).status == status


def test_a_draining_target_gets_nothing_more(entry, fleet):
    async def drain():
        fleet.services["west-desk"].state = "draining"
        fleet.services["west-desk"].listed()

    fleet.call(drain())
    time.sleep(1.0)
    before = len(fleet.services["west-desk"].runs)
    for number in range(5):
        assert entry.request("GET", "/look/1", f"j{number}").status == 200
    assert len(fleet.services["west-desk"].runs) == before


def test_work_ends_when_the_caller_leaves(entry, fleet):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.1
    response = entry.stream("n1", events=50)
    response.readline()
    assert sum(engine.open for engine in fleet.engines.values()) == 1
    response.close()
    wait_for(lambda: sum(e.open for e in fleet.engines.values()) == 0, 0.5)


def test_a_planned_stop_cuts_off_nothing(entry, fleet):
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.05
    response = entry.stream("o1", events=60)
    response.readline()
    entry.terminate()
    wait_for(lambda: not entry.is_ready(), 2)
    assert entry.request("GET", "/look/1", "o2").status == 200
    assert events_of(response)[-1] == 60
    assert entry.wait() == 0
    (stop,) = entry.events("stop")
    assert stop["broken_off"] == 0


def test_a_stop_during_the_start_ends_the_process(platform, tmp_path):
    platform.store.down = True
    entry = Entry(platform, tmp_path).start()
    try:
        wait_for(lambda: entry.log_path.exists() and entry.events("start"), 10)
        entry.terminate()
        assert entry.wait(5) == 0
    finally:
        entry.end()


def test_requests_on_one_connection(entry):
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


def test_metrics_and_dump_tell_what_it_did(entry, fleet):
    entry.stream("r1").read()
    metrics = entry.ask("/metrics").decode()
    assert "celeryfork_streams_first_event_ms_count 1" in metrics
    assert "celeryfork_targets_in_choice_llm 8" in metrics
    dump = json.loads(entry.ask("/dump"))
    assert dump["configuration"] == fleet.version
    assert dump["targets"]["west-big"]["held"]["last"] > 0
    assert dump["duty"]["held"] is True


@pytest.mark.parametrize("signalled", [True, False])
def test_changed_settings_are_taken(entry, fleet, signalled):
    entry.settings["bounds"]["graceS"] = 5
    entry.write_settings()
    if signalled:
        entry.process.send_signal(signal.SIGHUP)
    wait_for(lambda: entry.events("settings_reloaded"), 3)
    assert entry.stream("s1").status == 200


def test_faulty_settings_are_refused_and_the_old_ones_stay(entry):
    entry.path.write_text("{")
    wait_for(lambda: entry.events("settings_refused"), 3)
    assert entry.request("GET", "/look/1", "t1").status == 200


def test_each_request_is_explained_by_its_id(entry, fleet):
    fleet.services["west-desk"].behaviour = "fail"
    for number in range(4):
        entry.request("GET", f"/look/{number}", f"u{number}")
    entry.request("GET", "/nowhere/1", "u9")
    ends = {"answered", "refused", "rejected", "broken_off", "caller_left"}
    for attempt in ("u0", "u1", "u2", "u3", "u9"):
        lines = [line for line in entry.log() if line.get("id") == attempt]
        assert sum(line["event"] in ends for line in lines) == 1


def test_the_end_of_a_request_tells_whose_it_was(entry, fleet):
    """A hot organisation could not be told from the others by logs alone."""
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
