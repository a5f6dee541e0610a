"""Runs a workload against a rig, with events at set times, and gathers the evidence."""

import asyncio
import contextlib
import random
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from attrs import define, field, frozen
from celeryfork_base.errors import CeleryforkError
from celeryfork_daemon.entry import Daemon

from celeryfork_bench.callers import CallerOptions, Callers, make_session
from celeryfork_bench.checker import (
    Evidence,
    Left,
    OffsetSeen,
    PlannedStop,
    Published,
)
from celeryfork_bench.history import History
from celeryfork_bench.rig import Rig
from celeryfork_bench.workload import Arrival, repeatable_kinds

BALANCER_CHECK_S = 0.1
LONGEST_RUN_S = 300.0


@frozen
class Event:
    """Something done to the deployment at a time, in seconds from the beginning."""

    at_s: float
    name: str
    do: Callable[["Field"], None]


class Balancer:
    """The platform's balancer: instances in turn, readiness looked up now and then."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self._rig = rig
        self._random = random.Random(seed)
        self._ready: list[tuple[str, str]] = []
        self._checked_s = 0.0

    def pick(self) -> tuple[str, str] | None:
        """Return a ready instance's name and address, None if there is none."""
        now_s = time.monotonic()
        if now_s - self._checked_s > BALANCER_CHECK_S:
            self._checked_s = now_s
            self._ready = [
                (name_of(daemon), daemon.http_address)
                for daemon in self._rig.daemons()
                if daemon.ready
            ]
        return self._random.choice(self._ready) if self._ready else None


@define(eq=False)
class Field:
    """A running experiment; create it with ``make_field``."""

    rig: Rig
    seed: int
    options: CallerOptions
    history: History = field(factory=History)
    left: list[Left] = field(factory=list)
    planned_stops: list[PlannedStop] = field(factory=list)
    offsets_seen: list[OffsetSeen] = field(factory=list)
    published: list[Published] = field(factory=list)
    stop_codes: list[int] = field(factory=list)
    event_times_s: dict[str, float] = field(factory=dict)
    began_s: float = 0.0
    ended_s: float = 0.0
    _stopping: threading.Event = field(factory=threading.Event)

    def run(self, arrivals: Sequence[Arrival], events: Sequence[Event] = ()) -> None:
        """Run everything to its end: every ask has got its last answer."""
        self.began_s = time.monotonic()
        observer = threading.Thread(target=self._observe, name="observer", daemon=True)
        actor = threading.Thread(
            target=self._act,
            args=(sorted(events, key=lambda event: event.at_s),),
            name="events",
            daemon=True,
        )
        observer.start()
        actor.start()
        self.rig.loop_thread.submit(self._call_all(arrivals)).result(LONGEST_RUN_S)
        actor.join(timeout=LONGEST_RUN_S)
        self.ended_s = time.monotonic()
        self._stopping.set()
        observer.join(timeout=5)

    def evidence(self) -> Evidence:
        """Return what the checker judges."""
        deployment = self.rig.deployment
        return Evidence(
            exchanges=self.history.exchanges(),
            ran_tokens=self.rig.engines.ran,
            ran_calls=self.rig.services.ran,
            layers_by_model={model.name: model.layers for model in deployment.models},
            repeatable_kinds=repeatable_kinds(deployment),
            left=tuple(self.left),
            planned_stops=tuple(self.planned_stops),
            offsets_seen=tuple(self.offsets_seen),
            published=tuple(self.published),
        )

    def leave_engine(self, engine_id: str) -> None:
        """Have an engine announce that it is leaving."""
        self.left.append(Left(engine_id, time.monotonic()))
        self.rig.engines.leave(engine_id)

    def drain_service(self, target_id: str) -> None:
        """Have a plain service's target announce that it is leaving."""
        self.left.append(Left(target_id, time.monotonic()))
        self.rig.services.drain(target_id)

    def replace_entry(self, name: str) -> None:
        """Stop an entry instance as planned, and start it anew."""
        entry = next(e for e in self.rig.deployment.entries if e.id == name)
        daemon = self.rig.daemons_by_name.get(name)
        if daemon is None:
            return
        from_s = time.monotonic()
        self.stop_codes.append(self.rig.stop_entry(name))
        stop = PlannedStop(name_of(daemon), from_s, time.monotonic())
        self.planned_stops.append(stop)
        self.rig.start_entry(entry)

    def kill_entry(self, name: str) -> None:
        """End an entry instance without notice, and start it anew."""
        entry = next(e for e in self.rig.deployment.entries if e.id == name)
        self.rig.kill_entry(name)
        self.rig.start_entry(entry)

    def publish(self, name: str, payload: dict[str, object]) -> None:
        """Publish a configuration record as an operator would."""
        offset = self.rig.publish([{"name": name, "payload": payload}])
        self.published.append(Published(offset, time.monotonic()))

    def publish_racing(self, rates: Sequence[int]) -> None:
        """Have two operators change one limit at the same time."""
        record = next(
            record
            for record in self.rig.deployment.configuration
            if record.name.startswith("organisation/")
        )
        payloads = [{**record.payload, "requests_per_second": rate} for rate in rates]
        with ThreadPoolExecutor(max_workers=len(payloads)) as operators:
            for payload in payloads:
                operators.submit(self._publish_if_possible, record.name, payload)

    def _publish_if_possible(self, name: str, payload: dict[str, object]) -> None:
        # Losing a race, or finding the log down, is an operator's day; anything else
        # would end the future with an error that nobody reads.
        with contextlib.suppress(CeleryforkError):
            self.publish(name, payload)

    async def _call_all(self, arrivals: Sequence[Arrival]) -> None:
        keys = {c.organisation: c.key for c in self.rig.deployment.callers}
        session = make_session()
        callers = Callers(
            session,
            Balancer(self.rig, self.seed).pick,
            keys,
            self.history,
            self.options,
            self.seed,
        )
        began_s = asyncio.get_running_loop().time()
        tasks: list[asyncio.Task[object]] = []
        for arrival in arrivals:
            wait_s = began_s + arrival.at_s - asyncio.get_running_loop().time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            ask = callers.ask(arrival.organisation, arrival.ask)
            tasks.append(asyncio.create_task(ask))
        await asyncio.gather(*tasks)
        await session.close()

    def _act(self, events: Sequence[Event]) -> None:
        for event in events:
            wait_s = self.began_s + event.at_s - time.monotonic()
            if self._stopping.wait(max(0.0, wait_s)):
                return
            self.event_times_s[event.name] = time.monotonic()
            event.do(self)

    def _observe(self) -> None:
        """Note the offsets in force, as an operator's monitoring would."""
        while not self._stopping.wait(BALANCER_CHECK_S):
            now_s = time.monotonic()
            for daemon in self.rig.daemons():
                if daemon.ready:
                    offset = daemon.parts.follower.current.offset
                    seen = OffsetSeen(name_of(daemon), offset, now_s)
                    self.offsets_seen.append(seen)


def name_of(daemon: Daemon) -> str:
    """Return the name of one run of an instance."""
    return str(daemon.parts.incarnation)


def make_field(rig: Rig, seed: int, options: CallerOptions | None = None) -> Field:
    """Return an experiment on a rig that has started."""
    return Field(rig, seed, options or CallerOptions())
