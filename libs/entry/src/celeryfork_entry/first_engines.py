"""On how many engines a stream was begun, of which its route allows few.

What counts is the first engine of a path, which gets the request and answers it. A
stream that breaks since a later engine was lost goes on at any path while the route's
bound allows another first engine, and then over the first engines that it has.
"""

from collections.abc import Callable

from attrs import define, field


@define
class FirstEngines:
    """The first engines of one stream's paths that have run it, or may have.

    Parameters
    ----------
    most
        Most such engines; those that have ended meanwhile don't count.
    """

    most: int
    _begun: set[str] = field(factory=set)

    def begun(self, engine_id: str) -> None:
        """Note that the stream has begun, or may have begun, on an engine."""
        self._begun.add(engine_id)

    @property
    def known(self) -> tuple[str, ...]:
        """Return the engines that have run the stream or may have, for the log."""
        return tuple(sorted(self._begun))

    def allowed(self, lives: Callable[[str], bool]) -> frozenset[str] | None:
        """Return the engines that the next path may begin with, None for any.

        Parameters
        ----------
        lives
            Tells whether an engine may still run the stream.
        """
        living = frozenset(each for each in self._begun if lives(each))
        return living if len(living) >= self.most else None
