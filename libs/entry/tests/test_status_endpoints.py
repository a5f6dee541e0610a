"""Parsing of the revision in a follower's request, and evidence of crashes."""

import asyncio
import time
from types import SimpleNamespace
from urllib.parse import quote

import pytest
import small_model
from celeryfork_admission.crash_evidence import (
    FIRST_HOLD_S,
    TraitKind,
    make_crash_evidence,
    make_part_trait,
    make_trait,
)
from celeryfork_admission.service_load import Urgency
from celeryfork_base.counters import Counters
from celeryfork_entry.demand_exchange import DemandExchange
from celeryfork_entry.load_knowledge import LoadKnowledge
from celeryfork_entry.metrics import Histograms
from celeryfork_entry.peer_state import CHANGES_PATH
from celeryfork_entry.ports import Leadership, Peer
from celeryfork_entry.roster import Roster
from celeryfork_entry.status_endpoints import StatusEndpoints, _revision
from celeryfork_entry.targets import TargetTable
from celeryfork_routing.engine_loads import EngineLoads
from celeryfork_routing.layer_paths import PathEngine
from celeryfork_routing.layers import LayerRange
from orjson import loads

PART = make_part_trait("llm", "deadly part/1")
CLEAR_URL = "/crash-evidence/clear?service=llm&part=deadly%20part%2F1"


@pytest.mark.parametrize(
    ("text", "revision"),
    [("0", 0), ("1796387904529", 1796387904529), ("-1", -1), ("", -1), ("x", -1),
     ("1.5", -1), ("9" * 5000, -1)],
)  # fmt: skip
def test_an_invalid_revision_requests_the_full_list(text, revision):
    assert _revision(CHANGES_PATH + text) == revision


class Status:
    """Status endpoints of an instance, with answers and log lines recorded."""

    def __init__(self):
        self.now_s = 1000.0
        self.evidence = make_crash_evidence(lambda: self.now_s)
        self.lines = []
        leadership = Leadership(held=False, fence=0)
        self.configuration = None
        roster = Roster(Peer("i1", "a", "10.0.0.1:7"))
        self.knowledge = LoadKnowledge(
            DemandExchange(roster), EngineLoads(), lambda: self.configuration
        )
        self.endpoints = StatusEndpoints(
            SimpleNamespace(configuration=None, list_read_s=0.0, unavailable_feeds=()),
            SimpleNamespace(leadership=leadership),
            TargetTable(),
            SimpleNamespace(opened=0),
            EngineLoads(),
            roster,
            Counters(),
            Histograms(),
            ready=lambda: True,
            stopping=lambda: False,
            callers=lambda: 0,
            caller_memory=lambda: 0,
            crash_evidence=self.evidence,
            log=SimpleNamespace(info=lambda event, **f: self.lines.append((event, f))),
            load_knowledge=self.knowledge,
        )

    def crash(self, trait=PART, organisation="xaka200", times=1):
        for _ in range(times):
            run = f"r{self.now_s}-{organisation}"
            self.evidence.record_crash([trait], run, organisation, probe=False)
            self.now_s += 0.1

    def ask(self, target, method="GET", *, as_peer=True):
        """Return status, headers and body of an answer."""
        answers = []

        async def answer(*parts):
            answers.append(parts)

        endpoints = self.endpoints
        serve = endpoints.answer_peer if as_peer else endpoints.answer
        request = SimpleNamespace(method=method, target=target)
        asyncio.run(serve(SimpleNamespace(answer=answer), request))
        ((status, headers, body),) = answers
        return status, dict(headers), body

    def gauges(self):
        lines = self.ask("/metrics")[2].decode().splitlines()
        return {
            name.removeprefix("celeryfork_crashes_"): float(value)
            for name, value in map(str.split, lines)
            if name.startswith("celeryfork_crashes_")
        }


def test_metrics_and_dump_show_the_loads_of_services():
    """Without them nobody can tell why requests are refused for want of capacity."""
    status = Status()
    assert status.endpoints.dump()["service_loads"] == {}
    services = {
        "llm": SimpleNamespace(model=small_model.SHAPE),
        "plain": SimpleNamespace(model=None),
    }
    status.configuration = SimpleNamespace(services_by_name=services)
    now_s = time.monotonic()
    status.knowledge.meter.record_arrival("llm", Urgency(0, 1), "xaka200", 9.0, now_s)
    status.knowledge.engines = lambda service, now_s: [
        PathEngine("e1", "a:1", "a", "card", LayerRange(0, 8))
    ]
    lines = status.ask("/metrics")[2].decode().splitlines()
    values = {name: float(value) for name, value in map(str.split, lines)}
    total = values["celeryfork_room_total_llm"]
    assert total == pytest.approx(values["celeryfork_room_free_llm"])
    assert total > 0
    assert values["celeryfork_demand_tokens_per_s_llm"] == pytest.approx(9, rel=0.5)
    assert values["celeryfork_load_knowledge_age_s"] >= 0
    (load,) = loads(status.ask("/dump")[2])["service_loads"].values()
    assert load["room"]["total_tokens"] == pytest.approx(total, rel=1e-4)
    assert load["demand"]["rows"][0]["urgency"] == {
        "organisation_priority": 0, "route_priority": 1,
    }  # fmt: skip
    assert {"age_s", "instances", "complete"} <= load.keys()


def test_the_gauges_count_suspected_and_convicted_parts():
    """An operator who sees no part in doubt looks for the cause among the engines."""
    status = Status()
    assert status.gauges() == {"suspected": 0, "convicted": 0}
    status.crash()
    assert status.gauges() == {"suspected": 1, "convicted": 0}
    status.crash(times=3)
    status.crash(make_part_trait("llm", "another"))
    assert status.gauges() == {"suspected": 1, "convicted": 1}


def test_a_request_below_conviction_is_not_counted_as_suspected():
    """Each crash of an engine has the fingerprints of all sound requests on it."""
    status = Status()
    status.crash(make_trait("llm", TraitKind.REQUEST, "0f"))
    assert status.gauges() == {"suspected": 0, "convicted": 0}


def test_the_dump_shows_the_evidence_with_verdict_and_hold(monkeypatch):
    """Without it nobody can tell which part is refused, for how long, and why."""
    status = Status()
    monkeypatch.setattr("celeryfork_entry.status_endpoints.asdict", lambda _: {})
    status.crash(times=3)
    (row,) = status.endpoints.dump()["crash_evidence"]
    assert (row["service"], row["kind"], row["value"]) == ("llm", "part", PART.value)
    assert [crash["age_s"] for crash in row["crashes"]] == [0.3, 0.2, 0.1]
    assert {crash["organisation"] for crash in row["crashes"]} == {"xaka200"}
    assert row["verdict"] == "refuse"
    assert row["hold_s"] == pytest.approx(FIRST_HOLD_S - 0.1)
    status.now_s += 60.0
    (row,) = status.endpoints.dump()["crash_evidence"]
    assert (row["verdict"], row["hold_s"]) == ("suspect", 0.0)


def test_parts_that_crash_engines_together_are_both_shown_as_refused():
    """Each explains the other's crashes, so that a request with one alone may run; the
    requests that come have both and are refused, and nobody would see it."""
    status = Status()
    parts = [make_part_trait("llm", name) for name in ("one", "two")]
    for n in range(3):
        status.evidence.record_crash(parts, f"r{n}", "xaka200", probe=False)
    assert status.gauges() == {"suspected": 0, "convicted": 2}


def test_a_part_whose_crashes_another_one_explains_is_not_shown_as_suspected():
    """Each crashed engine has dozens of innocent requests; an operator would look for
    the sender of each of their parts."""
    status = Status()
    other = make_part_trait("llm", "innocent")
    for n in range(4):
        parts = [PART, other] if n == 0 else [PART]
        status.evidence.record_crash(parts, f"r{n}", "xaka200", probe=False)
    assert status.gauges() == {"suspected": 0, "convicted": 1}


def test_an_operator_clears_a_part():
    """A sound part that is refused by mistake would stay so for up to an hour."""
    status = Status()
    status.crash(times=3)
    code, _, body = status.ask(CLEAR_URL, "POST")
    assert (code, loads(body)) == (
        200, {"cleared": {"service": "llm", "part": PART.value}},
    )  # fmt: skip
    assert status.gauges() == {"suspected": 0, "convicted": 0}
    cleared = {"service": "llm", "part": PART.value}
    assert status.lines == [("crash_cleared", cleared)]
    (record,) = [r for r in status.evidence.take_changes() if r.trait == PART]
    assert record.sound_s == status.now_s
    assert status.ask(CLEAR_URL, "POST")[0] == 404


@pytest.mark.parametrize("part", ["x" * 100, "h\xe9"])
def test_a_part_is_cleared_by_its_own_name_and_by_the_one_shown(part):
    """The dump shows a hash where a name is too long or odd."""
    for name in (part, make_part_trait("llm", part).value):
        status = Status()
        status.crash(make_part_trait("llm", part))
        target = f"/crash-evidence/clear?service=llm&part={quote(name)}"
        assert status.ask(target, "POST")[0] == 200
        assert status.gauges()["suspected"] == 0


def test_clearing_what_is_not_suspected_changes_nothing():
    """Each mark of an unknown part would push a true suspicion out, and go to peers."""
    status = Status()
    status.crash()
    status.evidence.take_changes()
    for query in ("service=llm&part=other", "service=mlm&part=deadly%20part%2F1"):
        assert status.ask(f"/crash-evidence/clear?{query}", "POST")[0] == 404
    assert status.evidence.take_changes() == []
    assert status.gauges()["suspected"] == 1


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "post"])
def test_only_post_clears(method):
    """A crawler or a browser's preview that follows a link would free deadly parts."""
    status = Status()
    status.crash()
    code, headers, _ = status.ask(CLEAR_URL, method)
    assert (code, headers["Allow"]) == (405, "POST")
    assert status.gauges()["suspected"] == 1


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_parts_are_not_cleared_at_the_addresses_for_health_and_metrics(method):
    """Callers may reach these, and could free the part that crashes engines."""
    status = Status()
    status.crash()
    code, _, body = status.ask(CLEAR_URL, method, as_peer=False)
    assert code == 403
    assert b"peers" in body
    assert status.gauges()["suspected"] == 1


@pytest.mark.parametrize(
    "query",
    ["", "?", "?service=llm", "?part=x", "?service=&part=x", "?service=llm&part=",
     "?service=llm&service=b&part=x", "?service=llm&part=x&part=y", "?service=llm&part",
     "?service=llm&part=x&all=1", "?" + "&".join(["part=x"] * 50)],
)  # fmt: skip
def test_a_malformed_clearing_is_rejected_with_the_remedy(query):
    """An ambiguous request may free another part than the one that was meant."""
    status = Status()
    status.crash()
    code, _, body = status.ask(f"/crash-evidence/clear{query}", "POST")
    assert code == 400
    assert b"?service=S&part=P" in body


def test_other_requests_at_the_address_for_peers_are_answered_as_before():
    """Peers read the configuration and the list there."""
    status = Status()
    assert status.ask("/metrics")[0] == 200
    assert status.ask("/crash-evidence")[0] == 200
