"""The quickest path over engines that runs every layer once, in order.

A shortest path over layer boundaries. Its cost is the predicted duration of the
request: for each engine its share of the layers at its present load, and for each
change of engine the delay and the transfer of activations.
"""

from collections.abc import Mapping, Sequence

from attrs import frozen

from celeryfork_routing.engine_loads import LayerPath, Load, Part, pipe_key
from celeryfork_routing.layers import LayerRange, ModelShape, room_for_requests

MOST_PARTS = 32
"""Most engines in one path; the engines' own limit."""
MOST_CROSSINGS = 2
"""Most changes of failure domain: a detour around one lost range."""
AWAY_FROM_CALLER_MS = 1_500.0
"""Cost of a first engine outside the caller's domain, in ms: its answer crosses."""
CROSSING_MS = 2_500.0
"""Cost of a change of failure domain beside its transfer, in ms: the pipe is shared,
and streams of all domains over the fastest engines would break together."""
USUAL_STREAM_MS = 3_000.0
"""Duration by which requests in flight are turned into a rate, in ms."""
MOST_PIPE_SHARE = 0.6
"""A pipe that is busier takes no more requests."""
PASS_WAIT = 1.5
"""A token waits for half of the pass before its own at each engine."""
REQUESTS_A_PASS = 0.12
"""Part of an engine's requests that run in one pass: one of about eight engines."""
FULL_MEMORY_FACTOR = 2.0
"""An engine with full memory counts as this many times slower, plus one."""


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
    """What a path is wanted for.

    Parameters
    ----------
    prompt, answer
        Tokens to read and expected tokens to write.
    domain
        Failure domain of the caller.
    first_engines
        Engines that the path may begin with, None for any.
    """

    prompt: float
    answer: float
    domain: str
    first_engines: frozenset[str] | None = None

    @property
    def tokens(self) -> float:
        """Return the tokens that the request holds in memory at its end."""
        return self.prompt + self.answer

    def may_begin_with(self, engine_id: str) -> bool:
        """Return whether the path may begin with an engine."""
        return self.first_engines is None or engine_id in self.first_engines


@frozen
class _Candidate:
    engine: PathEngine
    cost_per_layer_ms: float
    free_token_layers: float


@frozen
class _Step:
    """A partial path: ``candidate`` runs the layers from ``first`` on."""

    cost_ms: float
    candidate: _Candidate
    first: int
    before: "_Step | None"
    crossings: int = 0

    def uses(self, engine_id: str) -> bool:
        step: _Step | None = self
        while step is not None:
            if step.candidate.engine.id == engine_id:
                return True
            step = step.before
        return False

    def length(self) -> int:
        count, step = 0, self.before
        while step is not None:
            count, step = count + 1, step.before
        return count + 1


def find_path(
    shape: ModelShape,
    engines: Sequence[PathEngine],
    load_by_engine: Mapping[str, Load],
    request: PathRequest,
) -> LayerPath | None:
    """Return the quickest path, None where no engines with room cover all layers."""
    candidates = [
        candidate
        for engine in engines
        if (candidate := _candidate(shape, engine, load_by_engine, request))
    ]
    points = sorted(
        {0, shape.layers}
        | {c.engine.held.first for c in candidates}
        | {c.engine.held.last for c in candidates}
    )
    points = [point for point in points if 0 <= point <= shape.layers]
    best_by_engine = _first_steps(candidates, request)
    for point, following in zip(points, points[1:], strict=False):
        if point:
            _switch_at(
                point, best_by_engine, candidates, shape, request, load_by_engine
            )
        best_by_engine = _extend(best_by_engine, point, following, request)
        if not best_by_engine:
            return None
    final = min(best_by_engine.values(), key=lambda step: step.cost_ms)
    return _to_path(final, shape.layers)


def _candidate(
    shape: ModelShape,
    engine: PathEngine,
    load_by_engine: Mapping[str, Load],
    request: PathRequest,
) -> _Candidate | None:
    accelerator = shape.accelerator(engine.accelerator)
    if accelerator is None or engine.held.count < 1:
        return None
    load = load_by_engine.get(engine.id, Load())
    room = room_for_requests(shape, accelerator, engine.held.count)
    free = room - load.token_layers
    if free < request.tokens:
        return None
    context_ms = shape.context_ms_per_thousand * request.tokens / 1000
    batch = 1 + load.requests * REQUESTS_A_PASS
    step_ms = PASS_WAIT * (shape.step_ms + batch * (shape.sequence_ms + context_ms))
    read_ms = request.prompt / shape.read_tokens_per_ms * accelerator.read_factor
    busy_ms = request.answer * step_ms * accelerator.step_factor + read_ms * (
        1 + load.requests / 4
    )
    fill = load.token_layers / room
    factor = engine.slowness * (1 + FULL_MEMORY_FACTOR * fill**3)
    return _Candidate(engine, busy_ms * factor / shape.layers, free)


def _first_steps(
    candidates: Sequence[_Candidate], request: PathRequest
) -> dict[str, _Step]:
    return {
        candidate.engine.id: _Step(
            0.0 if candidate.engine.domain == request.domain else AWAY_FROM_CALLER_MS,
            candidate,
            0,
            None,
        )
        for candidate in candidates
        if candidate.engine.held.first <= 0
        and request.may_begin_with(candidate.engine.id)
    }


def _extend(
    steps: Mapping[str, _Step], point: int, following: int, request: PathRequest
) -> dict[str, _Step]:
    extended = {}
    for engine_id, step in steps.items():
        candidate = step.candidate
        needed = (following - step.first) * request.tokens
        if candidate.engine.held.last < following:
            continue
        if needed > candidate.free_token_layers:
            continue
        cost = step.cost_ms + candidate.cost_per_layer_ms * (following - point)
        extended[engine_id] = _Step(
            cost, candidate, step.first, step.before, step.crossings
        )
    return extended


def _switch_at(
    point: int,
    steps: dict[str, _Step],
    candidates: Sequence[_Candidate],
    shape: ModelShape,
    request: PathRequest,
    load_by_engine: Mapping[str, Load],
) -> None:
    """Add the paths that go over to another engine at ``point``."""
    arrived = sorted(steps.values(), key=lambda step: step.cost_ms)
    for candidate in candidates:
        engine = candidate.engine
        if not engine.held.first <= point < engine.held.last:
            continue
        for step in arrived:
            known = steps.get(engine.id)
            if known is not None and step.cost_ms >= known.cost_ms:
                break
            if step.uses(engine.id) or step.length() >= MOST_PARTS:
                continue
            crosses = step.candidate.engine.domain != engine.domain
            if step.crossings + crosses > MOST_CROSSINGS:
                continue
            hop_ms = _hop_ms(
                shape, step.candidate.engine, engine, request, load_by_engine
            )
            if hop_ms is None:
                continue
            cost = step.cost_ms + hop_ms
            if known is None or cost < known.cost_ms:
                steps[engine.id] = _Step(
                    cost, candidate, point, step, step.crossings + crosses
                )


def _hop_ms(
    shape: ModelShape,
    engine: PathEngine,
    following: PathEngine,
    request: PathRequest,
    load_by_engine: Mapping[str, Load],
) -> float | None:
    """Return the cost of a change of engine, None where the pipe is full."""
    delay_ms = shape.delay_ms(engine.domain, following.domain)
    hop_ms = request.answer * delay_ms
    if engine.domain == following.domain:
        return hop_ms
    hop_ms += CROSSING_MS
    if not shape.pipe_bytes_per_ms:
        return hop_ms
    token_ms = shape.activation_bytes / shape.pipe_bytes_per_ms
    pipe = load_by_engine.get(pipe_key(engine.domain, following.domain), Load())
    busy = pipe.token_layers * token_ms / USUAL_STREAM_MS
    if busy > MOST_PIPE_SHARE:
        return None
    wait_ms = busy / (1 - busy) * request.prompt * token_ms / 2
    return hop_ms + request.tokens * token_ms + request.answer * wait_ms


def _to_path(final: _Step, layers: int) -> LayerPath:
    parts: list[Part] = []
    step: _Step | None = final
    following = layers
    while step is not None:
        engine = step.candidate.engine
        held = LayerRange(step.first, following)
        parts.append(Part(engine.id, engine.address, held, engine.domain))
        following = step.first
        step = step.before
    return LayerPath(tuple(reversed(parts)), final.cost_ms)
