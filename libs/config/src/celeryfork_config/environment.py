"""Options of a class by dotted path, and environment variables that override them."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import orjson
from celeryfork_base.errors import InputFaultError

from celeryfork_config.structuring import optional_of

ENVIRONMENT_PREFIX = "CELERYFORK_"
# Read by the command line, and no option of a process.
VARIABLES_OF_COMMANDS = frozenset({"CELERYFORK_ADMINISTRATOR_KEY"})


def environment_variable(path: str) -> str:
    """Return the variable that overrides the option at a dotted path."""
    return ENVIRONMENT_PREFIX + path.replace(".", "_").upper()


def option_paths(shape: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the dotted path and the attrs field of every option."""
    for attribute in attrs.fields(shape):
        path = prefix + attribute.name
        inner = optional_of(attribute.type) or attribute.type
        if attrs.has(inner):
            yield from option_paths(inner, f"{path}.")
        else:
            yield path, attribute


def override(
    shape: Any, values: dict[str, Any], environment: Mapping[str, str]
) -> tuple[dict[str, str], list[InputFaultError]]:
    """Put the environment's values in place.

    Returns the variables by path, and a fault for each that names no option.
    """
    fields_by_variable = {
        environment_variable(path): (path, attribute)
        for path, attribute in option_paths(shape)
    }
    overridden: dict[str, str] = {}
    faults: list[InputFaultError] = []
    for variable in sorted(environment):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        if variable in VARIABLES_OF_COMMANDS:
            continue
        if variable not in fields_by_variable:
            faults.append(_unknown_variable(variable))
            continue
        path, attribute = fields_by_variable[variable]
        _put(values, path, _parse(environment[variable], attribute))
        overridden[path] = variable
    return overridden, faults


def _unknown_variable(variable: str) -> InputFaultError:
    return InputFaultError(
        f"${variable}",
        "No option has this environment variable.",
        "unset it, or look its name up in docs/CONFIGURATION.md",
    )


def _parse(text: str, attribute: Any) -> Any:
    """Read a variable as JSON, except where the option is a text."""
    if attribute.type is str:
        return text
    if optional_of(attribute.type) is str:
        return None if text == "null" else text
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return text  # the option's own check refuses it


def _put(values: dict[str, Any], path: str, value: Any) -> None:
    *parents, name = path.split(".")
    for parent in parents:
        inner = values.get(parent)
        if not isinstance(inner, dict):
            inner = values[parent] = {}
        values = inner
    values[name] = value
