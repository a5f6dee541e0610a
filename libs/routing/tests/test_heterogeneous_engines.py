"""Engines of different speed in one domain, chosen by many instances at once."""

from heapq import heappop, heappush

import pytest
from attrs import evolve
from celeryfork_routing.engine_loads import EngineLoads, Load
from celeryfork_routing.layer_paths import (
    PathEngine,
    PathRequest,
    find_path,
    to_candidate,
)
from celeryfork_routing.layers import Accelerator, LayerRange
from model_shapes import SHAPE as WHOLE_SHAPE

INSTANCES, REPORT_S, PREFILL_S, SECONDS = 60, 0.25, 0.1, 36.0
FACTOR_BY_KIND = {"fast": 4.0, "middle": 8.0, "slow": 24.0}
SHAPE = evolve(
    WHOLE_SHAPE,
    accelerators_by_name={
        kind: Accelerator(kind, 41_000.0, factor, factor)
        for kind, factor in FACTOR_BY_KIND.items()
    },
)
ENGINES = {
    f"{kind}{first}{copy}": PathEngine(
        f"{kind}{first}{copy}", "", "a", kind, LayerRange(first, first + 20)
    )
    for kind in FACTOR_BY_KIND
    for first in range(0, 80, 20)
    for copy in range(2)
}
REQUEST = PathRequest(772.0, 174.0, "a")
FULL_LOAD_PER_S = 90


def exchange_reports(instances, now_s):
    reports = [each.own_loads() for each in instances]
    for receiver, loads in enumerate(instances):
        for sender, report in enumerate(reports):
            if sender != receiver:
                loads.set_peer_report(str(sender), report, now_s)


def work_by_kind(requests_per_s):
    """Return each kind of engine's part of the layers run after a warm-up.

    An instance knows its own requests at once and the others' from reports. The time
    on an engine follows from all requests that it really runs.
    """
    instances = [EngineLoads() for _ in range(INSTANCES)]
    running, work = dict.fromkeys(ENGINES, 0), dict.fromkeys(FACTOR_BY_KIND, 0)
    events, reported_s = [], -REPORT_S
    for number in range(round(SECONDS * requests_per_s)):
        now_s = number / requests_per_s
        while events and events[0][0] <= now_s:
            _, _, finish = heappop(events)
            finish()
        if now_s >= reported_s + REPORT_S:
            reported_s = now_s
            exchange_reports(instances, now_s)
        loads = instances[number * 7 % INSTANCES]
        known = loads.total_loads(now_s, INSTANCES, INSTANCES)
        path = find_path(SHAPE, list(ENGINES.values()), known, REQUEST)
        if path is None:
            continue
        took_s = 0.0
        for part in path.parts:
            engine, real = ENGINES[part.engine_id], Load(running[part.engine_id])
            running[engine.id] += 1
            candidate = to_candidate(SHAPE, engine, {engine.id: real}, REQUEST)
            took_s += candidate.layer_ms * part.layers.count / 1000

        def end(loads=loads, path=path, now_s=now_s):
            loads.end(path, REQUEST.tokens)
            for part in path.parts:
                running[part.engine_id] -= 1
                kind = ENGINES[part.engine_id].accelerator
                work[kind] += part.layers.count * (now_s > SECONDS / 3)

        def end_prefill(loads=loads, path=path):
            loads.end_prefill(path, REQUEST.prompt_tokens, REQUEST.tokens)

        loads.begin(path, REQUEST.tokens)
        loads.begin_prefill(path, REQUEST.prompt_tokens, REQUEST.tokens)
        heappush(events, (now_s + PREFILL_S, 2 * number, end_prefill))
        heappush(events, (now_s + took_s, 2 * number + 1, end))
    return {kind: layers / sum(work.values()) for kind, layers in work.items()}


def test_engines_are_used_in_proportion_to_their_speed_at_full_load():
    """Slow engines had requests waiting while fast ones had room, or were left idle."""
    speed_by_kind = {kind: 1 / factor for kind, factor in FACTOR_BY_KIND.items()}
    total = sum(speed_by_kind.values())
    for kind, share in work_by_kind(FULL_LOAD_PER_S).items():
        assert share == pytest.approx(speed_by_kind[kind] / total, rel=0.2)


def test_a_light_load_uses_fast_engines():
    """A request isn't slowed down for the sake of equal use."""
    assert work_by_kind(FULL_LOAD_PER_S / 6)["fast"] >= 0.95
