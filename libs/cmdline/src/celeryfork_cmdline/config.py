"""``celeryfork config``: publish and read configuration records."""

import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

from attrs import asdict
from celeryfork_base.errors import InputFaultError
from orjson import JSONDecodeError, loads
from typer import Argument, Exit, Option, Typer

from celeryfork_cmdline.check import record_faults
from celeryfork_cmdline.operator_client import (
    InstancesUrl,
    InstanceUnreachableError,
    LogUrl,
    entry_addresses,
    publisher_at,
    read_state,
)
from celeryfork_cmdline.output import print_json, print_table

EXIT_NOT_IN_FORCE = 1
POLL_S = 0.2

config_app = Typer(help="Publish and read configuration records.", no_args_is_help=True)

Json = Annotated[bool, Option("--json", help="Print JSON.")]
Name = Annotated[
    str, Argument(help="The record's name, such as model/reminder-writer.")
]


@config_app.command()
def publish(
    path: Annotated[Path, Argument(help="A JSON file with one record or a list.")],
    log_url: LogUrl,
    based_on: Annotated[
        int | None,
        Option(help="Offset of the record to replace; the one in force if left out."),
    ] = None,
    json: Json = False,
) -> None:
    """Publish records; each is checked first, and none is published if one is faulty.

    A record that another operator replaced in the meantime is refused with the
    offset of what is in force.
    """
    records = _read_records(path)
    if based_on is not None and len(records) > 1:
        raise InputFaultError(
            "--based-on", "names the offset of one record.", "publish one at a time"
        )
    publisher = publisher_at(log_url)
    offsets_by_name: dict[str, int] = {}
    for record in records:
        offset = publisher.publish(
            record["name"],
            record.get("schema", 1),
            record.get("payload", {}),
            based_on,
        )
        offsets_by_name[record["name"]] = offset
        if not json:
            print(f"{record['name']}: accepted at offset {offset}")
    if json:
        print_json(offsets_by_name)


@config_app.command()
def retract(name: Name, log_url: LogUrl, json: Json = False) -> None:
    """Retract a record in all its schema versions."""
    offsets = publisher_at(log_url).retract(name)
    if json:
        print_json({"name": name, "offsets": offsets})
    else:
        print(f"{name}: retracted at offset {max(offsets)}")


@config_app.command()
def show(name: Name, log_url: LogUrl) -> None:
    """Print the record in force, newest schema version first, as JSON."""
    print_json([asdict(record) for record in publisher_at(log_url).show(name)])


@config_app.command()
def history(name: Name, log_url: LogUrl, json: Json = False) -> None:
    """Show what the log still has about a name, oldest first."""
    items = publisher_at(log_url).history(name)
    if json:
        print_json([asdict(item) for item in items])
        return
    rows = [
        (
            item.offset,
            datetime.fromtimestamp(item.appended_ms / 1000, UTC).isoformat("T"),
            item.schema,
            "" if item.based_on is None else item.based_on,
            "yes" if item.accepted else "no",
            "" if item.carried_from is None else item.carried_from,
        )
        for item in items
    ]
    heads = ("offset", "appended", "schema", "based on", "accepted", "carried from")
    print_table(heads, rows)


@config_app.command()
def wait(
    offset: Annotated[int, Argument(help="The offset that shall be in force.")],
    instances_url: InstancesUrl,
    timeout_s: Annotated[float, Option(help="Longest wait, in seconds.")] = 17.0,
    json: Json = False,
) -> None:
    """Wait until an offset is in force on every live instance.

    Needs the administrator's key in CELERYFORK_ADMINISTRATOR_KEY. Exit code 1 if some
    instance has not applied it in time.
    """
    began_s = time.monotonic()
    behind = _behind(offset, instances_url)
    while behind and time.monotonic() - began_s < timeout_s:
        time.sleep(POLL_S)
        behind = _behind(offset, instances_url)
    seconds = round(time.monotonic() - began_s, 2)
    if json:
        print_json({"offset": offset, "seconds": seconds, "behind": behind})
    elif behind:
        for name, applied in sorted(behind.items()):
            print(f"{name}: {applied}")
    else:
        print(f"offset {offset} is in force on every instance after {seconds} s")
    if behind:
        raise Exit(EXIT_NOT_IN_FORCE)


def _behind(offset: int, instances_url: str) -> dict[str, str]:
    """Return the instances that have not applied an offset, with what they say."""
    addresses = entry_addresses(instances_url)
    if not addresses:
        return {"instance list": "names no live entry instance"}
    behind: dict[str, str] = {}
    for name, address in addresses.items():
        try:
            applied = read_state(address, "configuration")["configuration"]["offset"]
        except InstanceUnreachableError as error:
            behind[name] = error.message
            continue
        if applied < offset:
            behind[name] = f"at offset {applied}"
    return behind


def _read_records(path: Path) -> list[dict[str, Any]]:
    try:
        content = loads(path.read_bytes())
    except (OSError, JSONDecodeError) as error:
        fault = InputFaultError("$", f"{path}: {error}", "give a JSON file")
        raise ExceptionGroup("no records", [fault]) from error
    records = content if isinstance(content, list) else [content]
    faults = [fault for record in records for fault in record_faults(record)]
    if faults:
        raise ExceptionGroup("the records have faults", faults)
    return records
