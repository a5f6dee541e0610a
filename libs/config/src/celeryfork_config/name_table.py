"""Which schema version of each name is in force."""

from collections.abc import Iterator, Mapping

from celeryfork_config.entries import RecordKey
from celeryfork_config.in_force import Configuration, ForceTable
from celeryfork_config.kept import KeptRecord, KeyState


class NameTable:
    """Puts the newest schema version that can be read in force, name by name.

    Parameters
    ----------
    states_by_key
        The fold's own table, which this one looks into.
    """

    def __init__(self, states_by_key: Mapping[RecordKey, KeyState]) -> None:
        self._states_by_key = states_by_key
        self._schemas_by_name: dict[str, tuple[int, ...]] = {}
        self._in_force_by_name: dict[str, KeptRecord] = {}
        self._table = ForceTable()
        self._snapshot = Configuration()
        self._changed = False

    def __len__(self) -> int:
        """Return how many names are in force."""
        return len(self._in_force_by_name)

    def add(self, key: RecordKey) -> None:
        """Note that a name has a schema version."""
        name, schema = key
        schemas = self._schemas_by_name.get(name, ())
        if schema not in schemas:
            newest_first = sorted((*schemas, schema), reverse=True)
            self._schemas_by_name[name] = tuple(newest_first)

    def forget(self, key: RecordKey) -> None:
        """Forget a schema version of a name; it must not be in force."""
        name, schema = key
        left = tuple(s for s in self._schemas_by_name[name] if s != schema)
        if left:
            self._schemas_by_name[name] = left
        else:
            del self._schemas_by_name[name]

    def states(self, name: str) -> Iterator[KeyState]:
        """Yield the states of a name, the newest schema version first."""
        for schema in self._schemas_by_name.get(name, ()):
            state = self._states_by_key.get((name, schema))
            if state is not None:
                yield state

    def update(self, name: str) -> None:
        """Choose again what is in force of a name."""
        old = self._in_force_by_name.get(name)
        readable = (state.readable for state in self.states(name))
        new = next((kept for kept in readable if kept is not None), None)
        if old is new:
            return
        self._changed = True
        self._table.replace(
            old.value if old is not None else None, new.value if new else None
        )
        if new is None:
            del self._in_force_by_name[name]
        else:
            self._in_force_by_name[name] = new

    def configuration(self, offset: int) -> Configuration:
        """Return what is in force after ``offset`` as an immutable snapshot."""
        if self._changed or self._snapshot.offset != offset:
            self._snapshot = self._table.snapshot(offset)
            self._changed = False
        return self._snapshot
