"""``celeryfork explain``: the lines of a request over all logs, and what decided it."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any

from attrs import frozen
from celeryfork_base.errors import CeleryforkError
from orjson import JSONDecodeError, loads
from typer import Argument

from celeryfork_cmdline.output import print_table

LOOKED_BACK_S = 10.0
"""Time before a request's first line in which its causes are looked for."""
MOST_AROUND = 15
"""Most lines about engines and targets that are shown, the latest ones."""
TROUBLE = frozenset(
    {
        "path_broke", "path_refused", "no_path", "reply_lost", "target_refused",
        "engine_failed", "repeat_refused", "rejected", "admission_refused",
    }
)  # fmt: skip
"""Events of a request after which it takes another way, or ends."""
ABOUT_TARGETS = frozenset(
    {
        "engine_down", "engine_back", "engine_speed", "engine_leaves",
        "engine_not_judged", "layers_ordered", "layers_learnt", "order_withheld",
        "domain_out_of_reach", "targets_lapsed", "target_tried_again",
        "health_unanswered",
    }
)  # fmt: skip
"""Events that tell what an instance learnt of engines and targets."""
UNNAMED = frozenset({"no_path", "repeat_refused", "admission_refused"})
"""Trouble that names no engine: any that was lost or ordered before may be it."""
TOLD_IN_BRIEF = (
    "status", "code", "reason", "target", "missing_layer", "engines", "down",
    "refusing", "ended_by", "left_ms", "sends", "repeats", "repeats_allowed", "last",
    "urgency", "fraction", "supply", "demand", "demand_more_urgent", "room_free",
    "knowledge_age_ms", "complete",
)  # fmt: skip
"""Fields of a line that say why it was written."""


class UnknownRequestError(CeleryforkError):
    """No line of the logs has the request's id."""

    def __init__(self, request_id: str, files: int) -> None:
        super().__init__(
            f"{request_id} is in no line of {files} files.",
            "Give the logs of all instances, from the time of the request on.",
        )


@frozen
class Line:
    """One line of a log.

    Parameters
    ----------
    at_s
        Wall clock of the instance that wrote it.
    fields
        What it says beside time, instance and event.
    """

    at_s: float
    instance: str
    event: str
    fields: Mapping[str, Any]

    @property
    def text(self) -> str:
        """Return its fields as one text."""
        return " ".join(
            f"{name} {value}" for name, value in self.fields.items() if name != "id"
        )


@frozen
class Explanation:
    """What the logs say of one request.

    Parameters
    ----------
    lines
        Its own, in order.
    first_trouble, decided_by
        The first line that made it take another way and the last one, None where
        nothing did.
    known
        How old what the instance knew was when the last one was written.
    around
        What instances learnt of the engines and targets concerned, with the number of
        instances that wrote the same.
    """

    lines: Sequence[Line]
    first_trouble: Line | None
    decided_by: Line | None
    known: Sequence[str]
    around: Sequence[tuple[Line, int]]


def explain(
    request_id: Annotated[str, Argument(help="Id of the request.")],
    logs: Annotated[list[Path], Argument(help="Log files of the instances.")],
) -> None:
    """Show what happened to a request, and which line decided it.

    The logs are JSON lines as entries write them to their standard output.
    """
    explanation = explain_request(request_id, logs)
    begun_s = explanation.lines[0].at_s
    print_table(
        ("after s", "instance", "event", "what it says"),
        [_row(line, begun_s) for line in explanation.lines],
    )
    print()
    print(f"ended with:    {_brief(explanation.lines[-1])}")
    if explanation.decided_by is not None and explanation.first_trouble is not None:
        print(f"first trouble: {_brief(explanation.first_trouble)}")
        print(f"decided by:    {_brief(explanation.decided_by)}")
    for fact in explanation.known:
        print(f"known then:    {fact}")
    if explanation.around:
        print()
        heads = ("after s", "instances", "event", "what was learnt")
        print_table(
            heads,
            [
                (f"{line.at_s - begun_s:.3f}", count, line.event, line.text)
                for line, count in explanation.around
            ],
        )


def explain_request(request_id: str, logs: Sequence[Path]) -> Explanation:
    """Return what logs say of a request.

    Raises
    ------
    UnknownRequestError
    """
    own = sorted(_lines_of(request_id, logs), key=lambda line: line.at_s)
    if not own:
        raise UnknownRequestError(request_id, len(logs))
    troubles = [line for line in own if line.event in TROUBLE]
    decided_by = troubles[-1] if troubles else None
    until_s = (decided_by or own[-1]).at_s
    others = sorted(
        _lines_between(own[0].at_s - LOOKED_BACK_S, until_s, logs),
        key=lambda line: line.at_s,
    )
    states = [line for line in others if line.instance == own[-1].instance]
    return Explanation(
        own,
        troubles[0] if troubles else None,
        decided_by,
        _known(states, own, until_s),
        _around(troubles, others),
    )


def _known(
    states: Iterable[Line], own: Sequence[Line], until_s: float
) -> Sequence[str]:
    """Return how old the configuration and the list were at a time."""
    away_since_s: dict[str, float] = {}
    version = next(
        (
            line.fields["configuration"]
            for line in own
            if "configuration" in line.fields
        ),
        None,
    )
    age = f"for {LOOKED_BACK_S:.0f} s or longer"
    for line in states:
        match line.event:
            case "configuration_in_force" if line.fields.get("version") == version:
                age = f"for {until_s - line.at_s:.3f} s, from {line.fields['source']}"
            case "store_lost":
                away_since_s.setdefault(str(line.fields.get("what")), line.at_s)
            case "store_regained":
                away_since_s.pop(str(line.fields.get("what")), None)
    known = [] if version is None else [f"configuration {version}, in force {age}"]
    known += [
        f"{what} not read from the store for {until_s - since_s:.3f} s"
        for what, since_s in sorted(away_since_s.items())
    ]
    return known


def _around(
    troubles: Sequence[Line], others: Iterable[Line]
) -> Sequence[tuple[Line, int]]:
    """Return the last lines about what the request met, each told once."""
    text = " ".join(line.text for line in troubles)
    unnamed = bool(troubles) and troubles[-1].event in UNNAMED
    first_by_key: dict[tuple[str, str], Line] = {}
    instances_by_key: dict[tuple[str, str], set[str]] = {}
    for line in others:
        if line.event not in ABOUT_TARGETS:
            continue
        subject = str(line.fields.get("engine") or line.fields.get("target") or "")
        address = str(line.fields.get("address") or "")
        named = (subject and subject in text) or (address and address in text)
        if named or unnamed or not subject:
            key = (line.event, f"{subject} {line.fields.get('held', '')}")
            first_by_key.setdefault(key, line)
            instances_by_key.setdefault(key, set()).add(line.instance)
    told = [(line, len(instances_by_key[key])) for key, line in first_by_key.items()]
    return told[-MOST_AROUND:]


def _row(line: Line, begun_s: float) -> tuple[str, str, str, str]:
    return f"{line.at_s - begun_s:.3f}", line.instance, line.event, line.text


def _brief(line: Line) -> str:
    said = {
        name: line.fields[name]
        for name in TOLD_IN_BRIEF
        if line.fields.get(name) is not None
    }
    return f"{line.event} {' '.join(f'{key} {value}' for key, value in said.items())}"


def _lines_of(request_id: str, logs: Iterable[Path]) -> Iterator[Line]:
    for raw in _raw_lines(logs):
        if request_id in raw:
            line = _read(raw)
            if line is not None and line.fields.get("id") == request_id:
                yield line


def _lines_between(from_s: float, to_s: float, logs: Iterable[Path]) -> Iterator[Line]:
    """Yield the lines that belong to no request."""
    for raw in _raw_lines(logs):
        if '"id":' not in raw:
            line = _read(raw)
            if line is not None and from_s <= line.at_s <= to_s:
                yield line


def _raw_lines(logs: Iterable[Path]) -> Iterator[str]:
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as log:
            yield from log


def _read(raw: str) -> Line | None:
    """Return a line, None for one of another program or one that was cut.

    A collector of logs may have put something before it.
    """
    try:
        fields = loads(raw[raw.index("{") :])
        return Line(
            float(fields.pop("at")),
            str(fields.pop("instance")),
            str(fields.pop("event")),
            fields,
        )
    except (JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None
