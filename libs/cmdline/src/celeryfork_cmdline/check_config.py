"""``celeryfork check-config``."""

from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Annotated

from attrs import asdict
from celeryfork_base.errors import InputFaultError
from celeryfork_base.findings import CheckReport, Severity
from typer import Argument, Exit, Option

from celeryfork_cmdline.output import print_json

EXIT_WARNINGS = 1
EXIT_ERRORS = 2
ADAPTER_MODULE = "celeryfork_adapter.configuration_check"
"""Module that knows the format of the users' platform. It is imported by name, since
only the command that starts an instance there depends on it."""

Check = Callable[[bytes, bytes | None], CheckReport]


def check_config(
    path: Annotated[Path, Argument(help="The configuration to publish.")],
    in_force: Annotated[
        Path | None, Option(help="The configuration in force, to compare with.")
    ] = None,
    format: Annotated[
        str, Option(help="Module that checks the format.")
    ] = ADAPTER_MODULE,
    json: Annotated[bool, Option("--json", help="Print JSON.")] = False,
) -> None:
    """Check a configuration of the users' platform before it is published.

    Shows all errors, entries that can never match, limits that contradict each other,
    and what differs from the configuration in force. Exit code 0 if it is fine, 1 if
    there are warnings, 2 if there are errors.
    """
    before = _read(in_force) if in_force is not None else None
    report = _checker(format)(_read(path), before)
    if json:
        print_json({"file": str(path), **asdict(report)})
    else:
        _print_text(path, report)
    if report.has(Severity.ERROR):
        raise Exit(EXIT_ERRORS)
    if report.findings:
        raise Exit(EXIT_WARNINGS)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InputFaultError(
            str(path), f"can't be read: {error}.", "check the path"
        ) from error


def _checker(module: str) -> Check:
    try:
        checker: Check = import_module(module).check_configuration
    except (ImportError, AttributeError) as error:
        raise InputFaultError(
            "--format",
            f"{module!r} checks no configuration: {error}.",
            "name another module",
        ) from error
    return checker


def _print_text(path: Path, report: CheckReport) -> None:
    for each in report.findings:
        print(f"{path}: {each.severity} {each.path}: {each.message} {each.remedy}.")
    for change in report.differences:
        print(f"{path}: changes {change.path}: {change.before} -> {change.after}")
    errors = sum(each.severity is Severity.ERROR for each in report.findings)
    print(f"{path}: {errors} errors, {len(report.findings) - errors} warnings")
