"""Settings files for the entry instances of a deployment, on this machine."""

import socket
from hashlib import sha256
from pathlib import Path

from attrs import frozen
from celeryfork_config.settings import PlatformSettings, Settings, StopSettings
from celeryfork_config.structuring import unstructure
from celeryfork_standin.deployment import EntrySpec
from celeryfork_standin.instance_list import ListedInstance
from celeryfork_standin.standins import Standins
from orjson import OPT_INDENT_2, dumps

HOST = "127.0.0.1"
ADMINISTRATOR_KEY = "administrator-of-the-stand-ins"
TICKET_SECRET = "a ticket secret for stand-ins only"


@frozen
class EntryPorts:
    """Where one entry instance listens."""

    entry: EntrySpec
    http_port: int
    peer_port: int


def free_ports(count: int) -> list[int]:
    """Return ports that are free now; the kernel gives them."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


def write_settings(standins: Standins, directory: Path) -> list[Path]:
    """Write a settings file for each entry instance and list the instances.

    Returns
    -------
    list
        The files' paths, one for each entry instance.
    """
    entries = standins.deployment.entries
    ports = free_ports(2 * len(entries))
    directory.mkdir(parents=True, exist_ok=True)
    paths: list[Path] = []
    for number, entry in enumerate(entries):
        places = EntryPorts(entry, ports[2 * number], ports[2 * number + 1])
        path = directory / f"{entry.id}.json"
        settings = unstructure(settings_of(standins, places))
        path.write_bytes(dumps(settings, option=OPT_INDENT_2))
        standins.platform.instances.put(_listed(places))
        paths.append(path)
    return paths


def settings_of(standins: Standins, places: EntryPorts) -> Settings:
    """Return the settings of one entry instance."""
    url = standins.platform.url_for(places.entry.domain)
    return Settings(
        instance=places.entry.id,
        domain=places.entry.domain,
        platform=PlatformSettings(log_url=url, instances_url=url, weights_url=url),
        http_host=HOST,
        http_port=places.http_port,
        peer_host=HOST,
        peer_port=places.peer_port,
        administrator_key_sha256=sha256(ADMINISTRATOR_KEY.encode()).hexdigest(),
        ticket_secret=TICKET_SECRET,
        stop=StopSettings(notice_s=1.0, most_stop_s=30.0),
    )


def _listed(places: EntryPorts) -> ListedInstance:
    return ListedInstance(
        id=places.entry.id,
        role="entry",
        target="celeryfork",
        domain=places.entry.domain,
        address=f"{HOST}:{places.http_port}",
        attributes={"peer_address": f"{HOST}:{places.peer_port}"},
    )
