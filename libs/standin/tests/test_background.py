import asyncio
import http.client
import socket
import threading
from pathlib import Path

import pytest
from aiohttp import web
from celeryfork_standin.background import Listener, LoopThread
from celeryfork_standin.errors import StandinStoppedError


def test_the_loop_uses_no_io_uring():
    thread = LoopThread("test")
    thread.start()
    thread.call(lambda: None)
    links = []
    for descriptor in Path("/proc/self/fd").iterdir():
        try:
            links.append(str(descriptor.readlink()))
        except FileNotFoundError:
            continue  # closed meanwhile
    thread.stop()
    assert links
    assert not [link for link in links if "io_uring" in link]


def test_work_for_a_stopped_loop_is_an_error():
    thread = LoopThread("test")
    with pytest.raises(StandinStoppedError):
        thread.call(lambda: None)
    thread.start()
    thread.stop()
    with pytest.raises(StandinStoppedError):
        thread.call(lambda: None)


def test_a_listener_that_is_down_keeps_its_port():
    """An own test run failed as another's connection got the port meanwhile."""
    thread = LoopThread("test")
    thread.start()
    listener = Listener(answer_nothing, "127.0.0.1")
    thread.run(listener.open())
    address = ("127.0.0.1", listener.port)
    thread.call(listener.cut)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(address)
    with socket.socket() as client, pytest.raises(ConnectionRefusedError):
        client.connect(address)
    thread.run(listener.open())
    with socket.create_connection(address):
        pass
    thread.call(listener.close)
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind(address)
    thread.stop()


async def answer_nothing(request: web.BaseRequest) -> web.Response:
    return web.Response()


def test_a_connection_that_a_cut_misses_gets_no_answer(monkeypatch):
    """A dead target answered 200 without a body: done, said the instance."""
    thread = LoopThread("test")
    thread.start()
    arrived, released = threading.Event(), asyncio.Event()

    async def answer_late(request: web.BaseRequest) -> web.Response:
        arrived.set()
        await released.wait()
        return web.Response()

    listener = Listener(answer_late, "127.0.0.1")
    thread.run(listener.open())
    monkeypatch.setattr(web.Server, "connections", [])  # accepted, not made yet
    connection = http.client.HTTPConnection(listener.address, timeout=5)
    connection.request("GET", "/")
    assert arrived.wait(5)
    thread.call(listener.cut)
    thread.call(released.set)
    with pytest.raises((http.client.HTTPException, ConnectionError)):
        connection.getresponse()
    thread.call(listener.close)
    thread.stop()
