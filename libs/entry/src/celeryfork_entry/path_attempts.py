"""One attempt of a stream over one path, and how it can end."""

import asyncio

from attrs import define, frozen
from celeryfork_routing.engine_loads import LayerPath

from celeryfork_entry.call import Call


@frozen
class Finished:
    """The stream is complete."""


@frozen
class PathRefused:
    """The path has not run the request.

    Parameters
    ----------
    answered
        Whether an engine said so; else nobody was reached.
    """

    reason: str
    answered: bool = False


@frozen
class PathBroke:
    """The path began, or may have begun, and stopped."""

    reason: str


@frozen
class EngineFailed:
    """The engine's own failure, to be passed on if nothing else helps."""

    status: int
    headers: list[tuple[str, bytes]]
    body: bytes


Outcome = Finished | PathRefused | PathBroke | EngineFailed


@define(eq=False)
class PathAttempt:
    """A path in use; it can be changed or interrupted from outside.

    Parameters
    ----------
    detour
        The task that leads it around lost engines.
    prefilling
        No event has come, so that the prompt may still have pipes to cross.
    sent
        A byte of the request may have reached the first engine.
    """

    call: Call
    path: LayerPath
    tokens: float
    task: asyncio.Task[Outcome] | None = None
    interrupted: str = ""
    detour: asyncio.Task[None] | None = None
    prefilling: bool = True
    sent: bool = False

    def mark_sent(self) -> None:
        """Note that the request leaves."""
        self.sent = True

    def interrupt(self, reason: str) -> None:
        """End the attempt, so that the stream goes on over another path."""
        if self.task is not None and not self.task.done():
            self.interrupted = reason
            self.task.cancel()
