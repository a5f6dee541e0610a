"""Changes of the target list by revision, for the followers of a relay.

Followers are instances that don't read the store; they fetch the changes that they lack
from a relay, which does (see :mod:`celeryfork_entry.roster`).
"""

import time
from collections.abc import Callable

from attrs import define, field, frozen

from celeryfork_entry.log_position import LogPosition

MAX_REMOVED = 2_000
"""Maximum number of removals kept; a follower with an older revision fetches the full
list."""


@frozen
class ListState:
    """Version and age of a target list.

    Parameters
    ----------
    revision
        Revision of the list at this instance.
    age_s
        Seconds since it was read from the store.
    is_stale
        True if it may name engines that have left.
    position
        Position in the store's log up to which it was read, None if unknown.
    from_store
        True if this instance reads it itself, and the store still answers.
    """

    revision: int
    age_s: float
    is_stale: bool
    position: LogPosition | None = None
    from_store: bool = False


@define
class ListChanges:
    """Revisions at which targets changed or were removed.

    The first revision is the start time in ms, so that a revision of an earlier start
    of the same instance is recognised as too old.
    """

    _clock: Callable[[], float] = time.time
    _oldest_revision: int = field(init=False)
    revision: int = field(init=False)
    _revision_by_id: dict[str, int] = field(factory=dict)
    _removed_by_id: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Set the first revision to the current time."""
        self._oldest_revision = self.revision = int(self._clock() * 1000)

    def changed(self, target_id: str) -> None:
        """Record that a target was added or changed."""
        self.revision += 1
        self._removed_by_id.pop(target_id, None)
        self._revision_by_id[target_id] = self.revision

    def removed(self, target_id: str) -> None:
        """Record that a target was removed."""
        self.revision += 1
        self._revision_by_id.pop(target_id, None)
        self._removed_by_id[target_id] = self.revision
        if len(self._removed_by_id) > MAX_REMOVED:
            oldest = next(iter(self._removed_by_id))
            self._oldest_revision = self._removed_by_id.pop(oldest)

    def since(self, revision: int) -> tuple[list[str], list[str]] | None:
        """Return targets changed and removed since a revision, None if it is unknown.

        Parameters
        ----------
        revision
            Revision that the follower has; those of another instance or of an earlier
            start are unknown.
        """
        if not self._oldest_revision <= revision <= self.revision:
            return None
        changed = [key for key, at in self._revision_by_id.items() if at > revision]
        removed = [key for key, at in self._removed_by_id.items() if at > revision]
        return changed, removed
