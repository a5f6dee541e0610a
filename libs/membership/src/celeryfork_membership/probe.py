"""Asks engines for their load, at a bounded number of requests a second.

Reports are late: `LoadReport` carries how late. Cache events are hints and may have
gaps. Asked are the engines whose load routing wants to know, the longest ago first;
those that are leaving or failing, so that one that takes work again is noticed without
a request being risked on it; and now and then any other.
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
    engine_info_of,
    load_report_of,
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
LARGEST_ANSWER_BYTES = 64 * 1024
MOST_PREFIXES_PER_TARGET = 256
MOST_TARGETS_REMEMBERED = 2048
MOST_IDLE_CONNECTIONS = 64
POLLS_PER_CACHE_EVENTS = 4
POLLS_PER_ENGINE_INFO = 8
STOP_WAIT_S = 3.0

_log = Logger("membership")
Fetch = Callable[[str, str], dict[str, Any] | None]


@define(eq=False)
class _Probed:
    """What was learned of one engine."""

    incarnation: int
    polls: int = 0
    report: LoadReport | None = None
    info: EngineInfo | None = None
    next_event: int = 0
    prefixes: OrderedDict[str, None] = field(factory=OrderedDict)


class LoadProbe:
    """The thread that asks engines for their load.

    Use `make_load_probe`. Reading methods may be called from any thread.
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
        self._pause_s = 1 / polls_per_s
        self._domain = domain
        self._probed_by_id: OrderedDict[str, _Probed] = OrderedDict()
        self._near: deque[Target] = deque()
        self._far: deque[Target] = deque()
        self._queued_revision = -1
        self._turn = 0
        self._in_turn = 0
        self._lock = threading.Lock()
        self._wanted_ids: OrderedDict[str, None] = OrderedDict()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="probe", daemon=True)

    def load_of(self, target_id: str) -> LoadReport | None:
        """Return the newest report of an engine, and ask for a newer one in turn."""
        with self._lock:
            if len(self._wanted_ids) < MOST_TARGETS_REMEMBERED:
                self._wanted_ids[target_id] = None
        probed = self._probed_by_id.get(target_id)
        return None if probed is None else probed.report

    def engine_info(self, target_id: str) -> EngineInfo | None:
        """Return what an engine said of itself."""
        probed = self._probed_by_id.get(target_id)
        return None if probed is None else probed.info

    def cached_prefixes(self, target_id: str) -> frozenset[str]:
        """Return the prompt prefixes that an engine seems to keep; a hint."""
        probed = self._probed_by_id.get(target_id)
        return frozenset() if probed is None else frozenset(tuple(probed.prefixes))

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        """Return whether an engine seems to keep a prompt prefix; a hint."""
        probed = self._probed_by_id.get(target_id)
        return probed is not None and prefix in probed.prefixes

    def start(self) -> None:
        """Begin to ask in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Stop asking."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_WAIT_S)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        now_s = self._clock.monotonic()
        ages = [
            probed.report.age_s(now_s)
            for probed in list(self._probed_by_id.values())
            if probed.report is not None
        ]
        return {
            "engines": len(self._probed_by_id),
            "reports": len(ages),
            "oldest_report_s": max(ages, default=0.0),
        }

    def poll_once(self) -> None:
        """Ask the engine whose turn it is one question."""
        target = self._next()
        if target is None:
            return
        probed = self._remember(target)
        self._counters.add("probe.polls")
        ailing = target.id in self._view.unhealthy_ids()
        if ailing or probed.polls % POLLS_PER_ENGINE_INFO == 0:
            self._ask_info(target, probed)
        elif probed.polls % POLLS_PER_CACHE_EVENTS == POLLS_PER_CACHE_EVENTS - 1:
            self._ask_cache_events(target, probed)
        else:
            self._ask_load(target, probed)
        probed.polls += 1

    def _run(self) -> None:
        while not self._stopping.wait(self._pause_s):
            try:
                self.poll_once()
            except Exception:
                self._counters.add("probe.faults")
                _log.exception("the load probe goes on after a fault")

    def _next(self) -> Target | None:
        """Return the engine to ask: an ailing one, one in turn, or one wanted."""
        self._turn += 1
        if self._turn % 4 == 0:
            ailing = self._next_ailing()
            if ailing is not None:
                return ailing
        if self._turn % 4 != 2:
            wanted = self._next_wanted()
            if wanted is not None:
                return wanted
        return self._next_in_turn()

    def _next_ailing(self) -> Target | None:
        ids = self._view.unhealthy_ids()
        target = self._view.get(ids[self._turn // 4 % len(ids)]) if ids else None
        return target if target is not None and target.role == "engine" else None

    def _next_wanted(self) -> Target | None:
        """Return the engine whose load was asked for the longest ago."""
        with self._lock:
            while self._wanted_ids:
                target_id, _ = self._wanted_ids.popitem(last=False)
                target = self._view.get(target_id)
                if target is not None:
                    return target
        return None

    def _next_in_turn(self) -> Target | None:
        """Return the next of all engines, mostly of the own domain."""
        self._refill()
        self._in_turn += 1
        near_first = self._in_turn % 4 != 0 or not self._far
        queue = self._near if self._near and near_first else self._far
        if not queue:
            return None
        queue.rotate(-1)
        return queue[-1]

    def _refill(self) -> None:
        """Rebuild the rotation after a change of the view."""
        revision = self._view.revision
        if revision == self._queued_revision:
            return
        self._queued_revision = revision
        engines = [t for t in self._view.targets() if t.role == "engine"]
        engines.sort(key=self._last_polled_s)
        self._near = deque(t for t in engines if t.domain == self._domain)
        self._far = deque(t for t in engines if t.domain != self._domain)

    def _last_polled_s(self, target: Target) -> float:
        probed = self._probed_by_id.get(target.id)
        if probed is None or probed.report is None:
            return float("-inf")
        return probed.report.received_s

    def _remember(self, target: Target) -> _Probed:
        probed = self._probed_by_id.get(target.id)
        if probed is None or probed.incarnation != target.incarnation:
            probed = _Probed(target.incarnation)
            self._probed_by_id[target.id] = probed
        self._probed_by_id.move_to_end(target.id)
        if len(self._probed_by_id) > MOST_TARGETS_REMEMBERED:
            self._probed_by_id.popitem(last=False)
        return probed

    def _ask_info(self, target: Target, probed: _Probed) -> None:
        answer = self._fetch(target.address, "/v1/engine")
        if answer is None:
            self._counters.add("probe.failed")
            return
        info = engine_info_of(answer)
        if info is None:
            self._counters.add("probe.malformed")
            return
        probed.info = info
        if info.state == "leaving":
            self._view.observe(target.id, Draining())
        elif info.state == "live" and info.role == "serve":
            self._view.confirm_live(target.id, target.incarnation)

    def _ask_load(self, target: Target, probed: _Probed) -> None:
        answer = self._fetch(target.address, "/v1/load")
        if answer is None:
            self._counters.add("probe.failed")
            return
        report = load_report_of(answer, self._clock.wall_ms(), self._clock.monotonic())
        if report is None:
            self._counters.add("probe.malformed")
            return
        probed.report = report

    def _ask_cache_events(self, target: Target, probed: _Probed) -> None:
        path = f"/v1/cache-events?after={probed.next_event}"
        answer = self._fetch(target.address, path)
        if answer is None:
            self._counters.add("probe.failed")
            return
        try:
            for event in answer["events"]:
                _apply_cache_event(probed.prefixes, event)
            probed.next_event = int(answer["next"])
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
    """Return a probe that has not started.

    Parameters
    ----------
    view
        Where the engines come from.
    clock, counters
        Shared parts of the instance.
    polls_per_s
        Requests a second to all engines together.
    domain
        The instance's failure domain, whose engines are asked more often.
    fetch
        Gets a JSON object from (address, path), None if it can't be had.
    """
    chosen = fetch if fetch is not None else make_fetch()
    return LoadProbe(view, clock, counters, chosen, polls_per_s, domain)


def make_fetch() -> Fetch:
    """Return a function that gets JSON objects over HTTP."""
    pool = PoolManager(
        num_pools=MOST_IDLE_CONNECTIONS,
        maxsize=1,
        retries=False,
        timeout=Timeout(total=POLL_TIMEOUT_S),
    )

    def fetch(address: str, path: str) -> dict[str, Any] | None:
        try:
            response = pool.request("GET", f"http://{address}{path}")
        except HTTPError:
            return None
        if response.status != 200 or len(response.data) > LARGEST_ANSWER_BYTES:
            return None
        try:
            answer = orjson.loads(response.data)
        except orjson.JSONDecodeError:
            return None
        return answer if isinstance(answer, dict) else None

    return fetch


def _apply_cache_event(prefixes: OrderedDict[str, None], event: dict[str, Any]) -> None:
    prefix = str(event["prefix"])
    if event["kind"] == "stored":
        prefixes[prefix] = None
        prefixes.move_to_end(prefix)
        if len(prefixes) > MOST_PREFIXES_PER_TARGET:
            prefixes.popitem(last=False)
    elif event["kind"] == "evicted":
        prefixes.pop(prefix, None)
