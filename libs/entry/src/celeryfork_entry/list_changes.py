"""What has changed in the list of targets, by revision: followers ask for the rest."""

import time
from collections.abc import Callable

from attrs import define, field

MOST_GONE = 2_000
"""Targets that left and are remembered; who is further behind takes the whole list."""


@define
class ListChanges:
    """The revisions at which targets changed or left.

    A revision begins at the time of the start in ms, so that one of an earlier start of
    the same instance is recognised as too old.
    """

    _clock: Callable[[], float] = time.time
    _begin: int = field(init=False)
    revision: int = field(init=False)
    _revision_by_id: dict[str, int] = field(factory=dict)
    _gone_by_id: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Begin at the present time."""
        self._begin = self.revision = int(self._clock() * 1000)

    def changed(self, target_id: str) -> None:
        """Note that a target is new or has changed."""
        self.revision += 1
        self._gone_by_id.pop(target_id, None)
        self._revision_by_id[target_id] = self.revision

    def left(self, target_id: str) -> None:
        """Note that a target is no longer there."""
        self.revision += 1
        self._revision_by_id.pop(target_id, None)
        self._gone_by_id[target_id] = self.revision
        if len(self._gone_by_id) > MOST_GONE:
            oldest = next(iter(self._gone_by_id))
            self._begin = self._gone_by_id.pop(oldest)

    def since(self, revision: int) -> tuple[list[str], list[str]] | None:
        """Return the targets that changed and that left since, None for all.

        Parameters
        ----------
        revision
            What the follower has; another instance's or an earlier start's is unknown.
        """
        if not self._begin <= revision <= self.revision:
            return None
        changed = [key for key, at in self._revision_by_id.items() if at > revision]
        gone = [key for key, at in self._gone_by_id.items() if at > revision]
        return changed, gone
