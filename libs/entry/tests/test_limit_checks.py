"""Questions to targets whether their limits hold."""

import asyncio
from math import inf
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry.limit_checks import LimitChecks
from celeryfork_entry.ports import ReplyMetadata
from celeryfork_entry.target_http import LostError
from celeryfork_entry.targets import Target
from stream_trial import SERVICE

TARGET = Target("x", "llm", "10.0.0.1:1", "a")


class Asked:
    """Records questions, and answers those for health."""

    def __init__(self, service, error=None):
        self.questions, self.told, self.lines, self.error = [], [], [], error
        configuration = SimpleNamespace(services_by_name={"llm": service})
        self.checks = LimitChecks(
            self, self, self, lambda: configuration,
            lambda target, metadata: self.told.append((target, metadata)),
            SimpleNamespace(info=lambda event, **inputs: self.lines.append(event)),
            asyncio.ensure_future,
        )  # fmt: skip

    async def ask(self, engine_id):
        self.questions.append(f"report of {engine_id}")

    async def send(self, address, request):
        self.questions.append(request)
        if self.error is not None:
            raise self.error

        async def skip_body():
            pass

        return SimpleNamespace(
            status=200, headers=[], skip_body=skip_body, drop=lambda: None
        )

    def build_health_request(self, path):
        return f"health at {path}"

    def read_reply(self, status, headers):
        return ReplyMetadata(False, None, None, inf)

    def run(self, times):
        async def check():
            for _ in range(times):
                self.checks.check(TARGET)
                await asyncio.sleep(0.01)

        asyncio.run(check())


@pytest.mark.parametrize(
    ("service", "question"),
    [(SERVICE, "report of x"), (evolve(SERVICE, model=None), "health at /healthz")],
)
def test_a_target_is_asked_once_in_a_second(service, question):
    """Each request for permits would ask again; questions are priced."""
    asked = Asked(service)
    asked.run(5)
    assert asked.questions == [question]


def test_a_plain_targets_health_answer_tells_of_its_limit():
    asked = Asked(evolve(SERVICE, model=None))
    asked.run(1)
    assert [metadata.limit_per_s for _, metadata in asked.told] == [inf]


def test_a_target_that_does_not_answer_is_logged():
    asked = Asked(evolve(SERVICE, model=None), LostError("gone"))
    asked.run(1)
    assert (asked.told, asked.lines) == ([], ["limit_unanswered"])
