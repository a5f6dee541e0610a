"""What the whole-system tests share: asks, trials on a rig, and what they came to."""

import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from attrs import frozen
from celeryfork_base.identity import make_uuid7
from celeryfork_base.outcomes import Outcome
from celeryfork_bench.callers import CallerOptions
from celeryfork_bench.checker import Violation, check
from celeryfork_bench.field import Event, Field, make_field
from celeryfork_bench.history import Exchange, ModelAsk, PlainAsk
from celeryfork_bench.rig import Rig, RigOptions, make_rig
from celeryfork_bench.small import MODEL, SERVICE, small_deployment
from celeryfork_bench.workload import Arrival

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
