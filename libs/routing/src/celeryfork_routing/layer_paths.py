"""Search for the fastest path over engines that runs every layer once, in order.

It is a shortest path over layer boundaries. Its cost is the predicted duration of the
request: for each engine the time for its layers at its present load, and for each
change of engine the delay and the transfer of activations.
"""

from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise
from math import inf
from operator import itemgetter

from attrs import define, field, frozen

from celeryfork_routing.engine_loads import (
    LayerPath,
    Load,
    Part,
    link_key,
    prefill_key,
)
from celeryfork_routing.layers import LayerRange, ModelShape, room_for_requests

MAX_PARTS = 32
"""Maximum number of engines in a path; the engines' own limit."""
MAX_CROSSINGS = 2
"""Maximum number of changes of failure domain: two suffice to leave the domain for one
lost range and return."""
MAX_CROSSINGS_OTHERWISE = 6
"""Maximum if there is no path with fewer, as up to three ranges are lost at once."""
REMOTE_FIRST_ENGINE_MS = 1_500.0
"""Cost in ms of a first engine outside the caller's failure domain, because the answer
has to cross between domains."""
CROSSING_MS = 2_500.0
"""Cost in ms of a change of failure domain in addition to the transfer: the link is
shared, and if the fastest engines ran the streams of all domains, the loss of one of
them would interrupt all of these streams at once."""
TYPICAL_STREAM_MS = 3_000.0
"""Assumed duration of a stream in ms, for converting requests in flight to a rate."""
MAX_LINK_UTILISATION = 0.6
"""Utilisation of a link above which it gets no more requests."""
MAX_LINK_QUEUE_MS = 500.0
"""Transfer time in ms of the prompts waiting for a link above which it gets no more
requests: streams without an event for over a second are given up."""
PASS_WAIT_FACTOR = 1.5
"""Time that one token takes on an engine, as a multiple of the duration of a pass: its
own pass, and on average half of the pass before, which has to end first."""
BATCH_SHARE = 0.12
"""Share of an engine's requests that run in one pass: a path has about eight engines,
and each request is on one of them at a time."""
FULL_MEMORY_FACTOR = 2.0
"""Weight of memory use in the cost of an engine: with full memory, an engine counts as
1 + this factor times as slow as without requests."""
MAX_ALTERNATIVES = 2
"""Number of partial paths kept for each domain and number of crossings: the cheapest
may already use the engine that takes over, which rules it out."""
NO_LOAD = Load()


@frozen
class PathEngine:
    """An engine that may take part in a path.

    Parameters
    ----------
    slowness
        Observed duration of its work as a multiple of the expected one.
    """

    id: str
    address: str
    domain: str
    accelerator: str
    held: LayerRange
    slowness: float = 1.0


@frozen
class PathRequest:
    """A request for a path.

    Parameters
    ----------
    prompt_tokens, answer_tokens
        Number of tokens of the prompt, and expected number of tokens of the answer.
    domain
        Failure domain of the caller.
    first_engines
        Ids of the engines that the path may begin with, None for any.
    """

    prompt_tokens: float
    answer_tokens: float
    domain: str
    first_engines: frozenset[str] | None = None

    @property
    def tokens(self) -> float:
        """Return the number of tokens that the request holds in memory at its end."""
        return self.prompt_tokens + self.answer_tokens

    def may_begin_with(self, engine_id: str) -> bool:
        """Return True if the path may begin with this engine."""
        return self.first_engines is None or engine_id in self.first_engines


@frozen
class Candidate:
    """An engine with its cost and room for one request.

    Parameters
    ----------
    layer_ms
        Predicted cost of one layer, in ms.
    max_layers
        Number of layers for which the request's tokens fit into its free memory.
    """

    engine: PathEngine
    layer_ms: float
    max_layers: float


@define(eq=False)
class _PartialPath:
    """A partial path whose last engine runs the layers from ``first`` on.

    Parameters
    ----------
    begin_ms
        Cost up to ``first``; each layer from there adds the engine's cost per layer.
    last
        Layer at which another engine has to take over at the latest.
    before
        The partial path up to ``first``, None at the first engine.
    crossings, length
        Number of changes of failure domain, and number of engines.
    """

    candidate: Candidate
    first: int
    begin_ms: float
    last: float
    before: "_PartialPath | None" = None
    crossings: int = 0
    length: int = 1

    def cost_ms(self, point: int) -> float:
        """Return the cost of the path up to a layer."""
        return self.begin_ms + (point - self.first) * self.candidate.layer_ms

    def uses(self, engine_id: str) -> bool:
        partial: _PartialPath | None = self
        while partial is not None:
            if partial.candidate.engine.id == engine_id:
                return True
            partial = partial.before
        return False


def find_path(
    shape: ModelShape,
    engines: Sequence[PathEngine],
    load_by_engine: Mapping[str, Load],
    request: PathRequest,
    max_crossings: int = MAX_CROSSINGS_OTHERWISE,
) -> LayerPath | None:
    """Return the fastest path, None if no engines with room cover all layers.

    Parameters
    ----------
    max_crossings
        Maximum number of changes of failure domain. A path with more than
        :data:`MAX_CROSSINGS` is returned only if there is no other.
    """
    candidates = _best_of_each_range(
        found
        for engine in engines
        if (found := to_candidate(shape, engine, load_by_engine, request))
    )
    hop_costs = _HopCosts(
        shape, load_by_engine, request, min(MAX_CROSSINGS, max_crossings)
    )
    path = _search(shape, candidates, request, hop_costs)
    several_domains = len({each.engine.domain for each in candidates}) > 1
    if path is None and several_domains and max_crossings > MAX_CROSSINGS:
        hop_costs.max_crossings = max_crossings
        path = _search(shape, candidates, request, hop_costs)
    return path


def _search(
    shape: ModelShape,
    candidates: Sequence[Candidate],
    request: PathRequest,
    hop_costs: "_HopCosts",
) -> LayerPath | None:
    """Return the fastest path over candidates, None if there is none."""
    starting_by_point: dict[int, list[Candidate]] = {}
    for each in candidates:
        starting_by_point.setdefault(max(0, each.engine.held.first), []).append(each)
    covering = starting_by_point.get(0, [])
    partials = _initial_partials(covering, request)
    for point, following in pairwise(_boundaries(shape.layers, candidates)):
        if point:
            starting = starting_by_point.get(point, [])
            _switch_at(point, following, partials, covering, starting, hop_costs)
            covering = [*covering, *starting]
        covering = [each for each in covering if each.engine.held.last > following]
        partials = {
            key: partial
            for key, partial in partials.items()
            if partial.last >= following
        }
        if not partials:
            return None
    final = min(partials.values(), key=lambda partial: partial.cost_ms(shape.layers))
    return _to_path(final, shape.layers)


def _boundaries(layers: int, candidates: Sequence[Candidate]) -> list[int]:
    """Return the layers at which a path may change engines, including both ends."""
    held = [each.engine.held for each in candidates]
    points = {0, layers, *(h.first for h in held), *(h.last for h in held)}
    return sorted(point for point in points if 0 <= point <= layers)


def _best_of_each_range(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the best engine of each domain and range of layers held.

    A path never uses two engines of one domain with the same range. Engines with room
    for all of their layers are preferred, then the cheapest.
    """
    best: dict[tuple[str, int, int], Candidate] = {}
    for each in candidates:
        held = each.engine.held
        key = (each.engine.domain, held.first, held.last)
        best_so_far = best.get(key)
        if best_so_far is None or _rank(each) < _rank(best_so_far):
            best[key] = each
    return list(best.values())


def _rank(candidate: Candidate) -> tuple[bool, float]:
    room_is_short = candidate.max_layers < candidate.engine.held.count
    return room_is_short, candidate.layer_ms


def to_candidate(
    shape: ModelShape,
    engine: PathEngine,
    load_by_engine: Mapping[str, Load],
    request: PathRequest,
) -> Candidate | None:
    """Return an engine with its cost and room for a request, None if unsuitable."""
    accelerator = shape.accelerators_by_name.get(engine.accelerator)
    held = engine.held
    if accelerator is None or held.count < 1:
        return None
    if held.first <= 0 and not request.may_begin_with(engine.id):
        return None
    load = load_by_engine.get(engine.id, NO_LOAD)
    room = room_for_requests(shape, accelerator, held.count)
    max_layers = (room - load.token_layers) / max(1.0, request.tokens)
    if max_layers < 1:
        return None
    context_ms = shape.context_ms_per_thousand * request.tokens / 1000
    batch = 1 + load.requests * BATCH_SHARE
    step_ms = PASS_WAIT_FACTOR * (
        shape.step_ms + batch * (shape.sequence_ms + context_ms)
    )
    prefill_ms = (
        request.prompt_tokens / shape.prefill_tokens_per_ms * accelerator.prefill_factor
    )
    busy_ms = request.answer_tokens * step_ms * accelerator.step_factor + prefill_ms * (
        1 + load.requests / 4
    )
    fill = load.token_layers / room
    factor = engine.slowness * (1 + FULL_MEMORY_FACTOR * fill**3)
    return Candidate(engine, busy_ms * factor / shape.layers, max_layers)


def _initial_partials(
    candidates: Sequence[Candidate], request: PathRequest
) -> dict[str, _PartialPath]:
    partials = {}
    for candidate in candidates:
        engine = candidate.engine
        if engine.held.first > 0:
            continue
        remote_ms = 0.0 if engine.domain == request.domain else REMOTE_FIRST_ENGINE_MS
        last_layer = min(engine.held.last, candidate.max_layers)
        partials[engine.id] = _PartialPath(candidate, 0, remote_ms, last_layer)
    return partials


def _switch_at(
    point: int,
    following: int,
    partials: dict[str, _PartialPath],
    covering: Iterable[Candidate],
    starting: Iterable[Candidate],
    hop_costs: "_HopCosts",
) -> None:
    """Add the partial paths that change to another engine at layer ``point``.

    Costs grow linearly with the layers, so that the best layer for a change is where
    one engine's layers end or the other's begin.

    Parameters
    ----------
    following
        The next layer at which a change is possible.
    covering, starting
        Engines that hold the layers from before ``point`` on, and from ``point`` on.
    """
    arriving = sorted(
        ((partial.cost_ms(point), partial) for partial in partials.values()),
        key=itemgetter(0),
    )
    ending = [option for option in arriving if option[1].last < following]
    for options, joining in ((arriving, starting), (ending, covering)):
        if not options:
            continue
        best: list[tuple[float, _PartialPath]] | None = None
        options_by_domain: dict[str, list[tuple[float, _PartialPath]]] = {}
        for candidate in joining:
            domain = candidate.engine.domain
            if domain not in options_by_domain:
                best = best if best is not None else _best_of_each_domain(options)
                options_by_domain[domain] = hop_costs.add_to(best, domain)
            partial = _best_switch(
                candidate,
                point,
                partials.get(candidate.engine.id),
                options_by_domain[domain],
                hop_costs.max_crossings,
            )
            if partial is not None:
                partials[candidate.engine.id] = partial


def _best_of_each_domain(
    arriving: Iterable[tuple[float, _PartialPath]],
) -> list[tuple[float, _PartialPath]]:
    """Return the cheapest partial paths for each domain and number of crossings.

    Both decide how a path can continue: the domain the cost of the next change of
    engine, the number of crossings how many more are allowed. The order is kept.
    """
    best = []
    counts: dict[tuple[str, int], int] = {}
    for option in arriving:
        partial = option[1]
        key = (partial.candidate.engine.domain, partial.crossings)
        counts[key] = counts.get(key, 0) + 1
        if counts[key] <= MAX_ALTERNATIVES:
            best.append(option)
    return best


def _best_switch(
    candidate: Candidate,
    point: int,
    known_partial: _PartialPath | None,
    options: Iterable[tuple[float, _PartialPath]],
    max_crossings: int,
) -> _PartialPath | None:
    """Return the cheapest path on which the engine of ``candidate`` takes over.

    None if it isn't cheaper than the known path to this engine.
    """
    engine = candidate.engine
    known_ms = known_partial.cost_ms(point) if known_partial is not None else inf
    for cost_ms, partial in options:
        if cost_ms >= known_ms:
            return None
        if partial.uses(engine.id) or partial.length >= MAX_PARTS:
            continue
        crossings = partial.crossings + (
            partial.candidate.engine.domain != engine.domain
        )
        if crossings > max_crossings:
            continue
        last = min(engine.held.last, point + candidate.max_layers)
        return _PartialPath(
            candidate, point, cost_ms, last, partial, crossings, partial.length + 1
        )
    return None


@define(eq=False)
class _HopCosts:
    """Cached costs of a change of engine, by the failure domains of both engines.

    Parameters
    ----------
    max_crossings
        Maximum number of changes of failure domain of a path.
    """

    _shape: ModelShape
    _load_by_engine: Mapping[str, Load]
    _request: PathRequest
    max_crossings: int
    _ms_by_domains: dict[tuple[str, str], float | None] = field(factory=dict)

    def add_to(
        self, arriving: Sequence[tuple[float, _PartialPath]], domain: str
    ) -> list[tuple[float, _PartialPath]]:
        """Return partial paths with the cost of a change to ``domain``, cheapest first.

        Those that would cross a link that is too busy are left out.
        """
        options = [
            (cost_ms + hop_ms, partial)
            for cost_ms, partial in arriving
            if (hop_ms := self._cost_ms(partial.candidate.engine.domain, domain))
            is not None
        ]
        options.sort(key=itemgetter(0))
        return options

    def _cost_ms(self, domain: str, following: str) -> float | None:
        """Return the cost of a change of engine, None if the link is too busy."""
        key = (domain, following)
        if key not in self._ms_by_domains:
            self._ms_by_domains[key] = _hop_ms(
                self._shape, domain, following, self._request, self._load_by_engine
            )
        return self._ms_by_domains[key]


def _hop_ms(
    shape: ModelShape,
    domain: str,
    following: str,
    request: PathRequest,
    load_by_engine: Mapping[str, Load],
) -> float | None:
    hop_ms = request.answer_tokens * shape.delay_ms(domain, following)
    if domain == following:
        return hop_ms
    hop_ms += CROSSING_MS
    if not shape.link_bytes_per_ms:
        return hop_ms
    token_ms = shape.activation_bytes / shape.link_bytes_per_ms
    link_load = load_by_engine.get(link_key(domain, following), NO_LOAD)
    utilisation = link_load.token_layers * token_ms / TYPICAL_STREAM_MS
    if utilisation > MAX_LINK_UTILISATION:
        return None
    waiting = load_by_engine.get(prefill_key(domain, following), NO_LOAD)
    waiting_ms = waiting.token_layers * token_ms
    if waiting_ms > MAX_LINK_QUEUE_MS:
        return None
    wait_ms = utilisation / (1 - utilisation) * request.prompt_tokens * token_ms / 2
    return (
        hop_ms
        + waiting_ms
        + request.tokens * token_ms
        + request.answer_tokens * wait_ms
    )


def _to_path(final: _PartialPath, layers: int) -> LayerPath:
    parts: list[Part] = []
    partial: _PartialPath | None = final
    following = layers
    while partial is not None:
        engine = partial.candidate.engine
        part_layers = LayerRange(partial.first, following)
        parts.append(Part(engine.id, engine.address, part_layers, engine.domain))
        following = partial.first
        partial = partial.before
    return LayerPath(tuple(reversed(parts)), final.cost_ms(layers))
