"""Calls between entry instances: a thrift server, and a pool of clients.

Framed binary thrift over TCP; one thread per connected peer on the serving side,
one connection per concurrent call on the calling side, kept for the next call.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from logging import NullHandler, getLogger
from typing import TypeVar

from celeryfork_base.errors import PeerUnavailableError
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolBase
from thrift.Thrift import TApplicationException, TException, TProcessor
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from celeryfork_wire.gen.celeryfork import Peer

# An unreachable peer is told by PeerUnavailableError; thrift's own log lines say it
# again at every attempt.
getLogger("thrift").addHandler(NullHandler())
getLogger("thrift").propagate = False

MOST_IDLE_CONNECTIONS = 64
# The client lets go well before the server does, so that it never sends into a
# connection that the server has just closed.
LONGEST_IDLE_S = 20.0
LONGEST_SERVER_IDLE_S = 60.0
LARGEST_FRAME_BYTES = 16 * 1024 * 1024

Reply = TypeVar("Reply")
PeerCall = Callable[[Peer.Client], Reply]


class PeerServer:
    """Serves the ``Peer`` interface on one address.

    Parameters
    ----------
    host, port
        Where to listen; port 0 takes a free one.
    """

    def __init__(self, host: str, port: int) -> None:
        self._listener = socket.create_server((host, port), backlog=128)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._processor: TProcessor
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._accept, name="peer-server", daemon=True
        )

    def start(self, handler: Peer.Iface) -> None:
        """Begin to serve in the background.

        Parameters
        ----------
        handler
            An object with the methods of ``Peer.Iface``.
        """
        self._processor = Peer.Processor(handler)
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting and cut the connections that are open."""
        with self._lock:
            self._stopped = True
            connections = [self._listener, *self._connections]
        for connection in connections:
            # A socket that is not connected any more needs no shutdown.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._thread.join(timeout=2)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return  # stop() shut the listening socket down
            with self._lock:
                if self._stopped:
                    connection.close()
                    return
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), name="peer", daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(LONGEST_SERVER_IDLE_S)
        peer = TSocket()
        peer.setHandle(connection)
        protocol = _make_protocol(TFramedTransport(peer))
        try:
            while True:
                self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            return  # the peer went away, or sent what is no thrift
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()


def _make_protocol(transport: TFramedTransport) -> TProtocolBase:
    """Return the accelerated binary protocol with bounded lengths."""
    factory = TBinaryProtocolAcceleratedFactory(
        string_length_limit=LARGEST_FRAME_BYTES,
        container_length_limit=LARGEST_FRAME_BYTES,
        fallback=True,
    )
    return factory.getProtocol(transport)


class PeerPool:
    """Client connections to peers; safe to use from any thread.

    A bounded number stays open between calls, the longest idle goes first.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: list[_Connection] = []

    def call(
        self, address: str, call: PeerCall[Reply], timeout_s: float, *, fresh: bool
    ) -> Reply:
        """Make one call to a peer.

        Parameters
        ----------
        address
            ``ip:port`` of the peer.
        call
            What to call on the client, such as ``lambda peer: peer.exchange(mine)``.
        timeout_s
            Limit for connecting and for each wait on the socket, in seconds.
        fresh
            Open a new connection. Set it for calls that may not be repeated: on a
            kept connection a peer's restart can't be told from a lost answer.

        Raises
        ------
        PeerUnavailableError
            The peer was not reached (``sent`` False) or did not answer in time.
        """
        connection = self._take(address, timeout_s, fresh)
        try:
            reply = call(connection.client)
        except TApplicationException as error:
            self._give_back(connection)
            raise PeerUnavailableError(
                f"Peer {address} failed in the call: {error}",
                "read the peer's log; its version may be older",
                sent=True,
            ) from error
        except (TException, OSError, EOFError) as error:
            connection.close()
            raise PeerUnavailableError(
                f"Peer {address} did not answer: {error}",
                "the call may have reached it; check that it runs",
                sent=True,
            ) from error
        except BaseException:
            connection.close()
            raise
        self._give_back(connection)
        return reply

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _take(self, address: str, timeout_s: float, fresh: bool) -> "_Connection":
        kept = None if fresh else self._take_idle(address)
        if kept is not None:
            kept.set_timeout(timeout_s)
            return kept
        try:
            return _Connection(address, timeout_s)
        except (TTransportException, OSError, ValueError) as error:
            raise PeerUnavailableError(
                f"Peer {address} can't be reached: {error}",
                "check that it runs and that the network lets you through",
                sent=False,
            ) from error

    def _take_idle(self, address: str) -> "_Connection | None":
        """Return the connection to an address that was used last, None if none is."""
        youngest_s = time.monotonic() - LONGEST_IDLE_S
        with self._lock:
            stale = [each for each in self._idle if each.idle_since_s < youngest_s]
            self._idle = [each for each in self._idle if each not in stale]
            matching = [each for each in self._idle if each.address == address]
            found = matching[-1] if matching else None
            if found is not None:
                self._idle.remove(found)
        for connection in stale:
            connection.close()
        return found

    def _give_back(self, connection: "_Connection") -> None:
        connection.idle_since_s = time.monotonic()
        with self._lock:
            self._idle.append(connection)
            surplus = self._idle[:-MOST_IDLE_CONNECTIONS]
            self._idle = self._idle[-MOST_IDLE_CONNECTIONS:]
        for each in surplus:
            each.close()


class _Connection:
    """One open thrift connection to a peer."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self.address = address
        self.idle_since_s = 0.0
        host, _, port = address.rpartition(":")
        self._socket = TSocket(host, int(port))
        self.set_timeout(timeout_s)
        self._transport = TFramedTransport(self._socket)
        protocol = _make_protocol(self._transport)
        self.client = Peer.Client(protocol)
        self._transport.open()

    def set_timeout(self, timeout_s: float) -> None:
        """Limit each wait on the socket, in seconds."""
        self._socket.setTimeout(timeout_s * 1000)

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()
