"""Polls engines for their load, at a fixed number of requests per second.

Load reports are delayed; `LoadReport.lag_s` says by how much. Cache events are hints
and may have gaps. The probe polls three groups of engines: those whose load routing
asked for, in the order of asking; those that are leaving, failing or missing from the
instance list, so that a recovery is noticed without risking a request; and, in
rotation, all engines.
"""

import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import orjson
from attrs import define, field
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from logbook import Logger
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from celeryfork_membership.reports import (
    EngineInfo,
    LoadReport,
    parse_engine_info,
    parse_load_report,
)
from celeryfork_membership.targets import Draining, Target, TargetView

__all__ = [
    "EngineInfo",
    "LoadProbe",
    "LoadReport",
    "make_fetch",
    "make_load_probe",
]

DEFAULT_POLLS_PER_S = 2.0
POLL_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 64 * 1024
MAX_PREFIXES_PER_ENGINE = 256
MAX_ENGINES_TRACKED = 2048
MAX_IDLE_CONNECTIONS = 64
POLLS_PER_CACHE_EVENT_POLL = 4
POLLS_PER_INFO_POLL = 8
STOP_TIMEOUT_S = 3.0

_log = Logger("membership")
Fetch = Callable[[str, str], dict[str, Any] | None]


@define(eq=False)
class _EngineRecord:
    """Results of polling one engine."""

    incarnation: int
    polls: int = 0
    report: LoadReport | None = None
    info: EngineInfo | None = None
    next_event: int = 0
    prefixes: OrderedDict[str, None] = field(factory=OrderedDict)


class LoadProbe:
    """Polls engines for their load in a background thread.

    Use `make_load_probe`. Methods that return results are thread-safe.
    """

    def __init__(
        self,
        view: TargetView,
        clock: Clock,
        counters: Counters,
        fetch: Fetch,
        polls_per_s: float,
        domain: str,
    ) -> None:
        self._view = view
        self._clock = clock
        self._counters = counters
        self._fetch = fetch
        self._interval_s = 1 / polls_per_s
        self._domain = domain
        self._records_by_id: OrderedDict[str, _EngineRecord] = OrderedDict()
        self._same_domain_engines: deque[Target] = deque()
        self._other_domain_engines: deque[Target] = deque()
        self._rotation_revision = -1
        self._poll_count = 0
        self._rotation_count = 0
        self._lock = threading.Lock()
        self._requested_ids: OrderedDict[str, None] = OrderedDict()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="probe", daemon=True)

    def load_of(self, target_id: str) -> LoadReport | None:
        """Return the last report of an engine, and queue a poll for a newer one."""
        with self._lock:
            if len(self._requested_ids) < MAX_ENGINES_TRACKED:
                self._requested_ids[target_id] = None
        record = self._records_by_id.get(target_id)
        return None if record is None else record.report

    def engine_info(self, target_id: str) -> EngineInfo | None:
        """Return the last description that an engine gave of itself."""
        record = self._records_by_id.get(target_id)
        return None if record is None else record.info

    def cached_prefixes(self, target_id: str) -> frozenset[str]:
        """Return the prompt prefixes probably cached by an engine."""
        record = self._records_by_id.get(target_id)
        return frozenset() if record is None else frozenset(tuple(record.prefixes))

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        """Return True if an engine has probably cached a prompt prefix."""
        record = self._records_by_id.get(target_id)
        return record is not None and prefix in record.prefixes

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_TIMEOUT_S)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        now_s = self._clock.monotonic()
        ages = [
            record.report.age_s(now_s)
            for record in list(self._records_by_id.values())
            if record.report is not None
        ]
        return {
            "engines": len(self._records_by_id),
            "reports": len(ages),
            "oldest_report_s": max(ages, default=0.0),
        }

    def poll_once(self) -> None:
        """Send one request to the engine to poll next."""
        target = self._next_engine()
        if target is None:
            return
        record = self._record_of(target)
        self._counters.add("probe.polls")
        unhealthy = target.id in self._view.unhealthy_ids()
        if unhealthy or record.polls % POLLS_PER_INFO_POLL == 0:
            self._poll_info(target, record)
        elif (
            record.polls % POLLS_PER_CACHE_EVENT_POLL == POLLS_PER_CACHE_EVENT_POLL - 1
        ):
            self._poll_cache_events(target, record)
        else:
            self._poll_load(target, record)
        record.polls += 1

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            try:
                self.poll_once()
            except Exception:
                self._counters.add("probe.faults")
                _log.exception(
                    "load probe failed unexpectedly; continuing with the next engine"
                )

    def _next_engine(self) -> Target | None:
        """Return the engine to poll next.

        Of four polls one prefers unhealthy engines, one takes the rotation, and two
        prefer requested engines.
        """
        self._poll_count += 1
        if self._poll_count % 4 == 0:
            unhealthy = self._next_unhealthy()
            if unhealthy is not None:
                return unhealthy
        if self._poll_count % 4 != 2:
            requested = self._next_requested()
            if requested is not None:
                return requested
        return self._next_in_rotation()

    def _next_unhealthy(self) -> Target | None:
        ids = self._view.unhealthy_ids()
        target = self._view.get(ids[self._poll_count // 4 % len(ids)]) if ids else None
        return target if target is not None and target.role == "engine" else None

    def _next_requested(self) -> Target | None:
        """Return the engine with the oldest unserved request for its load, if any."""
        with self._lock:
            while self._requested_ids:
                target_id, _ = self._requested_ids.popitem(last=False)
                target = self._view.get(target_id)
                if target is not None:
                    return target
        return None

    def _next_in_rotation(self) -> Target | None:
        """Return the next engine in rotation, None if no engine is known.

        Three of four come from the own domain, if there are engines inside and outside
        it.
        """
        self._rebuild_rotation()
        self._rotation_count += 1
        prefer_same_domain = (
            self._rotation_count % 4 != 0 or not self._other_domain_engines
        )
        queue = (
            self._same_domain_engines
            if self._same_domain_engines and prefer_same_domain
            else self._other_domain_engines
        )
        if not queue:
            return None
        queue.rotate(-1)
        return queue[-1]

    def _rebuild_rotation(self) -> None:
        """Rebuild the rotation if the view has changed."""
        revision = self._view.revision
        if revision == self._rotation_revision:
            return
        self._rotation_revision = revision
        engines = [t for t in self._view.targets() if t.role == "engine"]
        engines.sort(key=self._last_polled_s)
        self._same_domain_engines = deque(
            t for t in engines if t.domain == self._domain
        )
        self._other_domain_engines = deque(
            t for t in engines if t.domain != self._domain
        )

    def _last_polled_s(self, target: Target) -> float:
        record = self._records_by_id.get(target.id)
        if record is None or record.report is None:
            return float("-inf")
        return record.report.received_s

    def _record_of(self, target: Target) -> _EngineRecord:
        record = self._records_by_id.get(target.id)
        if record is None or record.incarnation != target.incarnation:
            record = _EngineRecord(target.incarnation)
            self._records_by_id[target.id] = record
        self._records_by_id.move_to_end(target.id)
        if len(self._records_by_id) > MAX_ENGINES_TRACKED:
            self._records_by_id.popitem(last=False)
        return record

    def _poll_info(self, target: Target, record: _EngineRecord) -> None:
        body = self._fetch(target.address, "/v1/engine")
        if body is None:
            self._counters.add("probe.failed")
            return
        info = parse_engine_info(body)
        if info is None:
            self._counters.add("probe.malformed")
            return
        record.info = info
        if info.state == "leaving":
            self._view.observe(target.id, Draining())
        elif info.state == "live" and info.role == "serve":
            self._view.confirm_live(target.id, target.incarnation)

    def _poll_load(self, target: Target, record: _EngineRecord) -> None:
        body = self._fetch(target.address, "/v1/load")
        if body is None:
            self._counters.add("probe.failed")
            return
        report = parse_load_report(body, self._clock.wall_ms(), self._clock.monotonic())
        if report is None:
            self._counters.add("probe.malformed")
            return
        record.report = report

    def _poll_cache_events(self, target: Target, record: _EngineRecord) -> None:
        path = f"/v1/cache-events?after={record.next_event}"
        body = self._fetch(target.address, path)
        if body is None:
            self._counters.add("probe.failed")
            return
        try:
            for event in body["events"]:
                _apply_cache_event(record.prefixes, event)
            record.next_event = int(body["next"])
        except (KeyError, TypeError, ValueError):
            self._counters.add("probe.malformed")


def make_load_probe(
    view: TargetView,
    clock: Clock,
    counters: Counters,
    *,
    polls_per_s: float = DEFAULT_POLLS_PER_S,
    domain: str = "",
    fetch: Fetch | None = None,
) -> LoadProbe:
    """Return a probe that has not been started.

    Parameters
    ----------
    view
        Source of the engines; also notified if an engine is leaving or live again.
    clock, counters
        Clock and counters of the instance.
    polls_per_s
        Requests per second to all engines together.
    domain
        Failure domain of the instance, whose engines are polled more often.
    fetch
        Returns the JSON object at (address, path), None on failure.
    """
    chosen = fetch if fetch is not None else make_fetch()
    return LoadProbe(view, clock, counters, chosen, polls_per_s, domain)


def make_fetch() -> Fetch:
    """Return a function that fetches JSON objects over HTTP."""
    pool = PoolManager(
        num_pools=MAX_IDLE_CONNECTIONS,
        maxsize=1,
        retries=False,
        timeout=Timeout(total=POLL_TIMEOUT_S),
    )

    def fetch(address: str, path: str) -> dict[str, Any] | None:
        try:
            response = pool.request("GET", f"http://{address}{path}")
        except HTTPError:
            return None
        if response.status != 200 or len(response.data) > MAX_RESPONSE_BYTES:
            return None
        try:
            body = orjson.loads(response.data)
        except orjson.JSONDecodeError:
            return None
        return body if isinstance(body, dict) else None

    return fetch


def _apply_cache_event(prefixes: OrderedDict[str, None], event: dict[str, Any]) -> None:
    prefix = str(event["prefix"])
    if event["kind"] == "stored":
        prefixes[prefix] = None
        prefixes.move_to_end(prefix)
        if len(prefixes) > MAX_PREFIXES_PER_ENGINE:
            prefixes.popitem(last=False)
    elif event["kind"] == "evicted":
        prefixes.pop(prefix, None)
