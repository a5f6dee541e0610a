"""Tests of celeryfork_platform.instances and celeryfork_platform.weights."""

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from celeryfork_platform.instances import make_instance_list_client
from celeryfork_platform.model import WeightBudget
from celeryfork_platform.weights import make_weight_store_client

ENTRY = (
    b'{"id": "rw-07", "role": "engine", "target": "reminder-writer", "domain": "karen",'
    b' "address": "127.0.0.1:7007", "state": "live", "incarnation": 3,'
    b' "attributes": {"first_layer": 0}}'
)


def test_fetch_skips_malformed_entries(server) -> None:
    server.answer = server.reply(
        200, b'{"version": 12, "instances": [' + ENTRY + b', {"id": "x"}]}'
    )
    counters = Counters()
    client = make_instance_list_client(server.url, SystemClock(), counters)
    found = client.fetch(2.0)
    assert found.version == 12
    assert set(found.by_id) == {"rw-07"}
    assert found.by_id["rw-07"].attributes == {"first_layer": 0}
    assert counters.count("platform.instances.malformed_entries") == 1


@pytest.mark.parametrize(
    ("status", "body"), [(500, b""), (200, b"[]"), (200, b"{}"), (200, b"nonsense")]
)
def test_fetch_raises_on_invalid_response(server, status, body) -> None:
    server.answer = server.reply(status, body)
    client = make_instance_list_client(server.url, SystemClock(), Counters())
    with pytest.raises(PlatformUnavailableError):
        client.fetch(2.0)


def test_weight_budget_is_parsed(server) -> None:
    server.answer = server.reply(
        200, b'{"bytes_per_second": 1000000000, "available_bytes": 5e9}'
    )
    client = make_weight_store_client(server.url, SystemClock(), Counters())
    assert client.budget(2.0) == WeightBudget(1e9, 5e9)


@pytest.mark.parametrize(("status", "body"), [(503, b""), (200, b"{}")])
def test_weight_budget_raises_on_invalid_response(server, status, body) -> None:
    server.answer = server.reply(status, body)
    client = make_weight_store_client(server.url, SystemClock(), Counters())
    with pytest.raises(PlatformUnavailableError):
        client.budget(2.0)
