"""Settings of one process: a JSON file, overridden by environment variables."""

import os
from collections.abc import Iterator, Mapping
from copy import deepcopy
from pathlib import Path
from typing import Any

import orjson
from attrs import frozen
from celeryfork_base.errors import InputFaultError

from celeryfork_config.environment import option_paths, override
from celeryfork_config.options import (
    ADDRESS_PATTERN,
    HEX_SHA256_PATTERN,
    NAME_PATTERN,
    URL_PATTERN,
    option,
    option_of,
)
from celeryfork_config.schema import schema_of
from celeryfork_config.structuring import structure, unstructure

FROM_DEFAULT = "default"
FROM_FILE = "file"
HIDDEN_VALUE = "(hidden)"

_HOST = {
    "pattern": r"[0-9.]{7,15}",
    "remedy": "write an IPv4 address, such as 127.0.0.1",
}
_PORT = {"minimum": 0, "maximum": 65535, "remedy": "write a port from 0 to 65535"}
_ADDRESS = {
    "pattern": ADDRESS_PATTERN,
    "remedy": "write an IPv4 address and a port, such as 127.0.0.1:8080",
}
_URL = {
    "pattern": URL_PATTERN,
    "remedy": "write a URL that begins with http:// or https://",
}
_NAME = {
    "pattern": NAME_PATTERN,
    "remedy": "use lower-case letters, digits, '.', '_' and '-'; at most 63",
}


@frozen
class PlatformSettings:
    """Where the platform's services are."""

    log_url: str = option("URL of the append-only log.", **_URL)
    instances_url: str = option("URL of the instance list.", **_URL)
    weights_url: str = option("URL of the weight store.", **_URL)


@frozen
class StatsdSettings:
    """Where metrics are sent by statsd over UDP."""

    host: str = option("IP address of the statsd server.", **_HOST)
    port: int = option(
        "UDP port of the statsd server.", default=8125, minimum=1, maximum=65535
    )
    prefix: str = option(
        "First part of every metric's name.", default="celeryfork", **_NAME
    )
    interval_s: float = option(
        "Seconds between two sends.", default=10.0, minimum=0.1, maximum=3600
    )


@frozen
class StopSettings:
    """Bounds of a planned stop."""

    notice_s: float = option(
        "Seconds to keep serving after readiness failed, until the balancer noticed.",
        default=5.0,
        minimum=0,
        maximum=300,
    )
    most_stop_s: float = option(
        "Longest time in seconds from the signal to the end of the process; no call "
        "is accepted with a deadline beyond it.",
        default=620.0,
        above=0,
        maximum=3600,
    )


@frozen
class Settings:
    """Everything that one process is told at its start."""

    instance: str = option("Name of this instance, unique in the fleet.", **_NAME)
    domain: str = option("Failure domain that this instance is in.", **_NAME)
    platform: PlatformSettings = option("The platform's services.")
    http_host: str = option(
        "IP address to serve callers on.", default="127.0.0.1", **_HOST
    )
    http_port: int = option(
        "Port to serve callers on; 0 takes a free one.", default=8080, **_PORT
    )
    peer_host: str = option(
        "IP address to serve peers on.", default="127.0.0.1", **_HOST
    )
    peer_port: int = option(
        "Port to serve peers on; 0 takes a free one.", default=8081, **_PORT
    )
    advertised_http_address: str | None = option(
        "Address that others reach callers' HTTP by; null: the one served on.",
        default=None,
        **_ADDRESS,
    )
    advertised_peer_address: str | None = option(
        "Address that peers reach this instance by; null: the one served on.",
        default=None,
        **_ADDRESS,
    )
    peers: tuple[str, ...] = option(
        "Peer addresses to begin with, beside those in the instance list.",
        default=(),
        **_ADDRESS,
    )
    statsd: StatsdSettings | None = option(
        "Metrics by statsd; null sends none.", default=None
    )
    log_file: str | None = option(
        "File to append log lines to; null writes to standard error.", default=None
    )
    administrator_key_sha256: str | None = option(
        "SHA-256 of the administrator's bearer key in hex; null refuses every key.",
        default=None,
        pattern=HEX_SHA256_PATTERN,
        remedy="write 64 hex digits, as printed by sha256sum",
    )
    ticket_secret: str | None = option(
        "Secret that tickets are signed with, the same on every instance; null: "
        "this instance mints none.",
        default=None,
        pattern=r".{16,}",
        remedy="write at least 16 random characters, the same on every instance",
        secret=True,
    )
    http_threads: int = option(
        "Threads that serve plain HTTP calls.", default=32, minimum=1, maximum=1024
    )
    stop: StopSettings = option("Bounds of a planned stop.", factory=StopSettings)
    instance_poll_s: float = option(
        "Seconds between two reads of the instance list.",
        default=2.0,
        above=0,
        maximum=60,
    )
    heartbeat_s: float = option(
        "Seconds between two heartbeats to peers.", default=1.0, above=0, maximum=60
    )


@frozen
class LoadedSettings:
    """Settings, and where each option came from.

    Parameters
    ----------
    sources_by_path
        ``default``, ``file`` or the environment variable, by dotted path of the
        option, such as ``platform.log_url``.
    """

    settings: Settings
    sources_by_path: Mapping[str, str]

    def explain(self) -> dict[str, object]:
        """Return value and source by path, with secrets hidden."""
        values = unstructure(self.settings)
        return {
            path: {"value": _shown(values, path), "source": source}
            for path, source in self.sources_by_path.items()
        }


def load_settings(path: Path | str) -> Settings:
    """Return the settings in a JSON file, overridden by the environment.

    Raises
    ------
    ExceptionGroup
        One ``InputFaultError`` for each fault.
    """
    return load_settings_with_sources(path, os.environ).settings


def load_settings_with_sources(
    path: Path | str, environment: Mapping[str, str]
) -> LoadedSettings:
    """Return the settings in a JSON file together with the source of each option.

    Raises
    ------
    ExceptionGroup
        One ``InputFaultError`` for each fault.
    """
    values = _read_file(Path(path))
    in_file = set(_paths_in(values))
    overridden, faults = override(Settings, values, environment)
    settings = _structure(values, faults)
    sources: dict[str, str] = {}
    for option_path, _ in option_paths(Settings):
        if option_path in overridden:
            sources[option_path] = overridden[option_path]
        else:
            sources[option_path] = FROM_FILE if option_path in in_file else FROM_DEFAULT
    return LoadedSettings(settings, sources)


def _structure(values: dict[str, Any], faults: list[InputFaultError]) -> Settings:
    """Return the settings, or raise their faults together with those given."""
    try:
        settings = structure(values, Settings)
    except ExceptionGroup as group:
        faults += [e for e in group.exceptions if isinstance(e, InputFaultError)]
        raise ExceptionGroup(group.message, faults) from group
    faults += _cross_faults(settings)
    if faults:
        raise ExceptionGroup("Settings has faults", faults)
    return settings


def _cross_faults(settings: Settings) -> list[InputFaultError]:
    """Return the faults that only show between two options."""
    faults: list[InputFaultError] = []
    if settings.stop.notice_s >= settings.stop.most_stop_s:
        faults.append(
            InputFaultError(
                "$.stop.notice_s",
                "It leaves no time to finish what was accepted.",
                f"write less than most_stop_s, which is {settings.stop.most_stop_s}",
            )
        )
    same_port = settings.http_port == settings.peer_port != 0
    if same_port and settings.http_host == settings.peer_host:
        faults.append(
            InputFaultError(
                "$.peer_port", "It is http_port, too.", "write another port, or 0"
            )
        )
    return faults


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema of the settings file."""
    return schema_of(Settings)


def _read_file(path: Path) -> dict[str, Any]:
    try:
        values = orjson.loads(path.read_bytes())
    except OSError as error:
        raise _only(f"{path} can't be read: {error}.", "check the path") from error
    except orjson.JSONDecodeError as error:
        raise _only(f"{path} is not JSON: {error}.", "correct the syntax") from error
    if not isinstance(values, dict):
        raise _only(f"{path} is not a JSON object.", "put the settings in {…}")
    return deepcopy(values)


def _only(message: str, remedy: str) -> ExceptionGroup[InputFaultError]:
    return ExceptionGroup(
        "Settings has faults", [InputFaultError("$", message, remedy)]
    )


def _paths_in(values: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    for name, value in values.items():
        yield prefix + name
        if isinstance(value, dict):
            yield from _paths_in(value, f"{prefix}{name}.")


def _shown(values: Mapping[str, Any], path: str) -> Any:
    found: Any = values
    for name in path.split("."):
        found = found.get(name) if isinstance(found, dict) else None
    secrets = {
        p for p, attribute in option_paths(Settings) if option_of(attribute).secret
    }
    return HIDDEN_VALUE if path in secrets and found is not None else found
