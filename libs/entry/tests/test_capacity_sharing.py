"""Which services a configuration shares by urgency or weight."""

import pytest
from celeryfork_admission.service_load import Urgency
from celeryfork_entry.capacity_sharing import CapacitySharing
from celeryfork_entry.configuration import (
    CallerLimits,
    Configuration,
    Idempotent,
    Organisation,
    Route,
    Stream,
)

STREAM = Stream(True, 0.2)


def route(name, priority, kind=STREAM, service="llm"):
    return Route(
        name, "h", f"/{name}/", kind, 10.0, 0.5, priority, ((service, 1.0),), 2, False
    )


def make_configuration(routes, *organisations):
    limits = CallerLimits(1_000, 1_000, 1.0, 1.0)
    by_key = {each.name: each for each in organisations}
    return Configuration(1, {"h": tuple(routes)}, {}, by_key, True, limits)


@pytest.mark.parametrize(
    ("routes", "organisations", "shared"),
    [
        ([route("a", 1), route("b", 1)], [Organisation("x", None)], False),
        ([route("a", 0), route("b", 1)], [Organisation("x", None)], True),
        ([route("a", 1)], [Organisation("x", 0), Organisation("y", 1)], False),
        ([route("a", 1)], [Organisation("x", 1, 2.0)], True),
        ([route("a", 1), route("b", 0, Idempotent())], [Organisation("x", 1)], False),
    ],
    ids=["one", "routes", "organisations", "weight", "plain"],
)
def test_services_with_several_urgencies_or_weights_are_shared(
    routes, organisations, shared
):
    """Guards against a change for deployments that ask for none."""
    sharing = CapacitySharing(lambda: make_configuration(routes, *organisations))
    assert ("llm" in sharing.current().services) == shared
    assert sharing.is_configured() == shared


def test_ranks_follow_the_organisations_priority_before_the_routes():
    organisations = [Organisation("x", 0), Organisation("y", 1)]
    known = make_configuration([route("a", 0), route("b", 2)], *organisations)
    ranks = CapacitySharing(lambda: known).current().rank_by_urgency_by_service["llm"]
    assert sorted(ranks, key=ranks.get) == [
        Urgency(0, 0), Urgency(0, 2), Urgency(1, 0), Urgency(1, 2)
    ]  # fmt: skip


def test_a_new_configuration_replaces_what_is_shared():
    """A cached result of an earlier configuration would stay in force."""
    known = [None]
    sharing = CapacitySharing(lambda: known[0])
    assert not sharing.is_configured()
    known[0] = make_configuration([route("a", 0), route("b", 1)], Organisation("x", 1))
    assert sharing.is_configured()
    known[0] = make_configuration([route("a", 1)], Organisation("x", 1))
    assert not sharing.is_configured()
