"""Callers of a soak, which keep using connections until their process is gone."""

import http.client
import random
import threading
import time
from contextlib import suppress

from attrs import define, field
from promises import CUT_OFF
from prompt_parts import prompt_parts

STREAM_S = 4.5
"""Time of a stream: one that comes until callers go elsewhere ends within the stop."""
PLAIN_S = 1.5
MOST_EVENTS = 100
LATE_S = 3.0
"""Time over a call's own after which its caller leaves; a process may be paused."""
PAUSE_S = 2.0
"""Pause of a begun answer after which its caller leaves."""
PLAIN_ASKS = (
    ("once", "POST", "/book/1", "key-1"),
    ("repeatable", "GET", "/look/1", "key-1"),
    ("withdrawn", "GET", "/look/1", "key-3"),
)
TAINTED_CALLERS = {0, 5, 8, 13}
"""Callers that for a while send streams alone, all with a deadly part.

Other callers use the same key.
"""
STREAM = ("stream", "POST", "/advice/x", "key-2")
SPLIT_PATH = "/split/x"
"""Path whose streams go to engines and to a service without a model."""
SPLIT_EVERY = 2
"""One stream in so many takes that path, but for those with a deadly part."""
ASKS = (STREAM, STREAM, STREAM, *PLAIN_ASKS)


@define(eq=False)
class Ask:
    """One request to a process, and what its caller got.

    ``reused`` tells whether its connection had carried another request before, and
    ``answered`` the request that the answer says it belongs to.

    Parameters
    ----------
    deadly
        True if its prompt holds a part that crashes engines.
    parts
        Header of the parts of its prompt, empty for none.
    """

    kind: str
    attempt: str
    life: object
    reused: bool
    events: int
    deadly: bool = False
    parts: str = ""
    begun_s: float = field(factory=time.monotonic)
    ended_s: float = 0.0
    status: int | None = None
    answered: str | None = None
    body: bytes = b""
    whole: bool = False
    error: Exception | None = None

    @property
    def limit_s(self):
        return STREAM_S if self.kind == "stream" else PLAIN_S

    @property
    def left_s(self):
        """The time that it had left at its end."""
        return self.begun_s + self.limit_s - self.ended_s

    @property
    def own_answer(self):
        if self.kind != "stream":
            return f"done {self.attempt}".encode()
        events = range(1, self.events + 1)
        return "".join(
            f"id: {n}\ndata: {self.attempt}-{n}\n\n" for n in events
        ).encode()

    @property
    def outcome(self):
        left = isinstance(self.error, TimeoutError)
        how = "" if self.whole else ", caller left" if left else ", cut"
        return f"status {self.status}{how}"

    def send(self, connection, method, path, key):
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {key}",
            "X-Attempt-Id": self.attempt,
        }
        if self.kind == "stream":
            headers["X-Token-Count"] = f"100,{self.events * 2}"
            headers["X-Deadline-Ms"] = str(int(STREAM_S * 1000))
        if self.parts:
            headers["X-Prompt-Prefix"] = self.parts
        sock = connection.sock
        sock.settimeout(self.limit_s + LATE_S)
        connection.request(method, path, b"" if method == "GET" else b"body", headers)
        response = connection.getresponse()
        self.status = response.status
        self.answered = response.getheader("X-Attempt-Id")
        sock.settimeout(PAUSE_S)
        # Its readline takes an answer that breaks off between two chunks for whole.
        while piece := response.read1():
            self.body += piece
        response.close()
        self.whole = True

    def __str__(self):
        return (
            f"{self.attempt} at {self.life.entry.path.stem}: status {self.status}, "
            f"{self.body.count(b'data')} of {self.events} events, {self.left_s:.2f} of "
            f"{self.limit_s} s left, {self.error!r}"
        )


class Caller(threading.Thread):
    """Sends one request after the other.

    Every second caller sends each on a new connection; half of them send no streams.
    """

    def __init__(self, soak, number):
        super().__init__(name=f"caller-{number}", daemon=True)
        self.soak, self.number, self.sent = soak, number, 0
        self.random = random.Random(f"{soak.seed}.{number}")

    def run(self):
        while not self.soak.over.is_set():
            life = self.random.choice(list(self.soak.life_by_name.values()))
            with suppress(*CUT_OFF):
                if life.entry.is_ready():
                    self._use(life)
                    continue
            time.sleep(0.1)

    def _use(self, life):
        connection = http.client.HTTPConnection(
            life.entry.ip, life.entry.front, timeout=LATE_S
        )
        connection.connect()
        connection.auto_open, reused = 0, False
        while connection.sock is not None and not self.soak.over.is_set():
            self._ask(connection, life, reused)
            reused = True
            if self.number % 2:
                connection.close()
            time.sleep(self.random.uniform(0, 0.1))
        connection.close()

    def _ask(self, connection, life, reused):
        deadly = self.soak.tainted and self.number in TAINTED_CALLERS
        asks = ASKS if self.number % 4 < 2 else PLAIN_ASKS
        if deadly:
            asks = (STREAM,)
        kind, method, path, key = self.random.choice(asks)
        self.sent += 1
        attempt, events = (
            f"{kind}-{self.number}-{self.sent}",
            self.random.randint(1, MOST_EVENTS),
        )
        if kind == "stream" and not deadly and self.sent % SPLIT_EVERY == 0:
            path = SPLIT_PATH
        ask = Ask(kind, attempt, life, reused, events)
        if kind == "stream" and self.soak.has_deadly_part:
            ask.deadly = deadly
            number = self.sent * len(self.soak.callers) + self.number
            ask.parts = prompt_parts(number, deadly=deadly)
        try:
            ask.send(connection, method, path, key)
        except CUT_OFF as error:
            ask.error = error
            connection.close()
        ask.ended_s = time.monotonic()
        self.soak.asks.append(ask)
