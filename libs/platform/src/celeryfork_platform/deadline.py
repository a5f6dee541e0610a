"""HTTP connections that keep a deadline for the whole answer.

urllib3 limits each wait on the socket. A service that sends a byte now and then
would hold its caller for as long as it likes, so here every wait is limited by what
is left until the deadline. Connections by TLS keep urllib3's limit.
"""

import socket
import time
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool
from urllib3.response import HTTPResponse


class _DeadlineSocket(socket.socket):
    """A socket whose reads all end by one deadline."""

    deadline_s = float("inf")

    def recv_into(self, *args: Any, **named: Any) -> int:
        """Receive like ``socket.recv_into``, in the time that is left."""
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the answer came too slowly")
        if left_s != float("inf"):
            self.settimeout(left_s)
        return super().recv_into(*args, **named)


class _DeadlineConnection(HTTPConnection):
    """A connection that reads answers through a ``_DeadlineSocket``."""

    def connect(self) -> None:
        """Connect, and take over the socket."""
        super().connect()
        timeout_s = self.sock.gettimeout()
        family, kind = self.sock.family, self.sock.type
        self.sock = _DeadlineSocket(family, kind, fileno=self.sock.detach())
        self.sock.settimeout(timeout_s)

    def request(self, *args: Any, **named: Any) -> None:
        """Send a request; a kept connection may still have its last timeout."""
        if self.sock is not None:
            self.sock.settimeout(self.timeout)
        super().request(*args, **named)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Read the answer's head; the deadline holds for its body, too."""
        if isinstance(self.sock, _DeadlineSocket):
            timeout_s = self.timeout if self.timeout is not None else float("inf")
            self.sock.deadline_s = time.monotonic() + timeout_s
        return super().getresponse()


class _DeadlinePool(HTTPConnectionPool):
    ConnectionCls = _DeadlineConnection


def make_connections(most: int) -> urllib3.PoolManager:
    """Return connections to one service, of which at most ``most`` are kept."""
    connections = urllib3.PoolManager(num_pools=1, maxsize=most, retries=False)
    connections.pool_classes_by_scheme = {
        "http": _DeadlinePool,
        "https": HTTPSConnectionPool,
    }
    return connections
