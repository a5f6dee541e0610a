"""Requests on one kept connection while the configuration changes (issue 27)."""

import http.client
import signal

import pytest
from entry_process import wait_for
from platform_standins import make_configuration


@pytest.fixture
def kept(entry):
    """Return a function that sends a request on one kept connection."""
    connection = http.client.HTTPConnection(entry.ip, entry.front, timeout=5)

    def ask(attempt, path="/look/1", key="key-1"):
        """Return the status; the connection must be the one of the first request."""
        sock = connection.sock
        connection.request(
            "GET",
            path,
            headers={
                "Host": "shop.example",
                "X-Attempt-Id": attempt,
                "Authorization": f"Bearer {key}",
            },
        )
        assert sock is None or connection.sock is sock
        response = connection.getresponse()
        response.read()
        return response.status

    yield ask
    connection.close()


def test_kept_connections_stay_open_over_changes_of_the_configuration(
    entry, fleet, kept
):
    """A change that closed them would lose the requests that cross the close."""
    usual = make_configuration(0)
    without_route = [each for each in usual["routes"] if each["name"] != "r-look"]
    renamed = [
        each | {"service": "gone"} if each["name"] == "r-look" else each
        for each in usual["routes"]
    ]
    other_limits = usual["limits"] | {"idleTimeoutMs": 9_000, "maxBodyBytes": 1_000}
    assert kept("k0") == 200
    for number, (changes, status) in enumerate(
        [
            ({"limits": other_limits}, 200),
            ({"routes": without_route}, 404),
            ({}, 200),
            ({"tenants": [{"name": "kiosk", "apiKeys": ["key-2"]}]}, 401),
            ({}, 200),
            ({"routes": renamed}, 500),
            ({}, 200),
        ],
        1,
    ):
        version = fleet.configure(**changes)["version"]
        wait_for(lambda v=version: entry.versions_in_force()[-1] == v, 3)
        assert kept(f"k{number}") == status, changes


def test_kept_connections_stay_open_over_a_restart_of_the_settings_reader(entry, kept):
    assert kept("s0") == 200
    entry.settings["bounds"]["retrySlack"] = 300
    entry.write_settings()
    entry.process.send_signal(signal.SIGHUP)
    wait_for(lambda: entry.events("settings_reloaded"), 3)
    assert kept("s1") == 200
