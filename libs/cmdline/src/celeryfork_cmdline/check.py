"""``celeryfork check``."""

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from importlib import import_module
from pathlib import Path
from typing import Annotated, Any

from celeryfork_base.errors import InputFaultError
from celeryfork_config.records import validate_record
from celeryfork_config.settings import load_settings_with_sources
from orjson import JSONDecodeError, loads
from typer import Argument, Exit, Option

from celeryfork_cmdline.output import print_json

EXIT_INPUT_FAULT = 2

FaultsOf = Callable[[Any], list[InputFaultError]]


class Checked(StrEnum):
    """What a file is taken for."""

    SETTINGS = "settings"
    RECORDS = "records"


def check(
    path: Annotated[Path, Argument(help="A settings file or a file of records.")],
    kind: Annotated[
        Checked | None,
        Option(help="What the file is; told by its content if left out."),
    ] = None,
    format: Annotated[
        str | None,
        Option(help="Module that reads settings of another format."),
    ] = None,
    json: Annotated[bool, Option("--json", help="Print JSON.")] = False,
) -> None:
    """Check a settings file or configuration records; show every fault at once.

    `--format celeryfork_adapter.settings` checks the settings file of an instance on
    the users' platform. Such a module offers `settings_faults(content)`.

    A file of records holds one object with `name`, `schema` and `payload`, or a list
    of them. Exit code 2 if there is a fault.
    """
    faults = _faults(path, kind, _reader(format) if format else None)
    if json:
        print_json({"file": str(path), "faults": [_as_json(f) for f in faults]})
    else:
        for fault in faults:
            print(f"{path}: {fault}")
        print(f"{path}: {len(faults)} faults" if faults else f"{path}: no faults")
    if faults:
        raise Exit(EXIT_INPUT_FAULT)


def _reader(module: str) -> FaultsOf:
    """Return what tells the faults of another format.

    Raises
    ------
    InputFaultError
        There is no such module, or it reads no settings.
    """
    try:
        reader: FaultsOf = import_module(module).settings_faults
    except (ImportError, AttributeError) as error:
        raise InputFaultError(
            "--format", f"{module!r} reads no settings: {error}.", "name another module"
        ) from error
    return reader


def _faults(
    path: Path, kind: Checked | None, reader: FaultsOf | None
) -> list[InputFaultError]:
    try:
        content = loads(path.read_bytes())
    except OSError as error:
        return [InputFaultError("$", f"can't be read: {error}", "check the path")]
    except JSONDecodeError as error:
        return [InputFaultError("$", f"is no JSON: {error}", "correct the syntax")]
    if reader is not None:
        return reader(content)
    match kind or _kind_of(content):
        case Checked.SETTINGS:
            return _settings_faults(path)
        case _:
            records = content if isinstance(content, list) else [content]
            return [fault for record in records for fault in record_faults(record)]


def _kind_of(content: Any) -> Checked:
    if isinstance(content, list) or (isinstance(content, dict) and "name" in content):
        return Checked.RECORDS
    return Checked.SETTINGS


def _settings_faults(path: Path) -> list[InputFaultError]:
    try:
        # The environment is not the file's fault.
        load_settings_with_sources(path, {})
    except ExceptionGroup as group:
        return _input_faults(group.exceptions)
    return []


def record_faults(record: object) -> list[InputFaultError]:
    """Return the faults of one record with ``name``, ``schema`` and ``payload``."""
    if not isinstance(record, Mapping) or not isinstance(record.get("name"), str):
        return [InputFaultError("$", "is no record.", "write name, schema and payload")]
    try:
        validate_record(
            record["name"], record.get("schema", 1), record.get("payload", {})
        )
    except ExceptionGroup as group:
        name = record["name"]
        return [
            InputFaultError(f"{name} {fault.path}", _plain(fault), fault.remedy)
            for fault in _input_faults(group.exceptions)
        ]
    return []


def _input_faults(errors: Iterable[Exception]) -> list[InputFaultError]:
    return [error for error in errors if isinstance(error, InputFaultError)]


def _plain(fault: InputFaultError) -> str:
    return fault.message.removeprefix(f"{fault.path}: ")


def _as_json(fault: InputFaultError) -> dict[str, str]:
    return {"path": fault.path, "message": _plain(fault), "remedy": fault.remedy}
