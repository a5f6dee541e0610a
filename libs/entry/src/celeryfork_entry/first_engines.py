"""On how many engines a stream was begun, of which its route allows few.

What counts is the first engine of a path, which gets the request and answers it. A
stream that breaks since a later engine was lost goes on at any path while the route's
bound allows another first engine, and then over the first engines that it has.
"""

from collections.abc import Callable

from attrs import define, field

MAX_LOST_ENGINES = 3
"""First engines that end under one stream, after which it is given up: it may be what
ends them."""


@define
class FirstEngines:
    """The first engines of one stream's paths that have run it, or may have.

    Parameters
    ----------
    max_engines
        Most such engines; those that have ended meanwhile don't count.
    lost
        How many of them went down while they ran it.
    """

    max_engines: int
    lost: int = 0
    _born_ms_by_id: dict[str, int | None] = field(factory=dict)

    def record_run(self, engine_id: str, born_ms: int | None = None) -> None:
        """Note that the stream has begun, or may have begun, on an engine.

        Parameters
        ----------
        born_ms
            The engine's start: a later one under its id hasn't run the stream.
        """
        self._born_ms_by_id[engine_id] = born_ms

    @property
    def engine_ids(self) -> tuple[str, ...]:
        """Return the engines that have run the stream or may have, for the log."""
        return tuple(sorted(self._born_ms_by_id))

    def allowed(
        self, may_still_run: Callable[[str, int | None], bool]
    ) -> frozenset[str] | None:
        """Return the engines that the next path may begin with, None for any.

        Parameters
        ----------
        may_still_run
            Tells whether an engine of a given start may still run the stream.
        """
        living = frozenset(
            engine_id
            for engine_id, born_ms in self._born_ms_by_id.items()
            if may_still_run(engine_id, born_ms)
        )
        return living if len(living) >= self.max_engines else None
