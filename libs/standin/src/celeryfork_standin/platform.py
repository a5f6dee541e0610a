"""The platform's three services on one address, served by one event loop thread."""

from aiohttp import web

from celeryfork_standin.background import LoopThread
from celeryfork_standin.instance_list import InstanceListService
from celeryfork_standin.log_service import LARGEST_RECORD_BYTES, LogService
from celeryfork_standin.weight_store import DEFAULT_BYTES_PER_SECOND, WeightStore

_REQUEST_OVERHEAD_BYTES = 1024 * 1024
_SHUTDOWN_S = 0.1


class PlatformStandin:
    """Log, instance list and weight store of a deployment.

    Parameters
    ----------
    host, port
        Where to listen; port 0 takes a free one.
    log, instances, weights
        The services' states.
    """

    def __init__(
        self,
        host: str,
        port: int,
        log: LogService,
        instances: InstanceListService,
        weights: WeightStore,
    ) -> None:
        self.log = log
        self.instances = instances
        self.weights = weights
        self._host = host
        self._port = port
        self._thread = LoopThread("standin-platform")
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base address of all three services; known once started."""
        return f"http://{self._host}:{self._port}"

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

    async def _open(self) -> None:
        limit = LARGEST_RECORD_BYTES + _REQUEST_OVERHEAD_BYTES
        app = web.Application(client_max_size=limit)
        for service in (self.log, self.instances, self.weights):
            service.add_routes(app)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_S, handle_signals=False
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]


def make_platform(
    host: str = "127.0.0.1",
    seed: int = 0,
    *,
    port: int = 0,
    retention_s: float | None = None,
    appends_per_second: float | None = None,
    weight_bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
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
    """
    return PlatformStandin(
        host,
        port,
        LogService(seed, retention_s, appends_per_second),
        InstanceListService(),
        WeightStore(weight_bytes_per_second),
    )
