"""What the whole-system tests share: asks, trials on a rig, and what they came to."""

import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from attrs import asdict, frozen
from celeryfork_base.identity import make_uuid7
from celeryfork_base.outcomes import OUTCOME_HEADER, Outcome
from celeryfork_bench.callers import CallerOptions
from celeryfork_bench.checker import Violation, check
from celeryfork_bench.field import Event, Field, make_field
from celeryfork_bench.history import Exchange, ModelAsk, PlainAsk
from celeryfork_bench.rig import Rig, RigOptions, make_rig
from celeryfork_bench.small import KEY, MODEL, SERVICE, small_deployment
from celeryfork_bench.workload import Arrival
from orjson import dumps
from urllib3 import BaseHTTPResponse, request

ORGANISATION = "kilimani"
CALLERS = CallerOptions(deadline_s=8.0, most_sends=4)


@contextmanager
def small_rig(seed: int = 1, notice_s: float = 0.3) -> Iterator[Rig]:
    """Give a small deployment that has started, and stop it."""
    rig = make_rig(small_deployment(), RigOptions(notice_s=notice_s), seed=seed)
    try:
        rig.start()
        yield rig
    finally:
        rig.stop()


@frozen
class Trial:
    """A run that has ended, judged by the checker."""

    field: Field
    violations: tuple[Violation, ...]

    @property
    def promises(self) -> set[str]:
        """The promises that were broken."""
        return {violation.promise for violation in self.violations}

    @property
    def exchanges(self) -> list[Exchange]:
        """Everything that callers sent and got."""
        return self.field.history.exchanges()

    def last_of_each(self) -> list[Exchange]:
        """Return the last exchange of each ask, in the order of their ends."""
        return list({id(one.ask): one for one in self.exchanges}.values())

    def outcomes(self) -> set[Outcome | None]:
        """Return what callers were told in the end."""
        return {exchange.outcome for exchange in self.last_of_each()}


def run_trial(
    rig: Rig,
    arrivals: Sequence[Arrival],
    events: Sequence[Event] = (),
    callers: CallerOptions = CALLERS,
) -> Trial:
    """Run arrivals and events to their end and judge them."""
    field = make_field(rig, 1, callers)
    field.run(arrivals, events)
    return Trial(field, tuple(check(field.evidence())))


def new_key() -> str:
    return str(make_uuid7(time.time_ns() // 1_000_000))


def plain_asks(kind: str, count: int, over_s: float) -> list[Arrival]:
    """Return calls of one kind of the plain service, evenly spread."""
    return [
        Arrival(
            over_s * number / count,
            ORGANISATION,
            PlainAsk(
                SERVICE, kind, None if kind == "slots" else new_key(), b"%d" % number
            ),
        )
        for number in range(count)
    ]


def model_asks(
    count: int, over_s: float, tokens: int = 20, words: str = "chalky chai"
) -> list[Arrival]:
    """Return streamed model calls, evenly spread."""
    return [
        Arrival(
            over_s * number / count,
            ORGANISATION,
            ModelAsk(MODEL, f"Ask {number}: {words}?", tokens, number, stream=True),
        )
        for number in range(count)
    ]


def tickets_of(rig: Rig, count: int) -> list[str]:
    """Return tickets for bookings, minted at the instances in turn."""
    addresses = [daemon.http_address for daemon in rig.daemons()]
    return [mint(addresses[number % len(addresses)]) for number in range(count)]


def mint(address: str) -> str:
    """Return a ticket for a booking from one instance."""
    reply = post(address, "/v1/tickets", {"service": SERVICE, "kind": "book"})
    assert reply.status == 200, reply.data
    return str(reply.json()["ticket"])


def ticket_asks(tickets: Sequence[str], over_s: float) -> list[Arrival]:
    """Return a booking for each ticket, evenly spread."""
    return [
        Arrival(
            over_s * number / len(tickets),
            ORGANISATION,
            PlainAsk(SERVICE, "book", ticket, b"%d" % number),
        )
        for number, ticket in enumerate(tickets)
    ]


def post(
    address: str, path: str, body: dict[str, object] | bytes, key: str | None = None
) -> BaseHTTPResponse:
    """Send one call to one instance and return its whole answer."""
    headers = {"Authorization": f"Bearer {KEY}"}
    if key is not None:
        headers["Idempotency-Key"] = key
    return request(
        "POST",
        f"http://{address}{path}",
        body=body if isinstance(body, bytes) else dumps(body),
        headers=headers,
        retries=False,
        timeout=15,
    )


def book(address: str, key: str) -> BaseHTTPResponse:
    """Make a booking at one instance."""
    return post(address, f"/v1/services/{SERVICE}/book", {"visit": "tuesday"}, key)


def complete(address: str, prompt: str = "chalky chai") -> BaseHTTPResponse:
    """Make a short model call at one instance."""
    return post(address, "/v1/completions", completion_body(prompt))


def completion_body(prompt: str) -> bytes:
    return dumps({"model": MODEL, "prompt": prompt, "max_tokens": 8, "seed": 1})


def outcome_of(reply: BaseHTTPResponse) -> str:
    return str(reply.headers[OUTCOME_HEADER])


def in_order(*groups: Sequence[Arrival]) -> list[Arrival]:
    """Return the arrivals of several groups by time."""
    together = [arrival for group in groups for arrival in group]
    return sorted(together, key=lambda arrival: arrival.at_s)


def described(exchange: Exchange) -> str:
    """Return an exchange whole, in lines: pytest cuts long objects."""
    return "".join(f"\n{name}: {value}" for name, value in asdict(exchange).items())
