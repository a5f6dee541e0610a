"""Polls the instance list and passes it to the target view and to gossip."""

import threading
from random import Random
from typing import TYPE_CHECKING, Protocol

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError
from logbook import Logger

from celeryfork_membership.gossip import Gossip
from celeryfork_membership.targets import TargetView

if TYPE_CHECKING:
    from celeryfork_platform.model import InstanceList

FETCH_TIMEOUT_S = 2.0
MAX_BACKOFF_FACTOR = 8.0
LIST_BYTES_PER_INSTANCE = 220
LIST_BYTES_PER_S = 1800
FLEET_POLLS_PER_INTERVAL = 2
STOP_TIMEOUT_S = 3.0

_log = Logger("membership")


class InstanceListClient(Protocol):
    """Fetches the instance list."""

    def fetch(self, timeout_s: float) -> "InstanceList":
        """Return the current list of the platform."""


class InstanceListPoller:
    """Polls the instance list in a background thread.

    Use `make_instance_list_poller`.
    """

    def __init__(
        self,
        list_client: InstanceListClient,
        view: TargetView,
        gossip: Gossip,
        clock: Clock,
        counters: Counters,
        poll_s: float,
    ) -> None:
        self._list_client = list_client
        self._view = view
        self._gossip = gossip
        self._clock = clock
        self._counters = counters
        self._poll_s = poll_s
        self._failures = 0
        self._fetched_s: float | None = None
        self._instance_count = 0
        self._random = Random()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watch", daemon=True)

    @property
    def fetched(self) -> bool:
        """True if the list has been fetched at least once."""
        return self._fetched_s is not None

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_TIMEOUT_S)

    def poll_once(self) -> bool:
        """Fetch the list once; return True on success."""
        try:
            instances = self._list_client.fetch(FETCH_TIMEOUT_S)
        except CeleryforkError as error:
            self._record_failure(error)
            return False
        self._counters.add("watch.fetched")
        if self._failures:
            _log.info("instance list available again")
        self._failures = 0
        self._fetched_s = self._clock.monotonic()
        self._instance_count = len(instances.by_id)
        self._view.update_from_list(instances)
        self._gossip.add_seeds(_peer_addresses(instances))
        return True

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        fetched_s = self._fetched_s
        age_s = None if fetched_s is None else self._clock.monotonic() - fetched_s
        return {"failures": self._failures, "age_s": age_s}

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.poll_once()
            except Exception as error:
                self._record_failure(error)
            self._stopping.wait(self._next_wait_s())

    def _record_failure(self, error: Exception) -> None:
        self._counters.add("watch.failed")
        if not self._failures:
            _log.warning(
                "instance list unavailable; using the last list fetched: {}", error
            )
        self._failures += 1

    def _next_wait_s(self) -> float:
        factor = min(2.0**self._failures, MAX_BACKOFF_FACTOR)
        return self._interval_s() * factor * self._random.uniform(0.8, 1.2)

    def _interval_s(self) -> float:
        """Return the mean time in seconds between polls, at least ``poll_s``.

        It grows with the length of the list, so that this instance fetches no more than
        about `LIST_BYTES_PER_S` (`LIST_BYTES_PER_INSTANCE` per instance listed). It
        grows only so far that all instances together still make
        `FLEET_POLLS_PER_INTERVAL` polls per ``poll_s``. That is enough, as the first
        instance to see a new target announces it to its peers.
        """
        list_bytes = self._instance_count * LIST_BYTES_PER_INSTANCE
        instances = 1 + len(self._gossip.peers_by_instance)
        traffic_limited_s = list_bytes / LIST_BYTES_PER_S
        fleet_interval_s = self._poll_s * instances / FLEET_POLLS_PER_INTERVAL
        return max(self._poll_s, min(traffic_limited_s, fleet_interval_s))


def make_instance_list_poller(
    list_client: InstanceListClient,
    view: TargetView,
    gossip: Gossip,
    clock: Clock,
    counters: Counters,
    poll_s: float,
) -> InstanceListPoller:
    """Return a poller that has not been started.

    Parameters
    ----------
    list_client
        Fetches the list.
    view, gossip
        Receivers of the list.
    clock, counters
        Clock and counters of the instance.
    poll_s
        Mean time between polls in seconds; it is longer for a long list and after
        failures. Each wait varies by 20 %.
    """
    return InstanceListPoller(list_client, view, gossip, clock, counters, poll_s)


def _peer_addresses(instances: "InstanceList") -> list[str]:
    """Return the peer addresses of the live entry instances in the list."""
    addresses = (
        instance.attributes.get("peer_address")
        for instance in instances.by_id.values()
        if instance.role == "entry" and instance.state == "live"
    )
    return [address for address in addresses if isinstance(address, str)]
