"""Work in flight by engine and link: this instance's own and that of its peers."""

from collections.abc import Container, Mapping
from itertools import pairwise

from attrs import define, field, frozen

from celeryfork_routing.layers import LayerRange

PEER_REPORT_TTL_S = 2.5
"""Seconds after which a peer's report expires: two of the longer report intervals."""
PREFILL_SUFFIX = "|reading"
"""Suffix of the keys that count prompts whose activations have yet to cross a link."""
DOMAIN_PREFIX = "domain "
"""Prefix of the names by which the sums of domains are reported; no instance has it."""


@frozen
class Part:
    """The layers of a path that one engine runs."""

    engine_id: str
    address: str
    layers: LayerRange
    domain: str = ""


@frozen
class LayerPath:
    """A path over engines that together run every layer once, in order.

    Parameters
    ----------
    predicted_ms
        Duration of the request over the path, as predicted when it was chosen.
    """

    parts: tuple[Part, ...]
    predicted_ms: float = 0.0

    @property
    def engine_ids(self) -> tuple[str, ...]:
        """Return the engines' ids in order."""
        return tuple(part.engine_id for part in self.parts)

    def describe(self) -> str:
        """Return the path as a string for the log."""
        return " ".join(
            f"{part.domain}/{part.engine_id}={part.layers.first}-{part.layers.last}"
            for part in self.parts
        )


@frozen
class Load:
    """Work in flight on one engine, or on one link between failure domains.

    Parameters
    ----------
    requests
        Number of requests.
    token_layers
        Memory that the requests reserve, in tokens x layers; on a link, their tokens.
    """

    requests: int = 0
    token_layers: float = 0.0


@define
class _PeerReport:
    received_s: float
    load_by_engine: Mapping[str, Load]


@define
class EngineLoads:
    """The loads of engines and links by this instance's and its peers' requests.

    The sum over all reports is updated with each report, so that the cost of a path
    choice doesn't grow with the number of peers, which may be hundreds.

    Parameters
    ----------
    prefilling
        Number of this instance's requests whose prefill has not ended.
    """

    prefilling: int = 0
    _own_by_engine: dict[str, list[float]] = field(factory=dict)
    _prefilling_by_engine: dict[str, list[float]] = field(factory=dict)
    _reports_by_peer: dict[str, _PeerReport] = field(factory=dict)
    _sum_by_engine: dict[str, list[float]] = field(factory=dict)

    def begin(self, path: LayerPath, tokens: float) -> None:
        """Add a request of ``tokens`` tokens to each engine and link of ``path``."""
        for key, layers in _usage(path):
            _add(self._own_by_engine, key, tokens * layers)

    def end(self, path: LayerPath, tokens: float) -> None:
        """Undo one :meth:`begin` with the same arguments."""
        for key, layers in _usage(path):
            _subtract(self._own_by_engine, key, tokens * layers)

    def begin_prefill(self, path: LayerPath, prompt: float, tokens: float) -> None:
        """Record that a request counted by :meth:`begin` is in prefill.

        Its prompt counts as waiting on each link, also in reports to peers. For engines
        this is not reported, as the prefill ends before a report would arrive;
        :meth:`total_loads` derives from it how many requests in prefill the other
        instances have.

        Parameters
        ----------
        prompt
            Tokens of the prompt, which cross each link.
        tokens
            Tokens that each engine reserves memory for.
        """
        self.prefilling += 1
        for part in path.parts:
            _add(self._prefilling_by_engine, part.engine_id, tokens * part.layers.count)
        for domain, following in _crossings(path):
            _add(self._own_by_engine, prefill_key(domain, following), prompt)

    def end_prefill(self, path: LayerPath, prompt: float, tokens: float) -> None:
        """Undo one :meth:`begin_prefill` with the same arguments."""
        self.prefilling -= 1
        for part in path.parts:
            token_layers = tokens * part.layers.count
            _subtract(self._prefilling_by_engine, part.engine_id, token_layers)
        for domain, following in _crossings(path):
            _subtract(self._own_by_engine, prefill_key(domain, following), prompt)

    def own_loads(self) -> dict[str, Load]:
        """Return this instance's own loads by engine id or link key."""
        return {
            engine_id: Load(int(requests), round(token_layers))
            for engine_id, (requests, token_layers) in self._own_by_engine.items()
        }

    def set_peer_report(
        self, peer: str, load_by_engine: Mapping[str, Load], now_s: float
    ) -> None:
        """Replace the last report of a peer's own loads."""
        self.drop_peer_report(peer)
        self._reports_by_peer[peer] = _PeerReport(now_s, load_by_engine)
        self._add_to_sum(load_by_engine, 1)

    def drop_peer_report(self, peer: str) -> None:
        """Remove the last report of a peer, if any."""
        report = self._reports_by_peer.pop(peer, None)
        if report is not None:
            self._add_to_sum(report.load_by_engine, -1)

    def loads_reported_by(self, peers: Container[str], now_s: float) -> dict[str, Load]:
        """Return the sum of some peers' reports by engine id or link key."""
        self._drop_expired(now_s)
        total: dict[str, list[float]] = {}
        for peer, report in self._reports_by_peer.items():
            if peer in peers:
                _add_loads(total, report.load_by_engine, 1)
        return _as_loads(total)

    def report_ages(self, now_s: float) -> dict[str, float]:
        """Return the seconds since the last report of each peer, without expired ones.

        The key of a domain's sum is :func:`domain_report_key`.
        """
        self._drop_expired(now_s)
        return {
            peer: now_s - report.received_s
            for peer, report in self._reports_by_peer.items()
        }

    def reported_token_layers(self, peer: str, engine_ids: Container[str]) -> float:
        """Return the tokens x layers that a peer's last report names for engines."""
        report = self._reports_by_peer.get(peer)
        return _token_layers(report.load_by_engine, engine_ids) if report else 0.0

    def own_token_layers(self, engine_ids: Container[str]) -> float:
        """Return the tokens x layers of this instance's requests on some engines."""
        return _token_layers(self.own_loads(), engine_ids)

    def total_loads(
        self, now_s: float, link_sharers: int = 1, engine_sharers: int = 1
    ) -> dict[str, Load]:
        """Return all known loads by engine id or link key.

        When engines are lost, all instances choose new paths at once, before they know
        each other's choices. So each other instance is assumed to have as many requests
        in prefill that it has not reported yet as this one, and to start one more at
        the same time.

        Parameters
        ----------
        link_sharers, engine_sharers
            Number of instances that share the links, and the engines.
        """
        self._drop_expired(now_s)
        total = {key: list(sums) for key, sums in self._sum_by_engine.items()}
        own = self.own_loads()
        _add_loads(total, own, 1)
        for key, load in own.items():
            if key.endswith(PREFILL_SUFFIX):
                total[key][1] = max(total[key][1], load.token_layers * link_sharers)
        for engine_id, (requests, token_layers) in self._prefilling_by_engine.items():
            entry = total.setdefault(engine_id, [0, 0.0])
            assumed_requests = (requests + 1) * (engine_sharers - 1)
            entry[0] += assumed_requests
            entry[1] += assumed_requests * token_layers / requests
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


def _token_layers(
    load_by_engine: Mapping[str, Load], engine_ids: Container[str]
) -> float:
    return sum(
        load.token_layers
        for engine_id, load in load_by_engine.items()
        if engine_id in engine_ids
    )


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
    """Return loads minus this instance's own part, which is counted separately."""
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


def domain_report_key(domain: str) -> str:
    """Return the name by which the sum of a domain's instances is reported."""
    return f"{DOMAIN_PREFIX}{domain}"


def link_key(domain: str, other: str) -> str:
    """Return the key of the load on the link between two domains."""
    return "|".join(sorted((domain, other)))


def prefill_key(domain: str, other: str) -> str:
    """Return the key of the load by prompts that have yet to cross a link."""
    return link_key(domain, other) + PREFILL_SUFFIX


def _usage(path: LayerPath) -> list[tuple[str, int]]:
    """Return the engine ids and link keys of a path with the layers to count on each.

    A link counts as one layer.
    """
    usage = [(part.engine_id, part.layers.count) for part in path.parts]
    usage.extend((link_key(*crossing), 1) for crossing in _crossings(path))
    return usage


def _crossings(path: LayerPath) -> list[tuple[str, str]]:
    """Return the domains on both sides of each link of a path."""
    return [
        (part.domain, following.domain)
        for part, following in pairwise(path.parts)
        if part.domain != following.domain
    ]
