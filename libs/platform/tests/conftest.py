"""A TCP server whose raw HTTP responses are scripted by the test."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator

import pytest

ANSWER_WAIT_S = 20.0


class ScriptedServer:
    """Reads HTTP requests and calls ``answer`` with the connection to respond."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self.answer: Callable[[socket.socket], None] = lambda connection: None
        self.requests: list[bytes] = []
        self.stopped = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        self.stopped.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while (request := _read_request(connection)) is not None:
                self.requests.append(request)
                self.answer(connection)

    def hang(self, connection: socket.socket) -> None:
        self.stopped.wait(ANSWER_WAIT_S)

    def reset(self, connection: socket.socket) -> None:
        connection.close()

    def trickle(self, connection: socket.socket) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
        while not self.stopped.wait(0.05):
            connection.sendall(b" ")

    def trickle_headers(self, connection: socket.socket) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\n")
        while not self.stopped.wait(0.05):
            connection.sendall(b"X-A: b\r\n")

    def reply(
        self, status: int, body: bytes, *headers: str
    ) -> Callable[[socket.socket], None]:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        return lambda connection: connection.sendall(head + body)


def _read_request(connection: socket.socket) -> bytes | None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body


@pytest.fixture
def server() -> Iterator[ScriptedServer]:
    scripted = ScriptedServer()
    yield scripted
    scripted.stop()
