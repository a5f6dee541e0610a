"""HTTP connections with a deadline for the whole response.

urllib3's read timeout applies to each socket read. A service that sends a byte now
and then would block its caller indefinitely, so the timeout of each read is set to
the time remaining until the deadline. TLS connections keep urllib3's timeout.
"""

import socket
import time
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool
from urllib3.response import HTTPResponse


class _DeadlineSocket(socket.socket):
    """A socket whose reads share one deadline."""

    deadline_s = float("inf")

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Receive like ``socket.recv_into``, but no later than the deadline."""
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("response was not complete before the deadline")
        if remaining_s != float("inf"):
            self.settimeout(remaining_s)
        return super().recv_into(*args, **kwargs)


class _DeadlineConnection(HTTPConnection):
    """A connection that reads responses through a ``_DeadlineSocket``."""

    def connect(self) -> None:
        """Connect, and replace the socket by a ``_DeadlineSocket``."""
        super().connect()
        timeout_s = self.sock.gettimeout()
        family, kind = self.sock.family, self.sock.type
        self.sock = _DeadlineSocket(family, kind, fileno=self.sock.detach())
        self.sock.settimeout(timeout_s)

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request.

        The timeout is set first: a reused connection has that of its last request.
        """
        if self.sock is not None:
            self.sock.settimeout(self.timeout)
        super().request(*args, **kwargs)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Set the deadline for headers and body, and read the headers."""
        if isinstance(self.sock, _DeadlineSocket):
            timeout_s = self.timeout if self.timeout is not None else float("inf")
            self.sock.deadline_s = time.monotonic() + timeout_s
        return super().getresponse()


class _DeadlinePool(HTTPConnectionPool):
    ConnectionCls = _DeadlineConnection


def make_connection_pool(max_kept: int) -> urllib3.PoolManager:
    """Return a pool for one service that keeps up to ``max_kept`` idle connections."""
    pool_manager = urllib3.PoolManager(num_pools=1, maxsize=max_kept, retries=False)
    pool_manager.pool_classes_by_scheme = {
        "http": _DeadlinePool,
        "https": HTTPSConnectionPool,
    }
    return pool_manager
