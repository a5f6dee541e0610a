"""Reloading of settings, checks of slow engines, and wiring of the parts."""

import asyncio
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_admission.crash_evidence import Verdict, make_part_trait
from celeryfork_entry.configuration import (
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    Stream,
)
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.instance import Instance
from celeryfork_entry.ports import Peer
from celeryfork_entry.settings import EntrySettings, Mode
from celeryfork_entry.targets import Listed, Target
from celeryfork_routing.layers import LayerRange
from instance_network import receive_report
from logbook import Logger

SETTINGS = EntrySettings(
    name="e1", domain="west", listen="127.0.0.1:1", ready="127.0.0.1:2",
    metrics="127.0.0.1:3", peer_address="127.0.0.1:4", store="127.0.0.1:5",
    stop_s=8.0, retry_ratio=0.2, retry_slack=20.0, retry_window_s=10.0,
    usual_instances=10,
)  # fmt: skip


def make_instance(settings=SETTINGS):
    nothing = SimpleNamespace()
    return Instance(settings, nothing, nothing, nothing, nothing, Logger("test"))


def remaining_retries(instance, now_s):
    """Use up the retry budget of a service; return the number of retries it allowed."""
    count = 0
    while instance._budget_of("llm").acquire(now_s, 1) is not None:
        count += 1
    return count


def test_changed_settings_keep_the_count_of_used_retries():
    """A reload of all instances within one window used to double the retry budget."""
    instance = make_instance()
    assert remaining_retries(instance, 100.0) == 18
    instance.apply(evolve(SETTINGS, stop_s=9.0))
    assert remaining_retries(instance, 101.0) == 0


class RecordingChecks:
    """Records which engines are asked."""

    def __init__(self):
        self.ids = []

    def ask(self, engine_id):
        self.ids.append(engine_id)


@pytest.mark.parametrize(("power_of_other", "asked_ids"), [(0.5, ["x"]), (2.0, [])])
def test_only_the_lead_relay_asks_slow_engines_of_its_domain_again(
    monkeypatch, power_of_other, asked_ids
):
    """Engines are slow for 9 s; 195 instances rely on the lead relay's requests."""
    instance, checks = make_instance(), RecordingChecks()
    instance._checks = checks
    monkeypatch.setattr(Instance, "_spawn", lambda instance, work: None)
    other = Peer("e2", "west", "127.0.0.1:9", power_of_other)
    instance.roster.record_message(other)
    for engine_id, domain in (("x", "west"), ("y", "east")):
        instance.table.apply([Listed(Target(engine_id, "llm", "x:1", domain))])
        instance.table.record_speed(engine_id, Speed(12.0, 1, 100.0, own=False))
    instance._recheck_slow_engines(101.5)
    assert checks.ids == asked_ids


def test_changed_settings_change_the_budget():
    instance = make_instance()
    assert remaining_retries(instance, 100.0) == 18
    instance.apply(evolve(SETTINGS, retry_slack=40.0))
    assert remaining_retries(instance, 101.0) == 18


@pytest.mark.parametrize("is_found_here", [True, False])
def test_evidence_of_crashes_reaches_the_evidence_of_a_peer(is_found_here):
    """Evidence that isn't connected to the peers' messages stays where it was found, or
    at the relay that should pass it on."""
    first = make_instance()
    own = evolve(SETTINGS, name="e2", peer_address="127.0.0.1:9")
    second = Instance(own, *[SimpleNamespace()] * 4, Logger("test"))
    deadly = make_part_trait("llm", "deadly")

    class Wire:
        def sendto(self, data, address):
            second._peers.datagram_received(data, address)

    async def crash():
        first._peers.connection_made(Wire())
        first.roster.record_message(second.roster.own)
        if is_found_here:
            first.crash_evidence.record_crash([deadly], "r1", "xaka200", probe=False)
        else:
            row = ["llm", "part", "deadly", [["r1", "xaka200", 1, False]], None, None]
            receive_report(first._peers, {"crashes": [row]})
        await asyncio.sleep(0.01)

    asyncio.run(crash())
    assert second.crash_evidence.judge([deadly], None).verdict is Verdict.SUSPECT
    assert [row["value"] for row in second.crash_evidence.dump()] == ["deadly"]


def test_calls_and_peers_share_one_load_knowledge():
    """Demand recorded on another meter would never be reported."""
    instance = make_instance()
    knowledge = instance.load_knowledge
    assert instance._dispatcher._context.load_knowledge is knowledge
    assert instance._peers.demand.meter is knowledge.meter
    assert instance._peers.demand.is_short == knowledge.is_short


def test_the_room_is_that_of_engines_that_may_get_requests():
    """Excluded and draining engines have memory too, but no request reaches it."""
    instance = make_instance()
    held = LayerRange(0, 4)
    for engine_id in ("x", "y"):
        instance.table.apply(
            [Listed(Target(engine_id, "llm", "x:1", "west", held=held))]
        )
    instance.table.exclude("y", "silent", 100.0)
    engines = instance.load_knowledge.engines("llm", 100.0)
    assert [each.id for each in engines] == ["x"]


def make_configuration(*priorities):
    """Return a configuration with a route for streams of each priority."""
    routes = tuple(
        Route(
            "r",
            "h",
            f"/{each}/",
            Stream(True, 0.2),
            10.0,
            0.5,
            each,
            (("llm", 1.0),),
            2,
            False,
        )  # fmt: skip
        for each in priorities
    )
    limits = CallerLimits(1_000, 1_000, 1.0, 1.0)
    organisations = {"o": Organisation("o", None)}
    return Configuration(1, {"h": routes}, {}, organisations, True, limits)


@pytest.mark.parametrize(
    ("mode", "priorities", "ramping"),
    [
        (Mode.AUTO, (0, 1), 1),
        (Mode.AUTO, (1,), 0),
        (Mode.ON, (1,), 1),
        (Mode.OFF, (0, 1), 0),
    ],
)
def test_a_recovered_target_is_ramped_as_settings_and_configuration_say(
    mode, priorities, ramping
):
    """Deployments with one urgency are served as before; the switch is heeded."""
    instance = make_instance(evolve(SETTINGS, ramp_up_mode=mode))
    instance._store_follower.configuration = make_configuration(*priorities)
    if instance._ramp_up is not None:
        instance._ramp_up.record_request()
    instance.table.apply([Listed(Target("x", "desk", "x:1", "west"))])
    instance.table.exclude("x", "refused", 0.0)
    instance.table.succeeded("x")
    metrics = instance._status_endpoints._metrics().decode()
    assert f"celeryfork_ramp_up_targets {ramping}" in metrics.splitlines()
