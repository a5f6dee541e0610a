"""Requests in flight at engines: this instance's own, and what its peers said."""

from collections.abc import Container, Mapping
from itertools import pairwise

from attrs import define, field, frozen

from celeryfork_routing.layers import LayerRange

PEER_REPORT_TTL_S = 2.5
"""Time after which a peer's report counts no more: two of the longer intervals."""
PREFILL_SUFFIX = "|reading"
"""End of the keys under which prompts are counted that have yet to cross a pipe."""


@frozen
class Part:
    """The layers that one engine runs for a request."""

    engine_id: str
    address: str
    layers: LayerRange
    domain: str = ""


@frozen
class LayerPath:
    """Engines that together run every layer once, in order.

    Parameters
    ----------
    predicted_ms
        Duration of the request over them, as predicted when they were chosen.
    """

    parts: tuple[Part, ...]
    predicted_ms: float = 0.0

    @property
    def engine_ids(self) -> tuple[str, ...]:
        """Return the engines' ids in order."""
        return tuple(part.engine_id for part in self.parts)

    def describe(self) -> str:
        """Return the path for the log."""
        return " ".join(
            f"{part.domain}/{part.engine_id}={part.layers.first}-{part.layers.last}"
            for part in self.parts
        )


@frozen
class Load:
    """Work in flight at one engine, or over one pipe between domains.

    Parameters
    ----------
    requests
        Number of requests.
    token_layers
        Memory reserved for them, in tokens x layers.
    """

    requests: int = 0
    token_layers: float = 0.0


@define
class _PeerReport:
    received_s: float
    load_by_engine: Mapping[str, Load]


@define
class EngineLoads:
    """The ledger of work in flight.

    The sum over all reports is kept up to date, so that a choice costs no more with
    hundreds of peers.

    Parameters
    ----------
    prefilling
        Number of this instance's requests that engines have yet to read.
    """

    prefilling: int = 0
    _own_by_engine: dict[str, list[float]] = field(factory=dict)
    _prefilling_by_engine: dict[str, list[float]] = field(factory=dict)
    _reports_by_peer: dict[str, _PeerReport] = field(factory=dict)
    _sum_by_engine: dict[str, list[float]] = field(factory=dict)

    def begin(self, path: LayerPath, tokens: float) -> None:
        """Count a request of ``tokens`` tokens on each part and pipe of ``path``."""
        for key, layers in _usage(path):
            _add(self._own_by_engine, key, tokens * layers)

    def end(self, path: LayerPath, tokens: float) -> None:
        """Undo one :meth:`begin` with the same arguments."""
        for key, layers in _usage(path):
            _subtract(self._own_by_engine, key, tokens * layers)

    def begin_prefill(self, path: LayerPath, prompt: float, tokens: float) -> None:
        """Count a request that engines have yet to read and pipes to carry.

        Peers are told of the pipes only: an engine has read it before they would hear.

        Parameters
        ----------
        prompt, tokens
            Tokens that pipes carry, and those that engines reserve memory for.
        """
        self.prefilling += 1
        for part in path.parts:
            _add(self._prefilling_by_engine, part.engine_id, tokens * part.layers.count)
        for domain, following in _crossings(path):
            _add(self._own_by_engine, prefill_key(domain, following), prompt)

    def end_prefill(self, path: LayerPath, prompt: float, tokens: float) -> None:
        """Undo one :meth:`begin_reading` with the same arguments."""
        self.prefilling -= 1
        for part in path.parts:
            held = tokens * part.layers.count
            _subtract(self._prefilling_by_engine, part.engine_id, held)
        for domain, following in _crossings(path):
            _subtract(self._own_by_engine, prefill_key(domain, following), prompt)

    def own_loads(self) -> dict[str, Load]:
        """Return this instance's own work by engine."""
        return {
            engine_id: Load(int(requests), round(token_layers))
            for engine_id, (requests, token_layers) in self._own_by_engine.items()
        }

    def set_peer_report(
        self, peer: str, load_by_engine: Mapping[str, Load], now_s: float
    ) -> None:
        """Take a peer's report of its own work in place of its last one."""
        self.drop_peer_report(peer)
        self._reports_by_peer[peer] = _PeerReport(now_s, load_by_engine)
        self._add_to_sum(load_by_engine, 1)

    def drop_peer_report(self, peer: str) -> None:
        """Drop a peer's last report."""
        report = self._reports_by_peer.pop(peer, None)
        if report is not None:
            self._add_to_sum(report.load_by_engine, -1)

    def loads_reported_by(self, peers: Container[str], now_s: float) -> dict[str, Load]:
        """Return the work that some peers have told, by engine."""
        self._drop_expired(now_s)
        total: dict[str, list[float]] = {}
        for peer, report in self._reports_by_peer.items():
            if peer in peers:
                _add_loads(total, report.load_by_engine, 1)
        return _as_loads(total)

    def total_loads(
        self, now_s: float, link_sharers: int = 1, engine_sharers: int = 1
    ) -> dict[str, Load]:
        """Return all known work by engine.

        Where a loss strikes all instances at once, each is taken to have sent as much
        as this one that it hasn't told yet, and to send one more with it.

        Parameters
        ----------
        instances, neighbours
            Instances that share the pipes, and that share the engines.
        """
        self._drop_expired(now_s)
        total = {key: list(told) for key, told in self._sum_by_engine.items()}
        own = self.own_loads()
        _add_loads(total, own, 1)
        for key, load in own.items():
            if key.endswith(PREFILL_SUFFIX):
                total[key][1] = max(total[key][1], load.token_layers * link_sharers)
        for engine_id, (requests, token_layers) in self._prefilling_by_engine.items():
            entry = total.setdefault(engine_id, [0, 0.0])
            likely = (requests + 1) * (engine_sharers - 1)
            entry[0] += likely
            entry[1] += likely * token_layers / requests
        return _as_loads(total)

    def _drop_expired(self, now_s: float) -> None:
        for peer, report in list(self._reports_by_peer.items()):
            if now_s - report.received_s > PEER_REPORT_TTL_S:
                self.drop_peer_report(peer)

    def _add_to_sum(self, load_by_engine: Mapping[str, Load], sign: int) -> None:
        _add_loads(self._sum_by_engine, load_by_engine, sign)
        if sign < 0:
            for engine_id in load_by_engine:
                if self._sum_by_engine[engine_id][0] <= 0:
                    del self._sum_by_engine[engine_id]


def _add(ledger: dict[str, list[float]], key: str, token_layers: float) -> None:
    entry = ledger.setdefault(key, [0, 0.0])
    entry[0] += 1
    entry[1] += token_layers


def _subtract(ledger: dict[str, list[float]], key: str, token_layers: float) -> None:
    entry = ledger[key]
    entry[0] -= 1
    entry[1] -= token_layers
    if entry[0] <= 0:
        del ledger[key]


def subtract_loads(
    load_by_engine: Mapping[str, Load], own: Mapping[str, Load]
) -> dict[str, Load]:
    """Return loads without a part of them that is counted elsewhere."""
    rest = dict(load_by_engine)
    for engine_id, part in own.items():
        whole = rest.get(engine_id)
        if whole is not None:
            rest[engine_id] = Load(
                max(0, whole.requests - part.requests),
                max(0.0, whole.token_layers - part.token_layers),
            )
    return rest


def _add_loads(
    total: dict[str, list[float]], load_by_engine: Mapping[str, Load], sign: int
) -> None:
    for engine_id, load in load_by_engine.items():
        entry = total.setdefault(engine_id, [0, 0.0])
        entry[0] += sign * load.requests
        entry[1] += sign * load.token_layers


def _as_loads(total: Mapping[str, list[float]]) -> dict[str, Load]:
    return {key: Load(int(n), layers) for key, (n, layers) in total.items()}


def link_key(domain: str, other: str) -> str:
    """Return the key under which the pipe between two domains is counted."""
    return "|".join(sorted((domain, other)))


def prefill_key(domain: str, other: str) -> str:
    """Return the key under which prompts that have yet to cross a pipe are counted."""
    return link_key(domain, other) + PREFILL_SUFFIX


def _usage(path: LayerPath) -> list[tuple[str, int]]:
    """Return the engines and pipes of a path, each with the layers it holds."""
    uses = [(part.engine_id, part.layers.count) for part in path.parts]
    uses.extend((link_key(*crossing), 1) for crossing in _crossings(path))
    return uses


def _crossings(path: LayerPath) -> list[tuple[str, str]]:
    """Return the domains on both sides of each pipe of a path."""
    return [
        (part.domain, following.domain)
        for part, following in pairwise(path.parts)
        if part.domain != following.domain
    ]
