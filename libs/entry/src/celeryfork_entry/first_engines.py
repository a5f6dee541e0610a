"""First engines on which a stream was started, whose number its route limits.

The first engine of a path receives the request and sends the answer, so only first
engines count. A stream that fails because a later engine was lost may continue over any
path until the limit is reached, and then only over paths with the same first engines.
"""

from collections.abc import Callable

from attrs import define, field

MAX_LOST_ENGINES = 3
"""Number of first engines that may go down during one stream before it is given up, as
the stream itself may be what crashes them. The same goes for targets of a plain call
that end as they begin to run it."""
MAX_LOST_ENGINES_IF_SOUND = 5
"""The same for a stream whose caller has part of the answer, and whose shared parts are
known to be sound: other requests, or other faults, have probably ended its engines."""
CRASH_ONSET_S = 0.25
"""Seconds of writing after which a stream isn't what crashes its engine: a request that
crashes engines does so as its answer begins."""


@define
class FirstEngines:
    """First engines that have run one stream, or may have.

    Parameters
    ----------
    max_engines
        Maximum number of such engines; those that have terminated don't count.
    lost
        Number of them that went down within :data:`CRASH_ONSET_S` of writing.
    """

    max_engines: int
    lost: int = 0
    _born_ms_by_id: dict[str, int | None] = field(factory=dict)

    def record_run(self, engine_id: str, born_ms: int | None = None) -> None:
        """Record that the stream was started, or may have been, on an engine.

        Parameters
        ----------
        born_ms
            Start time of the engine's process. A process that started later under the
            same id has not run the stream.
        """
        self._born_ms_by_id[engine_id] = born_ms

    def record_loss(self, writing_s: float) -> None:
        """Record that a first engine went down while it ran the stream.

        Parameters
        ----------
        writing_s
            Seconds from the first to the last event of this run.
        """
        if writing_s <= CRASH_ONSET_S:
            self.lost += 1

    @property
    def engine_ids(self) -> tuple[str, ...]:
        """Return the sorted ids of the recorded engines, for the log."""
        return tuple(sorted(self._born_ms_by_id))

    def allowed(
        self, may_still_run: Callable[[str, int | None], bool]
    ) -> frozenset[str] | None:
        """Return the ids of engines that may be first in the next path, None for any.

        Parameters
        ----------
        may_still_run
            Returns True if the engine process with this start time may still run the
            stream.
        """
        living = frozenset(
            engine_id
            for engine_id, born_ms in self._born_ms_by_id.items()
            if may_still_run(engine_id, born_ms)
        )
        return living if len(living) >= self.max_engines else None
