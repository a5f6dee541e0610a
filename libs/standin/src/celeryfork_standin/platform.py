"""The platform's three services on one address, served by one event loop thread."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from aiohttp import web

from celeryfork_standin.background import LoopThread, reset
from celeryfork_standin.instance_list import READER_DOMAIN, InstanceListService
from celeryfork_standin.kept_port import KeptPort
from celeryfork_standin.log_service import LARGEST_RECORD_BYTES, LogService
from celeryfork_standin.weight_store import DEFAULT_BYTES_PER_SECOND, WeightStore

_REQUEST_OVERHEAD_BYTES = 1024 * 1024
_SHUTDOWN_S = 0.1
REACH_POLL_S = 0.02

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformStandin:
    """Log, instance list and weight store of a deployment.

    Parameters
    ----------
    host, port
        Where to listen; port 0 takes a free one.
    client_domains
        Domains that get an address of their own, by which they can be cut off.
    log, instances, weights
        The services' states.
    """

    def __init__(
        self,
        host: str,
        port: int,
        client_domains: Iterable[str],
        log: LogService,
        instances: InstanceListService,
        weights: WeightStore,
    ) -> None:
        self.log = log
        self.instances = instances
        self.weights = weights
        self._host = host
        self._port = port
        self._port_by_domain = dict.fromkeys(client_domains, 0)
        self._domains_cut_off: set[str] = set()
        self._sites: list[web.TCPSite] = []
        self._kept_ports: list[KeptPort] = []
        self._thread = LoopThread("standin-platform")
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base address of all three services; known once started."""
        return f"http://{self._host}:{self._port}"

    def url_for(self, domain: str) -> str:
        """Return the base address for the instances of one failure domain."""
        return f"http://{self._host}:{self._port_by_domain[domain]}"

    def cut_off(self, domain: str, on: bool) -> None:
        """Take the platform out of one domain's reach, or bring it back."""
        if on:
            self._domains_cut_off.add(domain)
        else:
            self._domains_cut_off.discard(domain)

    def down(self, on: bool) -> None:
        """Refuse and reset every connection, or listen on the same ports again."""
        self._thread.run(self._shut() if on else self._listen_everywhere())

    def start(self) -> None:
        """Begin to listen."""
        self._thread.start()
        self._thread.run(self._open())

    def stop(self) -> None:
        """Stop listening and cut every connection."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            self._thread.run(runner.cleanup())
        self._thread.stop()
        for kept in self._kept_ports:
            kept.release()

    async def _open(self) -> None:
        limit = LARGEST_RECORD_BYTES + _REQUEST_OVERHEAD_BYTES
        app = web.Application(client_max_size=limit, middlewares=[self._admit])
        for service in (self.log, self.instances, self.weights):
            service.add_routes(app)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_S, handle_signals=False
        )
        await self._runner.setup()
        self._port = self._keep_port(self._port)
        for domain in self._port_by_domain:
            self._port_by_domain[domain] = self._keep_port(0)
        await self._listen_everywhere()

    def _keep_port(self, port: int) -> int:
        kept = KeptPort(self._host, port)
        self._kept_ports.append(kept)
        return kept.number

    async def _listen_everywhere(self) -> None:
        if self._runner is None or self._sites:
            return
        for port in (self._port, *self._port_by_domain.values()):
            site = web.TCPSite(self._runner, self._host, port, reuse_address=True)
            await site.start()
            self._sites.append(site)

    async def _shut(self) -> None:
        for site in self._sites:
            await site.stop()
        self._sites.clear()
        if self._runner is not None and self._runner.server is not None:
            for connection in self._runner.server.connections:
                reset(connection.transport)

    @web.middleware
    async def _admit(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answer once the caller's domain is within reach, and not before."""
        domain = self._domain_of(request)
        if domain is not None:
            request[READER_DOMAIN] = domain
        await self._wait_until_reachable(domain)
        answer = await handler(request)
        await self._wait_until_reachable(domain)
        return answer

    async def _wait_until_reachable(self, domain: str | None) -> None:
        while domain in self._domains_cut_off:
            await asyncio.sleep(REACH_POLL_S)

    def _domain_of(self, request: web.Request) -> str | None:
        if request.transport is None:
            return None
        port = request.transport.get_extra_info("sockname")[1]
        for domain, own_port in self._port_by_domain.items():
            if own_port == port:
                return domain
        return None


def make_platform(
    host: str = "127.0.0.1",
    seed: int = 0,
    *,
    port: int = 0,
    retention_s: float | None = None,
    appends_per_second: float | None = None,
    weight_bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
    client_domains: Iterable[str] = (),
) -> PlatformStandin:
    """Return a platform stand-in that isn't started yet.

    Parameters
    ----------
    host, port
        Where to listen; port 0 takes a free one.
    seed
        Seed of every random choice.
    retention_s
        Age at which the log drops records, in seconds; None keeps them.
    appends_per_second
        The log's rate cap; None sets none.
    weight_bytes_per_second
        The weight store's budget.
    client_domains
        Domains that get an address of their own, by which they can be cut off.
    """
    return PlatformStandin(
        host,
        port,
        client_domains,
        LogService(seed, retention_s, appends_per_second),
        InstanceListService(),
        WeightStore(weight_bytes_per_second),
    )
