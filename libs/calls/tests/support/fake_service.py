"""Fake of a plain service that records the calls that it ran."""

import threading
from collections import Counter
from http.server import BaseHTTPRequestHandler

from attrs import define, field


@define
class FakeService:
    """A plain service that answers calls as scripted.

    Parameters
    ----------
    answers
        Names of answers to the calls, in order; later calls are answered ``done``.
        Besides those of ``ANSWERS``, ``cut`` closes the connection unanswered, and
        ``unmarked`` answers without a length.
    ran
        Number of runs by key.
    status_by_key
        Bodies of the answers of the status call, by key.
    may_answer
        Calls wait for this event before they are answered.
    """

    answers: list[str] = field(factory=list)
    ran: Counter[str] = field(factory=Counter)
    bodies: list[bytes] = field(factory=list)
    status_by_key: dict[str, bytes] = field(factory=dict)
    may_answer: threading.Event = field(factory=threading.Event)
    address: str = ""
    connections: int = 0

    def run(self, key: str, body: bytes) -> str:
        """Record a call as run, unless it is rejected, and return its answer's name."""
        answer = self.answers.pop(0) if self.answers else "done"
        if answer != "reject":
            self.ran[key] += 1
            self.bodies.append(body)
        self.may_answer.wait(10)
        return answer


# Status, body, a wrong Content-Length (0 for the right one), and True for X-Draining.
ANSWERS = {
    "half": (200, b"booked", 100),
    "large": (200, b"x" * 100_000),
    "reject": (503, b"busy"),
    "busy": (503, b"busy"),
    "draining": (503, b"leaving", 0, True),
    "fail": (422, b"no such day"),
    "outside": (600, b"no status of HTTP"),
}


def make_handler(service: FakeService) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self) -> None:
            super().setup()
            service.connections += 1

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            answer = service.run(self.headers.get("Idempotency-Key", ""), body)
            if answer in ("cut", "half", "unmarked"):
                self.close_connection = True
            match answer:
                case "cut":
                    pass
                case "unmarked":
                    self.send_response(200)
                    self.end_headers()
                    self.wfile.write(b"booked")
                case _:
                    self._answer(*ANSWERS.get(answer, (200, b"booked " + body)))

        def do_GET(self) -> None:
            kept = service.status_by_key.get(self.path.rpartition("/")[2])
            self._answer(404 if kept is None else 200, kept or b"")

        def _answer(
            self, status: int, body: bytes, length: int = 0, draining: bool = False
        ) -> None:
            self.send_response(status)
            self.send_header("Content-Type", "text/plain")
            self.send_header("Content-Length", str(length or len(body)))
            if draining:
                self.send_header("X-Draining", "true")
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *args: object) -> None:
            pass

    return Handler
