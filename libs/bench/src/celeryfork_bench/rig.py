"""A whole deployment in one process: stand-ins around real entry instances."""

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256
from typing import Any

from attrs import define, field, frozen
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError, PeerUnavailableError
from celeryfork_config.publisher import make_publisher
from celeryfork_config.settings import PlatformSettings, Settings, StopSettings
from celeryfork_daemon.entry import Daemon, make_daemon
from celeryfork_platform.log import make_log_client
from celeryfork_standin.deployment import Deployment, EntrySpec
from celeryfork_standin.engine import EngineFleet
from celeryfork_standin.instance_list import ListedInstance
from celeryfork_standin.platform import PlatformStandin
from celeryfork_standin.service import ServiceFleet
from celeryfork_standin.standins import Standins, make_standins
from celeryfork_streams.loop_thread import LoopThread, make_loop_thread

HOST = "127.0.0.1"
ADMINISTRATOR_KEY = "administrator-of-the-rig"
TICKET_SECRET = "a ticket secret for stand-ins only"
READY_TIMEOUT_S = 30.0
POLL_S = 0.02


class RigNotReadyError(CeleryforkError):
    """Something in the rig did not get ready in time."""


@frozen
class RigOptions:
    """How the entry instances of a rig are run.

    Parameters
    ----------
    http_threads
        Threads of each entry instance's HTTP server.
    notice_s
        How long a stopping instance serves on, in seconds.
    """

    http_threads: int = 12
    notice_s: float = 0.5


def wait_until(what: str, condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds.

    Raises
    ------
    RigNotReadyError
        It did not hold in time.
    """
    ends_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_s:
            raise RigNotReadyError(
                f"{what} was not so after {timeout_s} s.", "see the state dump"
            )
        time.sleep(POLL_S)


@define(eq=False)
class Rig:
    """Stand-ins and entry instances; create it with ``make_rig``."""

    deployment: Deployment
    standins: Standins
    options: RigOptions
    loop_thread: LoopThread = field(factory=make_loop_thread)
    daemons_by_name: dict[str, Daemon] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)
    _domains_without_peers: set[str] = field(factory=set)

    @property
    def platform(self) -> PlatformStandin:
        """The platform stand-in."""
        return self.standins.platform

    @property
    def engines(self) -> EngineFleet:
        """The engine stand-ins."""
        return self.standins.engines

    @property
    def services(self) -> ServiceFleet:
        """The stand-ins of plain services."""
        return self.standins.services

    def start(self) -> None:
        """Start everything and wait until every entry instance is ready."""
        self.standins.start()
        self.loop_thread.start()
        for entry in self.deployment.entries:
            self.start_entry(entry)
        self.wait_ready()

    def stop(self) -> None:
        """Stop everything; entry instances are ended without notice."""
        with self._lock:
            daemons = list(self.daemons_by_name.values())
            self.daemons_by_name.clear()
        with ThreadPoolExecutor(max_workers=max(1, len(daemons))) as executor:
            list(executor.map(lambda daemon: daemon.kill(), daemons))
        self.loop_thread.stop()
        self.standins.stop()

    def publish(self, records: Sequence[Mapping[str, Any]]) -> int:
        """Publish configuration records and return the last offset."""
        clock = SystemClock()
        log = make_log_client(self.platform.url, clock, Counters())
        publisher = make_publisher(log, clock)
        offset = -1
        for record in records:
            offset = publisher.publish(
                record["name"], record.get("schema", 1), record["payload"]
            )
        return offset

    def start_entry(self, entry: EntrySpec) -> Daemon:
        """Start one entry instance and put it into the instance list."""
        daemon = make_daemon(self._settings_of(entry), self.loop_thread)
        self._put_switch(daemon)
        daemon.start()
        with self._lock:
            self.daemons_by_name[entry.id] = daemon
        self.platform.instances.put(
            ListedInstance(
                id=entry.id,
                role="entry",
                target="celeryfork",
                domain=entry.domain,
                address=daemon.http_address,
                incarnation=daemon.parts.incarnation.started_ms,
                attributes={"peer_address": daemon.peer_address},
            )
        )
        return daemon

    def stop_entry(self, name: str) -> int:
        """Stop one entry instance gracefully and return its exit code."""
        self.platform.instances.leave(name)
        exit_code = self.daemons_by_name[name].drain_and_stop()
        with self._lock:
            del self.daemons_by_name[name]
        self.platform.instances.remove(name)
        return exit_code

    def kill_entry(self, name: str) -> None:
        """End one entry instance without notice."""
        with self._lock:
            daemon = self.daemons_by_name.pop(name)
        daemon.kill()
        self.platform.instances.remove(name)

    def cut_off_peers(self, domain: str, on: bool) -> None:
        """Cut a domain's entry instances off from those of other domains, or heal it.

        These connections don't pass through the stand-ins, so they are cut at the
        clients. A call that is under way when the cut begins is still answered.
        """
        if on:
            self._domains_without_peers.add(domain)
        else:
            self._domains_without_peers.discard(domain)

    def daemons(self) -> list[Daemon]:
        """Return the entry instances that run."""
        with self._lock:
            return list(self.daemons_by_name.values())

    def wait_ready(self) -> None:
        """Wait until each entry instance is ready and knows all of its peers."""
        daemons = self.daemons()
        wait_until(
            "every entry instance ready",
            lambda: all(daemon.ready for daemon in daemons),
            READY_TIMEOUT_S,
        )
        wait_until(
            "every entry instance in touch with its peers",
            lambda: all(
                len(daemon.parts.membership.fleet.serving()) >= len(daemons)
                for daemon in daemons
            ),
            READY_TIMEOUT_S,
        )

    def wait_in_force(self, offset: int, timeout_s: float) -> float:
        """Wait until an offset is in force everywhere; return how long it took."""
        began_s = time.monotonic()
        wait_until(
            f"offset {offset} in force",
            lambda: all(
                daemon.parts.follower.current.offset >= offset
                for daemon in self.daemons()
            ),
            timeout_s,
        )
        return time.monotonic() - began_s

    def _put_switch(self, daemon: Daemon) -> None:
        """Have an instance's calls to its peers fail where they are cut off."""
        pool, own = daemon.parts.membership.pool, daemon.settings.domain
        reach = pool.call

        def call(address: str, *arguments: Any, **options: Any) -> Any:
            if self._are_cut(own, address):
                raise PeerUnavailableError(
                    f"Peer {address} is cut off.", "heal the partition", sent=False
                )
            return reach(address, *arguments, **options)

        # The pool is the one thing that all calls to peers go through.
        pool.call = call  # type: ignore[method-assign]

    def _are_cut(self, domain: str, address: str) -> bool:
        cut = self._domains_without_peers
        other = next(
            (d.settings.domain for d in self.daemons() if d.peer_address == address),
            None,
        )
        return domain != other and (domain in cut or other in cut)

    def _settings_of(self, entry: EntrySpec) -> Settings:
        url = self.platform.url_for(entry.domain)
        return Settings(
            instance=entry.id,
            domain=entry.domain,
            platform=PlatformSettings(log_url=url, instances_url=url, weights_url=url),
            http_host=HOST,
            http_port=0,
            peer_host=HOST,
            peer_port=0,
            peers=tuple(daemon.peer_address for daemon in self.daemons()[:2]),
            administrator_key_sha256=sha256(ADMINISTRATOR_KEY.encode()).hexdigest(),
            ticket_secret=TICKET_SECRET,
            http_threads=self.options.http_threads,
            stop=StopSettings(notice_s=self.options.notice_s, most_stop_s=60.0),
        )


def make_rig(
    deployment: Deployment, options: RigOptions | None = None, seed: int | None = None
) -> Rig:
    """Return a rig that has yet to be started.

    Parameters
    ----------
    seed
        Seed of the stand-ins; None takes the deployment's.
    """
    standins = make_standins(deployment, seed=seed)
    return Rig(deployment, standins, options or RigOptions())
