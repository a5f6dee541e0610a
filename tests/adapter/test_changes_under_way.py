"""Requests under way on kept connections while the configuration changes.

Callers saw their connections closed without an answer beside a change (issue 42). Each
request must get its whole answer, or a refusal that is true.
"""

import http.client
import json
import signal
import socket
import time
from abc import ABC, abstractmethod
from itertools import count

import pytest
from attrs import evolve, frozen
from entry_process import wait_for
from platform_standins import LAYERS, Platform, make_configuration
from running_fleet import covers, knows_layers, make_fleet, running_entry

EVENTS = 12
HELD_AFTER = 3
"""Events of a stream that its caller gets before the change."""
LARGE_BYTES = 4 << 20
RECEIVE_BUFFER_BYTES = 65_536
SILENCE_S = 1.0
BODY = b"to be booked"
ATTEMPTS = count(1)
ONCE = {"name": "r-talk", "pathPrefix": "/talk/", "resumable": False}
USUAL = make_configuration(0)
USUAL["routes"] = [each | {"timeoutMs": 10_000} for each in USUAL["routes"]]
USUAL["routes"].append(USUAL["routes"][0] | ONCE)
USUAL["limits"] |= {"headerTimeoutMs": 8_000, "idleTimeoutMs": 8_000}
BASE = {name: USUAL[name] for name in ("routes", "services", "limits", "tenants")}
SPARE = {"name": "spare", "healthPath": "/healthz", "maxConns": 50}


@frozen
class Change:
    """A change, and what becomes of requests that it meets.

    Parameters
    ----------
    changes
        Fields of the configuration.
    body, head
        Status of a request whose body, or head, is being received.
    reload
        True if the settings change too, with a SIGHUP.
    unlisted
        True if all targets leave the list too.
    keeps_idle
        True if connections may be idle for some time after it.
    """

    changes: dict
    body: int = 200
    head: int = 200
    reload: bool = False
    unlisted: bool = False
    keeps_idle: bool = True


def routes(**fields):
    return {"routes": [each | fields for each in BASE["routes"]]}


def limits(**fields):
    return {"limits": BASE["limits"] | fields}


def split(*weights):
    parts = [{"service": name, "weight": weight} for name, weight in weights]
    return routes(split=parts) | {"services": [*BASE["services"], SPARE]}


def model(**fields):
    llm, *others = BASE["services"]
    return {"services": [llm | {"engine": llm["engine"] | fields}, *others]}


IDLE = limits(idleTimeoutMs=20)
KEYS = {"tenants": [{"name": "kiosk", "apiKeys": ["key-9"]}]}
PRIORITIES = [each | {"priority": 9} for each in BASE["tenants"]]
CHANGES = {
    "idle timeout": Change(IDLE, keeps_idle=False),
    "header timeout": Change(limits(headerTimeoutMs=1)),
    "header size": Change(limits(maxHeaderBytes=40), head=431),
    "body size": Change(limits(maxBodyBytes=1), head=413),
    "routes gone": Change({"routes": BASE["routes"][3:4]}, 404, 404),
    "services gone": Change({"routes": [], "services": []}, 404, 404),
    "weights": Change(split(("desk", 0.0), ("spare", 1.0)), 503, 503),
    "model sizes": Change(model(layerMb=140.0, kvTokenBytes=100, read_per_s=1.0)),
    "timeouts": Change(routes(timeoutMs=1), 503, 503),
    "kinds": Change(routes(kind="unsafe", maxAttempts=1, resumable=False)),
    "goals": Change(routes(sloMs=1, gapAimMs=1, priority=9)),
    "keys revoked": Change(KEYS, 401, 401),
    "all keys gone": Change({"tenants": []}, 401, 401),
    "priorities": Change({"tenants": PRIORITIES}),
    "settings": Change({}, reload=True),
    "targets unlisted": Change({}, 503, 503, unlisted=True),
    "several": Change(IDLE | KEYS | {"routes": []}, 404, 404, True, True, False),
}


class UnderWay(ABC):
    """A request on a connection that has had an answer before."""

    def __init__(self, entry, fleet, path, method="POST"):
        self.fleet, self.path, self.method = fleet, path, method
        self.attempt = f"a{next(ATTEMPTS)}"
        self.http = http.client.HTTPConnection(entry.ip, entry.front, timeout=5)
        self.response = None
        assert self.ask() == 200
        self.sock = self.http.sock

    def headers(self, attempt):
        return {
            "Host": "shop.example",
            "X-Attempt-Id": attempt,
            "X-Model": "m",
            "X-Token-Count": f"100,{EVENTS * 2}",
            "X-Deadline-Ms": "9000",
            "Authorization": "Bearer key-1",
        }

    def ask(self):
        """Return the status of another request on the connection."""
        self.http.request("GET", "/look/1", headers=self.headers(f"{self.attempt}-ask"))
        response = self.http.getresponse()
        response.read()
        return response.status

    def send(self):
        self.http.request(self.method, self.path, BODY, self.headers(self.attempt))

    @property
    def runs(self):
        targets = [*self.fleet.engines.values(), *self.fleet.services.values()]
        return sum(run[0] == self.attempt for each in targets for run in each.runs)

    def hold(self, events):
        self.fleet.held_after[self.attempt] = events

    @abstractmethod
    def begin(self):
        """Bring the request under way."""

    def finish(self):
        """Return the status and the body of the answer."""
        self.response = self.response or self.http.getresponse()
        return self.response.status, self.response.read()

    def check(self, change):
        """Check the answer after a change."""
        assert self.finish() == (200, f"done {self.attempt}".encode())

    def check_connection(self):
        """Check that the connection is kept unless its answer announced the close."""
        if not self.response.will_close:
            assert self.ask()
            assert self.http.sock in {self.sock, None}


class WaitingCall(UnderWay):
    """A plain call that waits at its target."""

    def begin(self):
        self.hold(0)
        self.send()
        wait_for(lambda: self.runs, 5, 0.01)


class WrittenCall(UnderWay):
    """A plain call whose caller hasn't read its answer yet."""

    def begin(self):
        self.fleet.answer_bytes[self.attempt] = LARGE_BYTES
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.send()
        self.sock.recv(1, socket.MSG_PEEK)

    def check(self, change):
        whole = f"done {self.attempt}".ljust(LARGE_BYTES).encode()
        assert self.finish() == (200, whole)


class ReceivedBody(UnderWay):
    """A request of whose body a part has been sent."""

    def begin(self):
        self.http.putrequest(self.method, self.path, skip_host=True)
        sent = self.headers(self.attempt) | {"Content-Length": str(len(BODY))}
        for name, value in sent.items():
            self.http.putheader(name, value)
        self.http.endheaders(BODY[:3])

    def finish(self):
        self.sock.sendall(BODY[3:])
        return super().finish()

    def expected(self, change):
        return change.body

    def check(self, change):
        status, body = self.finish()
        assert status == self.expected(change), body
        assert self.runs == (status == 200)


class ReceivedHead(ReceivedBody):
    """A request of whose head a part has been sent."""

    def begin(self):
        sent = self.headers(self.attempt) | {"Content-Length": str(len(BODY))}
        lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
        self.head = f"{self.method} {self.path} HTTP/1.1\r\n{lines}\r\n".encode()
        self.sock.sendall(self.head[:20])

    def finish(self):
        self.sock.sendall(self.head[20:] + BODY)
        self.response = http.client.HTTPResponse(self.sock)
        self.response.begin()
        return UnderWay.finish(self)

    def expected(self, change):
        return change.head


class WaitingStream(UnderWay):
    """A stream that waits for its first event."""

    def begin(self):
        self.hold(0)
        self.send()
        wait_for(lambda: self.runs, 5, 0.01)

    def check(self, change):
        status, body = self.finish()
        events = [f"id: {n}\ndata: {self.attempt}-{n}" for n in range(1, EVENTS + 1)]
        assert status == 200
        assert body.decode().split("\n\n") == [*events, ""]


class BegunStream(WaitingStream):
    """A stream that has begun."""

    begun = b""

    def begin(self):
        self.hold(HELD_AFTER)
        self.send()
        self.response = self.http.getresponse()
        self.begun = b"".join(self.response.readline() for _ in range(3 * HELD_AFTER))

    def finish(self):
        return self.response.status, self.begun + self.response.read()


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Return a fleet and an entry process in front of it."""
    fleet = Platform()
    make_fleet(fleet)
    fleet.configure(**BASE)
    with running_entry(fleet, tmp_path_factory.mktemp("changes")) as entry:
        yield fleet, entry
    assert not entry.events("task_failed")
    assert not entry.events("failed")
    fleet.stop()


def begin_requests(fleet, entry):
    """Return requests of each kind that are under way."""
    requests = [
        kind(entry, fleet, path)
        for kind, path in [
            (BegunStream, "/advice/x"),
            (BegunStream, "/talk/x"),
            (WaitingStream, "/advice/x"),
            (WaitingStream, "/talk/x"),
            (WaitingCall, "/look/1"),
            (WaitingCall, "/book/1"),
            (WrittenCall, "/look/1"),
            (ReceivedBody, "/book/1"),
            (ReceivedHead, "/book/1"),
        ]
    ]
    for each in requests:
        each.begin()
    return requests


@pytest.fixture
def under_way(running):
    """Return requests that are under way; restore the platform later."""
    fleet, entry = running
    requests = begin_requests(fleet, entry)
    yield requests
    fleet.held_after.clear()
    for target in [*fleet.engines.values(), *fleet.services.values()]:
        fleet.put_entry(target.id, target.entry())
    bring_into_force(fleet, entry)
    wait_for(lambda: covers(fleet, "west") and covers(fleet, "east"), 10)
    wait_for(lambda: knows_layers(entry, fleet) and not excluded(entry), 5)
    for each in requests:
        each.http.close()


def excluded(entry):
    targets = json.loads(entry.ask("/dump"))["targets"].values()
    return [each["id"] for each in targets if each["standing"]["hold_s"]]


def bring_into_force(fleet, entry, **changes):
    version = fleet.configure(**BASE | changes)["version"]
    wait_for(lambda: entry.versions_in_force()[-1] == version, 3, 0.02)


def apply(change, fleet, entry):
    """Apply a change and wait until the entry has."""
    if change.unlisted:
        for target in [*fleet.engines.values(), *fleet.services.values()]:
            fleet.put_entry(target.id, None)
        wait_for(lambda: entry.ask("/dump").count(b"addr") == 0, 3, 0.02)
    if change.reload:
        reloaded = len(entry.events("settings_reloaded"))
        entry.settings["bounds"]["retrySlack"] += 1
        entry.write_settings()
        entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: len(entry.events("settings_reloaded")) > reloaded, 3, 0.02)
    bring_into_force(fleet, entry, **change.changes)


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
def test_requests_under_way_are_answered_beside_a_change(change, running, under_way):
    """Their connections were closed without an answer."""
    fleet, entry = running
    apply(change, fleet, entry)
    fleet.held_after.clear()
    for each in under_way:
        each.check(change)
    if change.keeps_idle:
        for each in under_way:
            each.check_connection()


def test_engines_silent_for_a_second_beside_a_change_end_no_answer(running, under_way):
    """Silence is no reason to end an answer, as sound engines fall silent too."""
    fleet, entry = running
    change = CHANGES["several"]
    for engine in fleet.engines.values():
        engine.silent = True
    silent_since_s = time.monotonic()
    fleet.held_after.clear()
    apply(change, fleet, entry)
    wait_for(lambda: time.monotonic() - silent_since_s >= SILENCE_S, 3, 0.02)
    for engine in fleet.engines.values():
        engine.silent = False
    for each in under_way:
        each.check(change)


def test_requests_under_way_are_answered_beside_a_model_with_more_layers(fleet, entry):
    """Engines load other layers than those of the paths under way."""
    fleet.configure(**BASE)
    wait_for(lambda: entry.versions_in_force()[-1] == fleet.version, 3, 0.02)
    requests = begin_requests(fleet, entry)
    held = [engine.held for engine in fleet.engines.values()]
    change = Change(model(layers=LAYERS + 2))
    apply(change, fleet, entry)
    wait_for(lambda: [each.held for each in fleet.engines.values()] != held, 5, 0.02)
    fleet.held_after.clear()
    for each in requests:
        each.check(change)
        each.check_connection()


def is_refused(entry):
    with socket.socket() as sock:
        return sock.connect_ex((entry.ip, entry.front)) != 0


def test_requests_under_way_are_answered_at_a_planned_stop_beside_a_change(
    fleet, entry
):
    """Callers have gone elsewhere by the end of these requests."""
    fleet.configure(**BASE)
    wait_for(lambda: entry.versions_in_force()[-1] == fleet.version, 3, 0.02)
    requests = begin_requests(fleet, entry)
    entry.terminate()
    wait_for(lambda: entry.events("stop_begins"), 3, 0.02)
    change = CHANGES["settings"]
    apply(evolve(change, changes=IDLE, body=503, head=503), fleet, entry)
    wait_for(lambda: is_refused(entry), 5, 0.02)
    fleet.held_after.clear()
    for each in requests:
        each.check(evolve(change, body=503, head=503))
    assert entry.wait() == 0
