"""Makes docs/CONFIGURATION.md from the classes.

``python -m celeryfork_config.describe`` prints it.
"""

from collections.abc import Iterator
from typing import Any, get_args

import attrs
import orjson
from attrs import NOTHING

from celeryfork_config.environment import environment_variable, option_paths
from celeryfork_config.options import option_of
from celeryfork_config.records import KINDS_BY_KEY, ServiceKind
from celeryfork_config.schema import default_of
from celeryfork_config.settings import Settings
from celeryfork_config.structuring import optional_of

_NAMES_BY_TYPE = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
}

_INTRODUCTION = """\
# Configuration

This page is made from the code by `python -m celeryfork_config.describe`.

There are two kinds. *Settings* tell one process at its start where it is and where
its services are. *Records* are what the whole fleet works by: operators publish them
in the platform's log, and every instance has them in force within seconds.

Both are checked whole: every fault is shown at once, with its JSON path and what to
write instead, by `celeryfork check FILE` (exit code 2) and again at each use. Unknown
keys are refused.

## Settings

One JSON file. Each option can be overridden by its environment variable; one that
isn't a text is written there as JSON. A variable that begins with `CELERYFORK_` and
names no option is refused.
"""

_RECORDS = """\
## Records

An entry of the log's stream `configuration`, as `celeryfork config publish` appends
it:

    {"name": "organisation/kettlecare", "schema": 1, "based_on": null, "payload": {…}}

- `name` is `KIND/…`. The fields that the name already tells may be left out of the
  payload.
- `schema` is the version of the payload's form. Versions of one name stand side by
  side, each with its own history. An instance has the newest in force that it can
  read, so publish the new version beside the old one, replace the fleet, and then
  retract the old version.
- `based_on` is the offset of the record that this one replaces, or null where no
  record of that name and schema is live. If that isn't so any more when the log takes
  the record, it is not accepted, and its publisher is told the winner's offset.
- `payload` null retracts the record.

A record that was accepted never goes out of force but by a later record. An instance
that can't read an accepted payload keeps the newest one that it can read in force,
counts it (`config.fold.unreadable`) and shows it in its dump.
"""

_OPERATION = """\
`log_retention_s` of `policy/default` must be what the platform's log really keeps.

## Running it
"""

_REMEDIES_BY_SIGN = {
    "`PublishConflictError`": (
        "Someone else was first: look at `config show`, and publish again."
    ),
    "`AppendUnknownError`": (
        "The answer was lost and the record isn't there so far: look at "
        "`config history` before you publish it again."
    ),
    "`config wait` names instances as behind": (
        "They are cut off, or read neither log nor peers: look at `source` in "
        "their dumps."
    ),
    "`config.fold.malformed` grows": (
        "Someone writes to the stream by other means: the dump's `skipped` shows "
        "the offsets."
    ),
    "`config.fold.refused` grows": "Records lost a race, or named a wrong offset.",
    "`config.fold.unreadable` grows": (
        "Records of a form that the instance can't read: finish the upgrade, or "
        "publish them anew."
    ),
    "`config.fold.gaps` grows": (
        "The log dropped records before the instance read them: it takes them from "
        "a peer or from carries, and needs no help."
    ),
    "`uncertain` in the dump": (
        "The instance missed records, and neither log nor peers have told since what "
        "became of these: publish or retract them again."
    ),
    "`config.carrier.log_unavailable` grows": (
        "Records are not carried, and lost if that lasts for two thirds of the "
        "log's retention: bring the log back."
    ),
    "the log was down for longer than its retention": (
        "Instances that run keep what is in force, and carry it into the log again. "
        "Keep some of them running, and publish nothing before `config show` shows "
        "the records again."
    ),
    "`config.follower.retention_shorter` grows": (
        "The log drops records sooner than `log_retention_s` says: correct the policy. "
        "Instances carry by what they observe until then."
    ),
    "`config.follower.log_behind` grows": (
        "The log's next offset went back: what is in force stays; restart the "
        "instances once the log is whole."
    ),
}


def configuration_page() -> str:
    """Return the text of docs/CONFIGURATION.md."""
    parts = [
        _INTRODUCTION,
        _settings_table(),
        _RECORDS,
        *(_record_section(kind, schema) for kind, schema in sorted(KINDS_BY_KEY)),
        _OPERATION,
        _remedies_table(),
    ]
    return "\n".join(parts)


def _remedies_table() -> str:
    rows = [f"| {sign} | {remedy} |" for sign, remedy in _REMEDIES_BY_SIGN.items()]
    return "\n".join(["| sign | meaning and remedy |", "|---|---|", *rows]) + "\n"


def _settings_table() -> str:
    lines = [
        "| option | type | default | environment variable | meaning |",
        "|---|---|---|---|---|",
    ]
    for path, attribute in option_paths(Settings):
        cells = [
            f"`{path}`",
            _type_name(attribute.type),
            _default(attribute),
            f"`{environment_variable(path)}`",
            option_of(attribute).description,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _record_section(kind_name: str, schema: int) -> str:
    kind = KINDS_BY_KEY[kind_name, schema]
    parts = [part.upper() for part in kind.identity] or ["default"]
    name = "/".join([kind_name, *parts])
    lines = [
        f"### `{name}`, schema {schema}",
        "",
        (kind.shape.__doc__ or "").strip(),
        "",
        "| field | type | default | meaning |",
        "|---|---|---|---|",
        *_field_rows(kind.shape, kind.identity),
    ]
    return "\n".join(lines) + "\n"


def _field_rows(
    shape: Any, identity: tuple[str, ...], prefix: str = ""
) -> Iterator[str]:
    for attribute in attrs.fields(shape):
        default = "from the name" if attribute.name in identity else _default(attribute)
        cells = [
            f"`{prefix}{attribute.name}`",
            _type_name(attribute.type),
            default,
            option_of(attribute).description,
        ]
        yield f"| {' | '.join(cells)} |"
        if ServiceKind in get_args(attribute.type):
            yield from _field_rows(ServiceKind, ("name",), f"{attribute.name}.NAME.")


def _default(attribute: Any) -> str:
    if attribute.default is NOTHING:
        return "required"
    return f"`{orjson.dumps(default_of(attribute)).decode()}`"


def _type_name(shape: Any) -> str:
    if (inner := optional_of(shape)) is not None:
        return f"{_type_name(inner)} or null"
    if shape in _NAMES_BY_TYPE:
        return _NAMES_BY_TYPE[shape]
    if ServiceKind in get_args(shape):
        return "object by name"
    return f"list of {_type_name(get_args(shape)[0])}s"


if __name__ == "__main__":
    print(configuration_page(), end="")
