"""The state dump: everything that a process knows, as one JSON object."""

from collections.abc import Callable, Mapping

Dump = Callable[[], object]


def dump_of(wanted: str | None, dumps_by_part: Mapping[str, Dump]) -> dict[str, object]:
    """Return the state of every part, or of the one that is wanted.

    A part that fails to tell its state must not hide the others: the dump is read when
    something is wrong already.
    """
    state: dict[str, object] = {}
    for part, dump in dumps_by_part.items():
        if wanted not in (None, part):
            continue
        try:
            state[part] = dump()
        except Exception as error:
            state[part] = {"dump_failed": f"{type(error).__name__}: {error}"}
    return state
