"""Helpers for the stand-ins' tests: started fleets, requests, waits."""

import http.client
import json
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from attrs import frozen
from celeryfork_standin.engine import EngineFleet, EngineSpec, make_engine_fleet
from celeryfork_standin.platform import PlatformStandin, make_platform

DEADLINE_S = 10.0


@frozen
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class Stream:
    """One open attempt, read event by event."""

    def __init__(self, address: str, body: dict[str, object]) -> None:
        self.connection = http.client.HTTPConnection(address, timeout=DEADLINE_S)
        self.connection.request("POST", "/v1/generate", json.dumps(body))
        self.response = self.connection.getresponse()
        self.status = self.response.status

    def line(self) -> bytes:
        return self.response.readline()

    def event(self) -> dict[str, Any]:
        return json.loads(self.line())

    def rest(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.response]

    def close(self) -> None:
        self.response.close()
        self.connection.close()


class Helpers:
    """What the tests share."""

    @staticmethod
    def call(
        address: str, method: str, path: str, body: object = None, **headers: str
    ) -> Answer:
        address = address.removeprefix("http://")
        connection = http.client.HTTPConnection(address, timeout=DEADLINE_S)
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            raw = json.dumps(body) if body is not None else None
            connection.request(method, path, raw, names)
            response = connection.getresponse()
            return Answer(response.status, dict(response.headers), response.read())
        finally:
            connection.close()

    @staticmethod
    def wait_until(condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + DEADLINE_S
        while not condition():
            assert time.monotonic() < deadline, "the condition never came true"
            time.sleep(0.005)

    @staticmethod
    def body(fleet: EngineFleet, *names: str, **fields: object) -> dict[str, object]:
        """Return a request over the engines named, each with all of its layers."""
        chain = []
        for name in names:
            engine = fleet.engine(name)
            layers = {"first": engine.spec.first_layer, "last": engine.spec.last_layer}
            chain.append({"engine": name, "address": engine.address, **layers})
        standard = {
            "stream_id": "s1",
            "attempt": 1,
            "model": "m",
            "prompt": "hard water in the kettle",
            "emitted": [],
            "position": 0,
            "max_tokens": 8,
            "chain": chain,
        }
        return standard | fields

    @staticmethod
    def stream(address: str, body: dict[str, object]) -> Stream:
        return Stream(address, body)

    @staticmethod
    def open(fleet: EngineFleet, *names: str, **fields: object) -> Stream:
        address = fleet.engine(names[0]).address
        return Stream(address, Helpers.body(fleet, *names, **fields))


@pytest.fixture
def helpers() -> Helpers:
    return Helpers()


@pytest.fixture
def platform() -> Iterator[PlatformStandin]:
    standin = make_platform(seed=1)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def fleet() -> Iterator[EngineFleet]:
    """Two chains of two engines: a1 or a2, then b1 or b2."""
    engines = make_engine_fleet(seed=1, link_timeout_s=0.2)
    for name, first in (("a1", 0), ("a2", 0), ("b1", 12), ("b2", 12)):
        domain = "westlands" if name.endswith("1") else "karen"
        engines.add(EngineSpec(name, "m", domain, first, first + 12, restart_s=0.05))
    yield engines
    engines.stop()
