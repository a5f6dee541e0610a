"""A port that stays a stand-in's own while nothing listens on it."""

import socket


class KeptPort:
    """Holds a port by a socket that is bound and doesn't listen.

    Without it, a connection that anyone makes may be given the port of a stand-in that
    is down for a moment. With it, those who connect there are still refused.

    Parameters
    ----------
    host, port
        What to hold; port 0 takes a free one.

    Raises
    ------
    OSError
        The port is taken.
    """

    def __init__(self, host: str, port: int = 0) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # A listener may only bind beside it if both say that they share.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind((host, port))
        except OSError:
            self._socket.close()
            raise
        self.number: int = self._socket.getsockname()[1]

    def release(self) -> None:
        """Give the port back."""
        self._socket.close()
