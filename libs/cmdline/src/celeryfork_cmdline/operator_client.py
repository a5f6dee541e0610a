"""What operators' commands reach: the platform, and instances' state dumps."""

import os
from collections.abc import Mapping
from typing import Annotated, Any

from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError
from celeryfork_config.publisher import Publisher, make_publisher
from celeryfork_platform.instances import make_instance_list_client
from celeryfork_platform.log import make_log_client
from orjson import JSONDecodeError, loads
from typer import Option
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

ADMINISTRATOR_KEY_VARIABLE = "CELERYFORK_ADMINISTRATOR_KEY"
DUMP_TIMEOUT_S = 10.0

LogUrl = Annotated[
    str,
    Option(envvar="CELERYFORK_PLATFORM_LOG_URL", help="URL of the platform's log."),
]
InstancesUrl = Annotated[
    str,
    Option(
        envvar="CELERYFORK_PLATFORM_INSTANCES_URL",
        help="URL of the platform's instance list.",
    ),
]


class InstanceUnreachableError(CeleryforkError):
    """An instance's state could not be read."""


def publisher_at(log_url: str) -> Publisher:
    """Return a publisher to the log at a URL."""
    clock = SystemClock()
    return make_publisher(make_log_client(log_url, clock, Counters()), clock)


def entry_addresses(instances_url: str) -> dict[str, str]:
    """Return the HTTP addresses of the live entry instances by name."""
    clock = SystemClock()
    client = make_instance_list_client(instances_url, clock, Counters())
    listed = client.fetch(timeout_s=5.0)
    return {
        name: instance.address
        for name, instance in listed.by_id.items()
        if instance.role == "entry" and instance.state == "live"
    }


def read_state(address: str, part: str | None = None) -> dict[str, Any]:
    """Return an instance's state dump, or one part of it.

    Raises
    ------
    InstanceUnreachableError
        It gave none.
    """
    key = os.environ.get(ADMINISTRATOR_KEY_VARIABLE, "")
    query = f"?part={part}" if part else ""
    headers = {"Authorization": f"Bearer {key}"}
    remedy = f"set {ADMINISTRATOR_KEY_VARIABLE} to the administrator's key"
    data = _get(address, f"/debug/state{query}", headers, remedy)
    return _parse_state(address, data, part)


def read_entry_state(address: str, part: str | None = None) -> dict[str, Any]:
    """Return the state dump of an entry on a users' platform, or one part of it.

    Parameters
    ----------
    address
        Where it answers whether it is ready; it asks for no key there.

    Raises
    ------
    InstanceUnreachableError
        It gave none.
    """
    remedy = "give the address at which it answers whether it is ready"
    return _parse_state(address, _get(address, "/dump", {}, remedy), part)


def _get(address: str, path: str, headers: Mapping[str, str], remedy: str) -> bytes:
    with PoolManager(retries=False, timeout=Timeout(total=DUMP_TIMEOUT_S)) as pool:
        try:
            response = pool.request("GET", f"http://{address}{path}", headers=headers)
        except HTTPError as error:
            raise InstanceUnreachableError(
                f"{address} gave no state: {error}.", "check that it runs"
            ) from error
    if response.status != 200:
        raise InstanceUnreachableError(f"{address} answered {response.status}.", remedy)
    return response.data


def _parse_state(address: str, data: bytes, part: str | None) -> dict[str, Any]:
    try:
        state: dict[str, Any] = loads(data)
    except JSONDecodeError as error:
        raise InstanceUnreachableError(
            f"{address} answered no JSON.", "check that it is an entry instance"
        ) from error
    if part is None:
        return state
    if part not in state:
        raise InstanceUnreachableError(
            f"{address} has no part {part!r} in its state.",
            "leave --part out to see which parts there are",
        )
    if isinstance(state[part], dict) and "dump_failed" in state[part]:
        raise InstanceUnreachableError(
            f"{address} could not tell its {part}: {state[part]['dump_failed']}.",
            "read the other parts, and report it as a fault",
        )
    return {part: state[part]}
