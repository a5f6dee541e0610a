"""``celeryfork dump`` and ``celeryfork targets``."""

from typing import Annotated, Any

from typer import Argument, Option

from celeryfork_cmdline.operator_client import read_state
from celeryfork_cmdline.output import print_json, print_table

Address = Annotated[str, Argument(help="HTTP address of an instance, ip:port.")]


def dump(
    address: Address,
    part: Annotated[str | None, Option(help="Only this part of the state.")] = None,
) -> None:
    """Print an instance's whole state as JSON.

    Needs the administrator's key in CELERYFORK_ADMINISTRATOR_KEY.
    """
    print_json(read_state(address, part))


def targets(
    address: Address,
    json: Annotated[bool, Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show the targets as an instance sees them, and why any is out.

    Needs the administrator's key in CELERYFORK_ADMINISTRATOR_KEY.
    """
    state = read_state(address, "targets")["targets"]
    if json:
        print_json(state)
        return
    rows = [_row(name, target) for name, target in sorted(_by_id(state).items())]
    print_table(("id", "target", "domain", "address", "in choice", "why out"), rows)


def _by_id(state: dict[str, Any]) -> dict[str, dict[str, Any]]:
    found: dict[str, dict[str, Any]] = state.get("targets_by_id", {})
    return found


def _row(name: str, target: dict[str, Any]) -> tuple[object, ...]:
    why_out = target.get("why_out") or ""
    return (
        name,
        target.get("target", ""),
        target.get("domain", ""),
        target.get("address", ""),
        "no" if why_out else "yes",
        why_out,
    )
