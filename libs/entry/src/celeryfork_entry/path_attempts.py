"""Attempts to run a stream over one path, and their possible outcomes."""

import asyncio
from collections.abc import Mapping

from attrs import define, field, frozen
from celeryfork_routing.engine_loads import LayerPath

from celeryfork_entry.call import Call
from celeryfork_entry.stream_runs import StreamRun
from celeryfork_entry.targets import Target


@frozen
class Finished:
    """The caller has the complete stream."""


@frozen
class PathRefused:
    """No engine of the path has run the request.

    Parameters
    ----------
    answered
        True if an engine refused the request, False if none was reached.
    """

    reason: str
    answered: bool = False


@frozen
class PathBroke:
    """The path has run the request, or may have, and stopped before its end.

    Parameters
    ----------
    begun
        True if it had sent an event.
    """

    reason: str
    begun: bool = False


@frozen
class EngineFailed:
    """An engine's error reply.

    It is forwarded to the caller unless that has events already, or another engine may
    be tried.

    Parameters
    ----------
    may_retry
        False if another target would answer the same.
    """

    status: int
    headers: list[tuple[str, bytes]]
    body: bytes
    may_retry: bool = True


Outcome = Finished | PathRefused | PathBroke | EngineFailed


@define(eq=False)
class PathAttempt(StreamRun):
    """A run of a stream over one path, which other tasks can reroute or interrupt.

    Parameters
    ----------
    tokens
        Number of tokens of the prompt and the expected answer, for the load of the
        engines.
    task
        Task that runs the attempt, None before its start.
    interrupted
        Reason given to :meth:`interrupt`, empty if the attempt was not interrupted.
    detour
        Task that reroutes the stream around lost engines.
    prefilling
        True until the first event: the prompt may still have to cross links between
        engines.
    loan
        Task that asks other instances for a retry.
    doubt
        Why an engine of the path may be down, empty after an event.
    first
        First engine as listed when the request was sent, None before.
    targets_by_id
        Engines of the path as listed when it was chosen.
    next_search_s
        Monotonic time from which another path is sought again during silence.
    """

    call: Call
    path: LayerPath
    tokens: float
    task: asyncio.Task[Outcome] | None = None
    interrupted: str = ""
    detour: asyncio.Task[None] | None = None
    prefilling: bool = True
    loan: asyncio.Task[bool] | None = None
    doubt: str = ""
    first: Target | None = None
    targets_by_id: Mapping[str, Target] = field(factory=dict)
    next_search_s: float = 0.0
    _doubted: asyncio.Future[None] | None = None

    @property
    def doubted(self) -> asyncio.Future[None]:
        """Future that is done once :attr:`doubt` is set."""
        if self._doubted is None or self._doubted.done():
            self._doubted = asyncio.get_running_loop().create_future()
        return self._doubted

    def record_doubt(self, reason: str) -> None:
        """Record that an engine of the path doesn't respond, but has not ended."""
        self.doubt = reason
        if self._doubted is not None and not self._doubted.done():
            self._doubted.set_result(None)

    def record_events(self, now_s: float) -> None:
        """Record that events arrived."""
        super().record_events(now_s)
        self.doubt = ""

    def interrupt(self, reason: str) -> None:
        """Cancel the attempt, so that the stream is continued over another path."""
        if self.task is not None and not self.task.done():
            self.interrupted = reason
            self.task.cancel()
