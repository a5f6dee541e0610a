"""Tests of celeryfork_membership.probe."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_membership.probe import LoadProbe, make_fetch, make_load_probe
from celeryfork_membership.targets import Draining, TargetView, make_target_view
from celeryfork_membership.update_store import make_update_store
from celeryfork_platform.model import Instance, InstanceList

CLOCK = ManualClock()
ENGINE_INFO = {
    "tokens_per_second": 500,
    "prefill_tokens_per_second": 5000,
    "max_batch": 8,
    "state": "live",
    "role": "serve",
}
LOAD_REPORT = {
    "measured_ms": CLOCK.wall_ms() - 300,
    "running": 3,
    "waiting": 2,
    "max_batch": 8,
    "tokens_per_second": 500.0,
    "kv_used": 0.4,
}


class FakeEngines:
    """Returns a response per path, which tests replace, and records requests."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, str]] = []
        self.responses: dict[str, Any] = {
            "/v1/engine": ENGINE_INFO,
            "/v1/load": LOAD_REPORT,
            "/v1/cache-events": {"events": [], "next": 0},
        }

    def fetch(self, address: str, path: str) -> dict[str, Any] | None:
        self.requests.append((address, path))
        return self.responses[path.partition("?")[0]]


def make_probe(engines: FakeEngines, count: int = 1) -> tuple[LoadProbe, TargetView]:
    clock, counters = ManualClock(), Counters()
    view = make_target_view(clock, counters, make_update_store(clock, counters))
    listed = {
        f"e{n}": Instance(
            f"e{n}",
            "engine",
            "m",
            f"d{n % 2}",
            f"10.0.0.{n}:1",
            "live",
            1,
            {"first_layer": 0, "last_layer": 4},
        )
        for n in range(count)
    }
    view.update_from_list(InstanceList(1, listed))
    probe = make_load_probe(view, clock, counters, domain="d0", fetch=engines.fetch)
    return probe, view


def poll(probe: LoadProbe, times: int) -> None:
    for _ in range(times):
        probe.poll_once()


def test_load_report_has_lag_and_age() -> None:
    probe, _ = make_probe(FakeEngines())
    poll(probe, 2)
    report = probe.load_of("e0")
    assert report is not None
    assert (report.running, report.waiting) == (3, 2)
    assert report.lag_s == pytest.approx(0.3)
    assert report.age_s(report.received_s + 2) == pytest.approx(2.3)
    info = probe.engine_info("e0")
    assert info is not None
    assert info.tokens_per_second == 500


def test_each_poll_sends_one_request_and_all_engines_are_polled() -> None:
    engines = FakeEngines()
    probe, _ = make_probe(engines, count=10)
    poll(probe, 60)
    assert len(engines.requests) == 60
    assert len({address for address, _ in engines.requests}) == 10


def test_leaving_engine_is_ineligible_until_live_again() -> None:
    engines = FakeEngines()
    probe, view = make_probe(engines, count=2)
    engines.responses["/v1/engine"] = ENGINE_INFO | {"state": "leaving"}
    poll(probe, 12)
    assert not view.eligible_targets("m")
    engines.responses["/v1/engine"] = ENGINE_INFO
    poll(probe, 16)
    assert len(view.eligible_targets("m")) == 2


def test_standby_engine_stays_ineligible() -> None:
    engines = FakeEngines()
    probe, view = make_probe(engines, count=1)
    view.observe("e0", Draining())
    engines.responses["/v1/engine"] = ENGINE_INFO | {"role": "standby"}
    poll(probe, 10)
    assert not view.eligible_targets("m")


def test_cache_events_with_gaps_are_applied() -> None:
    engines = FakeEngines()
    probe, _ = make_probe(engines)
    engines.responses["/v1/cache-events"] = {
        "events": [
            {"seq": 1, "kind": "stored", "prefix": "aa"},
            {"seq": 4, "kind": "stored", "prefix": "bb"},
            {"seq": 9, "kind": "evicted", "prefix": "aa"},
            {"seq": 11, "kind": "evicted", "prefix": "cc"},
        ],
        "next": 12,
    }
    poll(probe, 8)
    assert probe.cached_prefixes("e0") == {"bb"}
    assert probe.has_prefix("e0", "bb")
    poll(probe, 8)
    assert ("10.0.0.0:1", "/v1/cache-events?after=12") in engines.requests


@pytest.mark.parametrize("path", ["/v1/engine", "/v1/load", "/v1/cache-events"])
@pytest.mark.parametrize("response", [None, {}, {"events": [{}], "state": 1}])
def test_malformed_responses_change_nothing(path: str, response: Any) -> None:
    engines = FakeEngines()
    probe, view = make_probe(engines)
    engines.responses[path] = response
    poll(probe, 12)
    assert len(view.eligible_targets("m")) == 1


class JsonHandler(BaseHTTPRequestHandler):
    """Serves an object, a list, invalid JSON and a too large body; 404 otherwise."""

    bodies = {
        "/good": json.dumps({"a": 1}).encode(),
        "/list": b"[1]",
        "/text": b"no json",
        "/long": b'{"a": "' + b"x" * 100_000 + b'"}',
    }

    def do_GET(self) -> None:  # noqa: N802 - the base class's name
        body = self.bodies.get(self.path, b"{}")
        self.send_response(200 if self.path in self.bodies else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: Any) -> None:
        pass


@pytest.fixture
def address() -> Iterator[str]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), JsonHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def test_fetch_returns_only_objects_and_never_raises(address: str) -> None:
    fetch = make_fetch()
    assert fetch(address, "/good") == {"a": 1}
    for path in ("/list", "/text", "/long", "/missing"):
        assert fetch(address, path) is None
    assert fetch("127.0.0.1:1", "/good") is None


def test_requested_engines_are_polled_more_often() -> None:
    engines = FakeEngines()
    probe, _ = make_probe(engines, count=40)
    for _ in range(40):
        probe.load_of("e31")
        probe.load_of("e32")
        probe.poll_once()
    addresses = [address for address, _ in engines.requests]
    assert addresses.count("10.0.0.31:1") >= 8
    assert addresses.count("10.0.0.32:1") >= 8
