"""The one thread whose event loop runs every stream.

The loop is asyncio's own, on epoll. uvloop 0.23 (libuv 1.52) opens an io_uring for each
loop whatever ``UV_USE_IO_URING`` says, and io_uring may not be used.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

STOP_TIMEOUT_S = 5.0

Result = TypeVar("Result")


class LoopThread:
    """A thread with an event loop of its own."""

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name="stream-loop", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, Result]) -> Future[Result]:
        """Run a coroutine as a task of the loop; from any thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def stop(
        self, last: Callable[[], Coroutine[Any, Any, object]] | None = None
    ) -> None:
        """Cancel every task, wait for them, run ``last``, and end the thread."""
        if not self._thread.is_alive():
            return
        self.submit(_cancel_all()).result(timeout=STOP_TIMEOUT_S * 2)
        if last is not None:
            self.submit(last()).result(timeout=STOP_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_forever()
        finally:
            self.loop.close()


async def _cancel_all() -> None:
    """Cancel all other tasks of the running loop and wait for them."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)


def make_loop_thread() -> LoopThread:
    """Return a loop thread that has yet to be started."""
    return LoopThread()
