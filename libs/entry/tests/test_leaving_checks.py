"""Checks if engines that repeatedly refuse work are leaving."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_entry.leaving_checks import LeavingChecks
from celeryfork_entry.target_http import LostError
from celeryfork_entry.targets import Listed, Target, TargetTable
from logbook import Logger


class Engine:
    """Answers health requests with a status, or not at all if it is None."""

    def __init__(self, status):
        self.status = status
        self.requests = []

    async def send(self, address, request):
        self.requests.append((address, request))
        if self.status is None:
            raise LostError("gone")

        async def read_all(most):
            return b""

        return SimpleNamespace(status=self.status, read_all=read_all, drop=lambda: None)

    def build_health_request(self, path):
        return path


def check(engine, times=1):
    """Return the ids of engines not marked as leaving after a number of checks."""
    table = TargetTable()
    table.apply([Listed(Target("x", "llm", "x:1", "a"))])

    async def run():
        tasks = []
        spawn = lambda work: tasks.append(asyncio.ensure_future(work))  # noqa: E731
        checks = LeavingChecks(table, engine, engine, Logger("test"), spawn)
        for _ in range(times):
            checks.check("x", "/healthz")
        checks.check("unknown", "/healthz")
        await asyncio.gather(*tasks)

    asyncio.run(run())
    return [target.id for target in table.not_leaving("llm")]


@pytest.mark.parametrize(
    ("status", "listed"), [(503, []), (200, ["x"]), (404, ["x"]), (None, ["x"])]
)
def test_only_status_503_marks_an_engine_as_leaving(status, listed):
    engine = Engine(status)
    assert check(engine) == listed
    assert engine.requests == [("x:1", "/healthz")]


def test_concurrent_checks_send_one_request():
    engine = Engine(200)
    check(engine, times=3)
    assert len(engine.requests) == 1
