import http.client

import pytest
from celeryfork_standin.platform import make_platform

LIST = "/v1/instances"


def test_down_resets_and_refuses_until_it_is_back(platform, helpers):
    address = platform.url.removeprefix("http://")
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", f"/v1/log/claims/records?wait_ms={20_000}")
    helpers.wait_until(lambda: "claims" in platform.log.streams())
    platform.down(True)
    with pytest.raises(ConnectionError):
        connection.getresponse()
    connection.close()
    with pytest.raises(ConnectionRefusedError):
        helpers.call(platform.url, "GET", LIST)
    platform.down(False)
    assert helpers.call(platform.url, "GET", LIST).status == 200


def test_stopping_what_never_started_is_harmless():
    platform = make_platform()
    platform.stop()
    platform.stop()
