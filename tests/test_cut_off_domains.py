"""A domain without the platform, without peers, and without both."""

import pytest
from celeryfork_bench.rig import Rig, wait_until
from celeryfork_bench.small import DOMAINS, MODEL, SERVICE
from celeryfork_bench.small import ORGANISATION as LIMITS
from celeryfork_daemon.entry import Daemon
from trial import (
    book,
    complete,
    mint,
    new_key,
    outcome_of,
    post,
    small_rig,
)

DOMAIN = DOMAINS[0]
STATES = {"platform": (True, False), "peers": (False, True), "both": (True, True)}


@pytest.fixture
def rig():
    with small_rig() as made:
        yield made


def cut(rig: Rig, state: str) -> Daemon:
    """Cut the first domain off and return its instance, once it has noticed."""
    platform, peers = STATES[state]
    rig.platform.cut_off(DOMAIN, platform)
    rig.cut_off_peers(DOMAIN, peers)
    alone = rig.daemons_by_name[f"entry-{DOMAIN}"]
    if peers:
        wait_until(
            "the instance alone",
            lambda: not alone.parts.membership.gossip.peers_by_instance,
            20.0,
        )
    return alone


def heal(rig: Rig) -> None:
    rig.platform.cut_off(DOMAIN, False)
    rig.cut_off_peers(DOMAIN, False)


@pytest.mark.parametrize("state", STATES)
def test_what_a_cut_off_domain_serves_and_refuses(rig: Rig, state: str) -> None:
    alone = cut(rig, state)
    address = alone.http_address
    assert alone.ready
    assert outcome_of(complete(address)) == "done"
    slots = post(address, f"/v1/services/{SERVICE}/slots", {})
    assert outcome_of(slots) == "done"
    ticket = mint(address)
    assert outcome_of(book(address, ticket)) == "done"
    assert len(rig.services.ran_by_key[ticket]) == 1

    key = new_key()
    reply = book(address, key)
    if STATES[state][0]:
        error = reply.json()["error"]
        assert (outcome_of(reply), error["code"]) == ("not_run", "log_unavailable")
        assert "ticket" in error["remedy"]
        assert key not in rig.services.ran_by_key
    else:
        assert outcome_of(reply) == "done"

    heal(rig)
    rig.wait_ready()
    wait_until("bookings again", lambda: outcome_of(book(address, key)) == "done", 20)
    assert len(rig.services.ran_by_key[key]) == 1


@pytest.mark.parametrize("state", STATES)
def test_healing_converges_without_reverting(rig: Rig, state: str) -> None:
    alone = cut(rig, state)
    before = alone.parts.follower.current.offset
    seen = [before]
    offset = rig.publish(
        [{"name": f"model/{MODEL}", "payload": {"layers": 24, "most_tokens": 777}}]
    )
    others = [daemon for daemon in rig.daemons() if daemon is not alone]

    def in_force(daemons: list[Daemon]) -> bool:
        seen.append(alone.parts.follower.current.offset)
        return all(d.parts.follower.current.offset >= offset for d in daemons)

    wait_until("in force at the others", lambda: in_force(others), 17.0)
    if state == "both":
        assert alone.parts.follower.current.offset == before
    else:
        wait_until("in force by the way that is left", lambda: in_force([alone]), 17.0)
    heal(rig)
    wait_until("in force everywhere", lambda: in_force(rig.daemons()), 17.0)
    rig.wait_ready()
    assert seen == sorted(seen)


def test_a_cut_does_not_multiply_limits(rig: Rig) -> None:
    limits = {**LIMITS, "requests_per_second": 30, "burst": 30}
    offset = rig.publish([{"name": "organisation/kilimani", "payload": limits}])
    rig.wait_in_force(offset, timeout_s=17)
    cut(rig, "both")
    began_s = rig.daemons()[0].parts.clock.monotonic()
    done = 0
    for _ in range(40):
        for daemon in rig.daemons():
            reply = post(daemon.http_address, f"/v1/services/{SERVICE}/slots", {})
            done += outcome_of(reply) == "done"
    took_s = rig.daemons()[0].parts.clock.monotonic() - began_s
    # Each instance may hold what it leased before the cut, once.
    allowed = 30 + 30 * took_s
    assert done <= 1.34 * allowed + 30
