"""Tests of celeryfork_routing.router."""

from concurrent.futures import Executor, Future
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_membership.probe import LoadReport, make_load_probe
from celeryfork_membership.targets import Draining, Refused, make_target_view
from celeryfork_membership.update_store import make_update_store
from celeryfork_platform.model import Instance, InstanceList
from celeryfork_routing.chains import Chain, ChainRequest, ChainResult
from celeryfork_routing.router import Router, make_router

CONFIGURATION = SimpleNamespace(accelerators_by_kind={}, links_by_pair={})
COMPLETED = ChainResult(tokens=10, seconds_to_first_token=0.1, seconds_total=1.0)


class InlineExecutor(Executor):
    """Runs tasks synchronously, so that a plan is ready when the call returns."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future:
        future: Future = Future()
        future.set_result(fn(*args, **kwargs))
        return future


class RouterHarness:
    """A router with a target view whose instances the test sets."""

    def __init__(self, *instances: Instance, domain: str = "d0", seed: int = 1) -> None:
        self.clock = ManualClock()
        self.counters = Counters()
        news = make_update_store(self.clock, self.counters)
        self.view = make_target_view(self.clock, self.counters, news, domain)
        self.probe = make_load_probe(self.view, self.clock, self.counters)
        self.router: Router = make_router(
            self.view,
            self.probe,
            lambda: CONFIGURATION,
            domain,
            self.clock,
            self.counters,
            seed=seed,
            executor=InlineExecutor(),
        )
        self.version = 0
        self.update_list(*instances)

    def update_list(self, *instances: Instance) -> None:
        self.version += 1
        by_id = {instance.id: instance for instance in instances}
        self.view.update_from_list(InstanceList(self.version, by_id))
        self.clock.advance(1)

    def choose(self, **changes: Any) -> Chain:
        fields = {"model": "m", "layers": 24} | changes
        return self.router.choose(ChainRequest(**fields))


def engine(
    name: str, first: int, last: int, version: str = "", **changes: Any
) -> Instance:
    attributes = {
        "first_layer": first,
        "last_layer": last,
        "accelerator": "k1",
        "version": version,
    }
    fields: dict[str, Any] = {
        "id": name,
        "role": "engine",
        "target": "m",
        "domain": "d0",
        "address": "127.0.0.1:1",
        "state": "live",
        "incarnation": 1,
        "attributes": attributes,
    }
    return Instance(**(fields | changes))


def two_stages(count: int = 3) -> list[Instance]:
    front = [engine(f"a{n}", 0, 12) for n in range(count)]
    return front + [engine(f"b{n}", 12, 24) for n in range(count)]


def assert_covers(chain: Chain, layers: int = 24) -> None:
    assert chain.hops[0].first == 0
    assert chain.hops[-1].last == layers
    assert all(a.last == b.first for a, b in pairwise(chain.hops))
    for hop in chain.hops:
        assert hop.target.first_layer <= hop.first < hop.last <= hop.target.last_layer


def target_ids(chain: Chain) -> list[str]:
    return [hop.target.id for hop in chain.hops]


def test_chains_cover_each_layer_once_with_overlapping_ranges() -> None:
    harness = RouterHarness(
        engine("a", 0, 12), engine("b", 6, 18), engine("c", 12, 24), engine("d", 0, 24)
    )
    chains = [harness.choose() for _ in range(200)]
    for chain in chains:
        assert_covers(chain)
    assert {target_id for chain in chains for target_id in target_ids(chain)} == set(
        "abcd"
    )


def test_load_is_spread_evenly_over_identical_engines() -> None:
    harness = RouterHarness(*two_stages(5))
    chosen: dict[str, int] = {}
    for _ in range(500):
        for target_id in target_ids(harness.choose()):
            chosen[target_id] = chosen.get(target_id, 0) + 1
    assert max(chosen.values()) <= 1.1 * min(chosen.values())


def test_a_second_release_of_a_chain_has_no_effect() -> None:
    harness = RouterHarness(*two_stages())
    chain = harness.choose()
    harness.router.release(chain, COMPLETED)
    harness.router.release(chain, COMPLETED)
    assert harness.counters.count("routing.released_twice") == 1
    assert harness.router.dump()["models"]["m"][""]["own_layers_in_flight"] == 0


def test_avoided_targets_are_not_used() -> None:
    harness = RouterHarness(*two_stages())
    for _ in range(50):
        chain = harness.choose(avoid=frozenset({"a0", "b1"}))
        assert not {"a0", "b1"} & set(target_ids(chain))


def test_a_draining_target_is_excluded_before_the_next_plan() -> None:
    harness = RouterHarness(*two_stages())
    harness.choose()
    harness.view.observe("a0", Draining())
    for _ in range(50):
        assert "a0" not in target_ids(harness.choose())


def test_a_new_engine_is_used_after_the_next_plan() -> None:
    harness = RouterHarness(*two_stages())
    harness.choose()
    harness.update_list(*two_stages(4))
    harness.choose()
    assert any("a3" in target_ids(harness.choose()) for _ in range(50))


def test_a_request_is_refused_as_not_run_if_no_engine_holds_a_layer() -> None:
    harness = RouterHarness(engine("a", 0, 12), engine("c", 13, 24))
    with pytest.raises(RequestRefusedError) as caught:
        harness.choose()
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.code == "no_target"
    assert caught.value.retry_after_s is not None


def test_recovery_keeps_live_hops_and_replaces_the_failed_one() -> None:
    harness = RouterHarness(*two_stages())
    chain = harness.choose()
    failed, kept = chain.hops[0], chain.hops[1]
    retried = harness.choose(avoid=frozenset({failed.target.id}), keep=(kept,))
    assert_covers(retried)
    assert retried.hops[-1] == kept
    assert retried.hops[0].target.id != failed.target.id


def test_recovery_drops_kept_hops_that_are_unusable_overlap_or_do_not_fit() -> None:
    harness = RouterHarness(*two_stages(), engine("w", 0, 24))
    chain = harness.choose(avoid=frozenset({"w"}))
    whole_model_chain = harness.choose(
        avoid=frozenset(f"{s}{n}" for s in "ab" for n in range(3))
    )
    harness.view.observe(chain.hops[0].target.id, Draining())
    retried = harness.choose(keep=(*chain.hops, *whole_model_chain.hops))
    assert_covers(retried)
    assert chain.hops[0].target.id not in target_ids(retried)


def test_prompts_with_a_common_prefix_share_engines_until_the_load_is_uneven() -> None:
    harness = RouterHarness(*two_stages(8))
    chains = []
    for _ in range(20):
        chain = harness.choose(prompt_key="chalk")
        harness.router.release(chain, COMPLETED)
        chains.append(tuple(target_ids(chain)))
    assert len(set(chains)) == 1
    in_flight = [
        tuple(target_ids(harness.choose(prompt_key="chalk"))) for _ in range(80)
    ]
    assert in_flight.count(chains[0]) < 40


def test_instances_with_the_same_outdated_report_do_not_all_choose_one_engine() -> None:
    chosen: list[str] = []
    for seed in range(9):
        harness = RouterHarness(*two_stages(10), seed=seed)

        def report(target_id: str, harness: RouterHarness = harness) -> LoadReport:
            waiting = 0 if target_id == "a0" else 20
            now_s = harness.clock.monotonic()
            return LoadReport(4, waiting, 4, 1000.0, 0.5, 2.0, now_s)

        harness.probe.load_of = report  # type: ignore[method-assign]
        chosen += [target_ids(harness.choose())[0] for _ in range(20)]
    assert 18 <= chosen.count("a0") <= 60  # Of 180 chains; an even share is 18.


def test_a_slow_engine_is_detected_and_gets_fewer_requests() -> None:
    harness = RouterHarness(*two_stages(4))
    for _ in range(400):
        chain = harness.choose()
        harness.clock.advance(0.05)
        slow = "a0" in target_ids(chain)
        seconds = 0.16 if slow else 0.02
        harness.router.release(chain, ChainResult(11, 0.0, seconds))
    harness.clock.advance(10)
    harness.choose()
    assert harness.router.dump()["models"]["m"][""]["slow_ids"] == ["a0"]
    chosen = [t for _ in range(200) for t in target_ids(harness.choose())]
    assert chosen.count("a0") < 0.5 * chosen.count("a1")


def test_a_chain_never_mixes_versions_of_the_weights() -> None:
    harness = RouterHarness(*two_stages(4))
    v2_engines = [
        engine(i.id, i.attributes["first_layer"], i.attributes["last_layer"], "v2")
        for i in two_stages(4)[::2]
    ]
    harness.update_list(*two_stages(4)[1::2], *v2_engines)
    seen = set()
    for _ in range(100):
        versions = {hop.target.version for hop in harness.choose().hops}
        assert len(versions) == 1
        seen |= versions
    assert seen == {"", "v2"}
    harness.update_list(*v2_engines)
    harness.clock.advance(6)
    chain = harness.choose()
    assert {hop.target.version for hop in chain.hops} == {"v2"}
    retried = harness.choose(keep=chain.hops[:1])
    assert retried.hops[0] == chain.hops[0]


def test_a_request_is_refused_if_no_single_version_covers_all_layers() -> None:
    harness = RouterHarness(engine("a", 0, 12), engine("b", 12, 24, "v2"))
    with pytest.raises(RequestRefusedError):
        harness.choose()


def test_the_old_plan_stays_after_planning_errors_and_a_stop() -> None:
    harness = RouterHarness(*two_stages())
    harness.choose()
    fleet = harness.router._fleets_by_model["m", 24].fleets_by_version[""]

    def fail(*args: Any) -> float:
        raise ValueError("odd configuration")

    fleet._rate_of = fail
    harness.clock.advance(60)
    assert_covers(harness.choose())
    assert harness.counters.count("routing.plan_faults") == 1
    harness.router._executor.submit = refuse  # type: ignore[method-assign]
    harness.clock.advance(60)
    assert_covers(harness.choose())
    assert harness.counters.count("routing.plans_after_stop") == 1


def refuse(*args: Any) -> Future:
    raise RuntimeError("cannot schedule new futures after shutdown")


def test_a_half_open_engine_gets_one_trial() -> None:
    harness = RouterHarness(*two_stages())
    harness.choose()
    harness.view.observe("a0", Refused())
    harness.clock.advance(1)
    chosen = [t for _ in range(60) for t in target_ids(harness.choose())]
    assert chosen.count("a0") == 1


def test_service_calls_prefer_the_own_domain_and_skip_avoided_targets() -> None:
    services = [
        engine(f"s{n}", 0, 0, role="service", target="s", domain=f"d{n % 3}")
        for n in range(6)
    ]
    harness = RouterHarness(*services)
    first = harness.router.choose_service("s", frozenset())
    assert first.domain == "d0"
    chosen = [harness.router.choose_service("s", frozenset()).domain for _ in range(60)]
    assert chosen.count("d0") > chosen.count("d1") > 5
    assert {
        harness.router.choose_service("s", frozenset({"s0", "s1", "s2", "s3"})).id
        for _ in range(20)
    } == {"s4", "s5"}
    with pytest.raises(RequestRefusedError):
        harness.router.choose_service("s", frozenset(f"s{n}" for n in range(6)))
