"""Requests in flight at engines: this instance's own, and what its peers said."""

from collections.abc import Container, Mapping

from attrs import define, field, frozen

from celeryfork_routing.layers import LayerRange

PEER_REPORT_LIFE_S = 2.5
"""Time after which a peer's report counts no more: two of the longer intervals."""


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
    heard_s: float
    load_by_engine: Mapping[str, Load]


@define
class EngineLoads:
    """The ledger of work in flight.

    The sum over all reports is kept up to date, so that a choice costs no more with
    hundreds of peers.
    """

    _own_by_engine: dict[str, list[float]] = field(factory=dict)
    _reports_by_peer: dict[str, _PeerReport] = field(factory=dict)
    _sum_by_engine: dict[str, list[float]] = field(factory=dict)

    def begin(self, path: LayerPath, tokens: float) -> None:
        """Count a request of ``tokens`` tokens on each part and pipe of ``path``."""
        for key, layers in _uses(path):
            own = self._own_by_engine.setdefault(key, [0, 0.0])
            own[0] += 1
            own[1] += tokens * layers

    def end(self, path: LayerPath, tokens: float) -> None:
        """Undo one :meth:`begin` with the same arguments."""
        for key, layers in _uses(path):
            own = self._own_by_engine[key]
            own[0] -= 1
            own[1] -= tokens * layers
            if own[0] <= 0:
                del self._own_by_engine[key]

    def own(self) -> dict[str, Load]:
        """Return this instance's own work by engine."""
        return {
            engine_id: Load(int(requests), round(token_layers))
            for engine_id, (requests, token_layers) in self._own_by_engine.items()
        }

    def hear(self, peer: str, load_by_engine: Mapping[str, Load], now_s: float) -> None:
        """Take a peer's report of its own work in place of its last one."""
        self.forget(peer)
        self._reports_by_peer[peer] = _PeerReport(now_s, load_by_engine)
        self._add(load_by_engine, 1)

    def forget(self, peer: str) -> None:
        """Drop a peer's last report."""
        report = self._reports_by_peer.pop(peer, None)
        if report is not None:
            self._add(report.load_by_engine, -1)

    def reported(self, peers: Container[str], now_s: float) -> dict[str, Load]:
        """Return the work that some peers have told, by engine."""
        self._drop_old(now_s)
        total: dict[str, list[float]] = {}
        for peer, report in self._reports_by_peer.items():
            if peer in peers:
                _sum_up(total, report.load_by_engine, 1)
        return _as_loads(total)

    def total(self, now_s: float) -> dict[str, Load]:
        """Return all known work by engine."""
        self._drop_old(now_s)
        total = {key: list(told) for key, told in self._sum_by_engine.items()}
        _sum_up(total, self.own(), 1)
        return _as_loads(total)

    def _drop_old(self, now_s: float) -> None:
        for peer, report in list(self._reports_by_peer.items()):
            if now_s - report.heard_s > PEER_REPORT_LIFE_S:
                self.forget(peer)

    def _add(self, load_by_engine: Mapping[str, Load], sign: int) -> None:
        _sum_up(self._sum_by_engine, load_by_engine, sign)
        if sign < 0:
            for engine_id in load_by_engine:
                if self._sum_by_engine[engine_id][0] <= 0:
                    del self._sum_by_engine[engine_id]


def less(
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


def _sum_up(
    total: dict[str, list[float]], load_by_engine: Mapping[str, Load], sign: int
) -> None:
    for engine_id, load in load_by_engine.items():
        entry = total.setdefault(engine_id, [0, 0.0])
        entry[0] += sign * load.requests
        entry[1] += sign * load.token_layers


def _as_loads(total: Mapping[str, list[float]]) -> dict[str, Load]:
    return {key: Load(int(n), layers) for key, (n, layers) in total.items()}


def pipe_key(domain: str, other: str) -> str:
    """Return the key under which the pipe between two domains is counted."""
    return "|".join(sorted((domain, other)))


def _uses(path: LayerPath) -> list[tuple[str, int]]:
    """Return the engines and pipes of a path, each with the layers it holds."""
    uses = [(part.engine_id, part.layers.count) for part in path.parts]
    for part, following in zip(path.parts, path.parts[1:], strict=False):
        if part.domain != following.domain:
            uses.append((pipe_key(part.domain, following.domain), 1))
    return uses
