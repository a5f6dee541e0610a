"""Tests of celeryfork_streams.loop_thread."""

import asyncio
import threading
from pathlib import Path

import pytest
from celeryfork_streams.loop_thread import make_loop_thread


@pytest.fixture
def thread():
    made = make_loop_thread()
    made.start()
    yield made
    made.stop()


def test_coroutines_run_on_the_one_loop_thread(thread):
    async def name():
        return threading.current_thread().name

    assert thread.submit(name()).result(timeout=5) == "stream-loop"


def test_no_io_uring_is_used(thread):
    async def use_files_and_sockets():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1")
        address = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        writer.close()
        server.close()

    thread.submit(use_files_and_sockets()).result(timeout=5)
    links = []
    for descriptor in Path("/proc/self/fd").iterdir():
        try:
            links.append(str(descriptor.readlink()))
        except FileNotFoundError:
            continue
    assert any("eventpoll" in link for link in links)
    assert not any("io_uring" in link for link in links)


def test_stopping_cancels_what_runs():
    thread = make_loop_thread()
    thread.start()
    running = thread.submit(asyncio.sleep(60))
    thread.stop()
    assert running.cancelled()
    thread.stop()
