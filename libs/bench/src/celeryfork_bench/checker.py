"""Judges the promises offline: what callers were told, against what targets ran.

It knows nothing of how celeryfork works; it only compares histories.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

from attrs import field, frozen
from celeryfork_base.outcomes import Outcome
from celeryfork_standin.engine_data import RanToken
from celeryfork_standin.service import RanCall
from celeryfork_standin.text import expected_tokens

from celeryfork_bench.history import Ending, Exchange, ModelAsk, PlainAsk

LEAVING_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 17.0


@frozen
class Left:
    """A target that said it was leaving, and when (monotonic seconds)."""

    target: str
    at_s: float


@frozen
class PlannedStop:
    """A planned stop of an entry instance (monotonic seconds)."""

    instance: str
    from_s: float
    until_s: float


@frozen
class OffsetSeen:
    """The configuration offset that an instance had in force at a time."""

    instance: str
    offset: int
    at_s: float


@frozen
class Published:
    """A configuration record that was accepted at a time."""

    offset: int
    at_s: float


@frozen
class Evidence:
    """Everything that is judged.

    Parameters
    ----------
    layers_by_model
        Number of layers of each model.
    repeatable_kinds
        (service, kind) of the calls that may be repeated.
    """

    exchanges: Sequence[Exchange]
    ran_tokens: Sequence[RanToken]
    ran_calls: Sequence[RanCall]
    layers_by_model: Mapping[str, int]
    repeatable_kinds: frozenset[tuple[str, str]] = frozenset()
    left: Sequence[Left] = ()
    planned_stops: Sequence[PlannedStop] = ()
    offsets_seen: Sequence[OffsetSeen] = ()
    published: Sequence[Published] = ()


@frozen
class Violation:
    """A promise that was broken.

    Parameters
    ----------
    promise
        Its short name.
    what
        What was seen.
    request_ids
        The requests that show it.
    """

    promise: str
    what: str
    request_ids: tuple[str, ...] = field(default=())


Judge = Callable[[Evidence], Iterable[Violation]]


def check(evidence: Evidence) -> list[Violation]:
    """Return every violation of every promise."""
    judges: tuple[Judge, ...] = (
        _layers_once_and_in_order,
        _own_whole_answer,
        _not_run_is_true,
        _at_most_once,
        _done_ran,
        _leaving_targets,
        _planned_stops,
        _configuration,
    )
    return [violation for judge in judges for violation in judge(evidence)]


def _layers_once_and_in_order(evidence: Evidence) -> Iterable[Violation]:
    """Check that each token ran each layer once, in order."""
    model_by_request = {
        exchange.request_id: exchange.ask.model
        for exchange in evidence.exchanges
        if isinstance(exchange.ask, ModelAsk)
    }
    for token in evidence.ran_tokens:
        request_id = request_of(token.stream_id)
        model = model_by_request.get(request_id)
        if model is None:
            continue
        layer = 0
        for stage in token.stages:
            if stage.first != layer:
                break
            layer = stage.last
        if layer != evidence.layers_by_model[model] or _has_gap(token):
            spans = [(stage.first, stage.last) for stage in token.stages]
            yield Violation(
                "layers",
                f"position {token.position} ran the layers {spans}",
                (request_id,),
            )


def _has_gap(token: RanToken) -> bool:
    pairs = zip(token.stages, token.stages[1:], strict=False)
    return any(before.last != after.first for before, after in pairs)


def _own_whole_answer(evidence: Evidence) -> Iterable[Violation]:
    """Check that a done answer is whole and the caller's own, a part its beginning."""
    for exchange in evidence.exchanges:
        ask = exchange.ask
        if not isinstance(ask, ModelAsk):
            continue
        wanted = expected_tokens(ask.model, ask.prompt, ask.seed, ask.max_tokens)
        whole = "".join(wanted)
        if exchange.outcome is Outcome.DONE:
            good = exchange.text == whole
        else:
            good = whole.startswith(exchange.text)
        if not good:
            yield Violation(
                "own_whole_answer",
                f"got {exchange.text[:80]!r} of {exchange.tokens} tokens, "
                f"wanted {whole[:80]!r} of {len(wanted)}",
                (exchange.request_id,),
            )


def _not_run_is_true(evidence: Evidence) -> Iterable[Violation]:
    """Check that what was told not_run left no trace at any target."""
    told = {
        exchange.request_id
        for exchange in evidence.exchanges
        if exchange.outcome is Outcome.NOT_RUN
    }
    ran = {call.request_id for call in evidence.ran_calls}
    ran.update(request_of(token.stream_id) for token in evidence.ran_tokens)
    for request_id in sorted(told & ran):
        yield Violation("not_run", "was told not_run, and ran", (request_id,))


def _at_most_once(evidence: Evidence) -> Iterable[Violation]:
    """Check that a call that may not be repeated ran at most once."""
    calls_by_key: dict[str, list[RanCall]] = defaultdict(list)
    for call in evidence.ran_calls:
        if call.key:
            calls_by_key[call.key].append(call)
    for key, calls in calls_by_key.items():
        if len(calls) > 1 and _is_not_repeatable(evidence, key):
            targets = [call.target for call in calls]
            yield Violation(
                "at_most_once",
                f"key {key} ran {len(calls)} times, at {targets}",
                tuple(call.request_id for call in calls),
            )


def _is_not_repeatable(evidence: Evidence, key: str) -> bool:
    return any(
        isinstance(exchange.ask, PlainAsk)
        and exchange.ask.key == key
        and (exchange.ask.service, exchange.ask.kind) not in evidence.repeatable_kinds
        for exchange in evidence.exchanges
    )


def _done_ran(evidence: Evidence) -> Iterable[Violation]:
    """Check that what is done did run, and that a key has one answer."""
    ran_keys = {call.key for call in evidence.ran_calls}
    bodies_by_key: dict[str, set[bytes]] = defaultdict(set)
    for exchange in evidence.exchanges:
        ask = exchange.ask
        if not isinstance(ask, PlainAsk) or ask.key is None:
            continue
        if exchange.outcome is not Outcome.DONE:
            continue
        bodies_by_key[ask.key].add(exchange.body)
        if ask.key not in ran_keys:
            yield Violation("done", f"{ask.key} never ran", (exchange.request_id,))
    for key, bodies in bodies_by_key.items():
        if len(bodies) > 1:
            yield Violation("done", f"{key} got {len(bodies)} different answers")


def _leaving_targets(evidence: Evidence) -> Iterable[Violation]:
    """Check that a leaving target begins nothing new after the bound."""
    first_s_by_attempt: dict[tuple[str, int, str], float] = {}
    for token in evidence.ran_tokens:
        for stage in token.stages:
            key = (token.stream_id, token.attempt, stage.engine)
            first_s_by_attempt.setdefault(key, token.started_s)
    for left in evidence.left:
        limit_s = left.at_s + LEAVING_BOUND_S
        for (stream_id, _, engine), began_s in first_s_by_attempt.items():
            if engine == left.target and began_s > limit_s:
                late_s = began_s - left.at_s
                yield Violation(
                    "leaving",
                    f"{engine} began a stream {late_s:.1f} s after it was leaving",
                    (request_of(stream_id),),
                )
        for call in evidence.ran_calls:
            if call.target == left.target and call.at_s > limit_s:
                yield Violation(
                    "leaving",
                    f"{call.target} ran a call after it was leaving",
                    (call.request_id,),
                )


def _planned_stops(evidence: Evidence) -> Iterable[Violation]:
    """Check that no exchange breaks off because an instance stops as planned."""
    for stop in evidence.planned_stops:
        for exchange in evidence.exchanges:
            if exchange.instance != stop.instance:
                continue
            overlaps = (
                exchange.ended_s >= stop.from_s and exchange.sent_s < stop.until_s
            )
            if overlaps and exchange.ending is Ending.BROKEN_OFF:
                yield Violation(
                    "planned_stop",
                    f"{stop.instance} cut off an exchange",
                    (exchange.request_id,),
                )


def _configuration(evidence: Evidence) -> Iterable[Violation]:
    """Check that configuration in force moves forward, and within the bound."""
    last_by_instance: dict[str, int] = {}
    for seen in sorted(evidence.offsets_seen, key=lambda seen: seen.at_s):
        last = last_by_instance.get(seen.instance, -1)
        if seen.offset < last:
            yield Violation(
                "configuration",
                f"{seen.instance} went back from offset {last} to {seen.offset}",
            )
        last_by_instance[seen.instance] = max(last, seen.offset)
        for record in evidence.published:
            late_s = seen.at_s - record.at_s
            if seen.offset < record.offset and late_s > CONFIGURATION_BOUND_S:
                yield Violation(
                    "configuration",
                    f"{seen.instance} lacks offset {record.offset} "
                    f"after {late_s:.1f} s",
                )


def request_of(stream_id: str) -> str:
    """Return the request id that a stream id begins with."""
    return stream_id.rpartition(".")[0]
