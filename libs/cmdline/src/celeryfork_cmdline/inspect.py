"""``celeryfork dump`` and ``celeryfork targets``."""

from typing import Annotated, Any

from typer import Argument, Option

from celeryfork_cmdline.operator_client import read_entry_state, read_state
from celeryfork_cmdline.output import print_json, print_table

Address = Annotated[str, Argument(help="HTTP address of an instance, ip:port.")]


def dump(
    address: Address,
    part: Annotated[str | None, Option(help="Only this part of the state.")] = None,
    entry: Annotated[
        bool, Option("--entry", help="The instance is an entry on a users' platform.")
    ] = False,
) -> None:
    """Print an instance's whole state as JSON.

    Needs the administrator's key in CELERYFORK_ADMINISTRATOR_KEY, but for an entry on a
    users' platform, whose address is that at which it answers whether it is ready.
    """
    print_json(read_entry_state(address, part) if entry else read_state(address, part))


def targets(
    address: Address,
    json: Annotated[bool, Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show the targets in choice by name, and each that an instance finds ailing.

    Needs the administrator's key in CELERYFORK_ADMINISTRATOR_KEY.
    """
    state = read_state(address, "targets")["targets"]
    if json:
        print_json(state)
        return
    known: dict[str, int] = state["known_by_name"]
    ailing: dict[str, dict[str, Any]] = state["ailing"]
    print_table(("target", "known"), sorted(known.items()))
    if ailing:
        rows = [(name, *_row(entry)) for name, entry in sorted(ailing.items())]
        print()
        print_table(("id", "circuit", "failures", "why ailing"), rows)


def _row(entry: dict[str, Any]) -> tuple[object, ...]:
    reasons = {
        "leaving": entry["leaving"],
        "not listed": not entry["listed"],
        "missing": entry["missing"],
        "circuit " + entry["circuit"]: entry["circuit"] != "closed",
    }
    why = ", ".join(reason for reason, holds in reasons.items() if holds)
    return entry["circuit"], entry["failures"], why
