"""Tests of celeryfork_wire.peers."""

import pytest
from celeryfork_base.errors import PeerUnavailableError
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import (
    PermitBatch,
    PermitGrant,
    PermitRequest,
)
from celeryfork_wire.peers import PeerPool, PeerServer


class PermitHandler(Peer.Iface):
    def lease_permits(self, batch: PermitBatch) -> list[PermitGrant]:
        if any(request.wanted < 0 for request in batch.requests):
            raise ValueError("negative")
        return [grant_of(request) for request in batch.requests]


def grant_of(request: PermitRequest) -> PermitGrant:
    return PermitGrant(
        granted=request.wanted,
        lease_ms=1000,
        retry_after_ms=0,
        over_concurrency=False,
    )


def permit_request(wanted: int) -> PermitBatch:
    request = PermitRequest(organisation="o", wanted=wanted, in_use=0)
    return PermitBatch(instance="a", incarnation=1, requests=[request])


def test_a_call_reaches_the_peer_and_the_connection_is_kept() -> None:
    server = PeerServer("127.0.0.1", 0)
    server.start(PermitHandler())
    pool = PeerPool()
    for wanted in (1, 2):
        grants = pool.call(
            server.address,
            lambda peer, wanted=wanted: peer.lease_permits(permit_request(wanted)),
            timeout_s=5,
            fresh=False,
        )
        assert [grant.granted for grant in grants] == [wanted]
    pool.close()
    server.stop()


def test_a_refused_connection_is_known_not_to_have_been_sent() -> None:
    server = PeerServer("127.0.0.1", 0)
    address = server.address
    server.start(PermitHandler())
    server.stop()
    with pytest.raises(PeerUnavailableError) as caught:
        PeerPool().call(address, lambda peer: None, timeout_s=1, fresh=True)
    assert caught.value.sent is False


def test_a_server_stop_cuts_kept_connections() -> None:
    server = PeerServer("127.0.0.1", 0)
    server.start(PermitHandler())
    pool = PeerPool()
    lease = permit_request(1)
    pool.call(server.address, lambda p: p.lease_permits(lease), 5, fresh=False)
    server.stop()
    with pytest.raises(PeerUnavailableError) as caught:
        pool.call(server.address, lambda p: p.lease_permits(lease), 5, fresh=False)
    assert caught.value.sent is True


def test_a_failing_handler_is_reported_as_sent() -> None:
    server = PeerServer("127.0.0.1", 0)
    server.start(PermitHandler())
    lease = permit_request(-1)
    with pytest.raises(PeerUnavailableError) as caught:
        PeerPool().call(server.address, lambda p: p.lease_permits(lease), 5, fresh=True)
    assert caught.value.sent is True
    server.stop()


def test_idle_connections_are_bounded_over_all_peers(monkeypatch) -> None:
    monkeypatch.setattr("celeryfork_wire.peers.MOST_IDLE_CONNECTIONS", 3)
    servers = [PeerServer("127.0.0.1", 0) for _ in range(5)]
    pool = PeerPool()
    lease = permit_request(1)
    for server in servers:
        server.start(PermitHandler())
        pool.call(server.address, lambda p: p.lease_permits(lease), 5, fresh=False)
    assert [each.address for each in pool._idle] == [s.address for s in servers[2:]]
    pool.close()
    for server in servers:
        server.stop()


def test_a_connection_that_was_idle_for_long_is_not_used_again(monkeypatch) -> None:
    server = PeerServer("127.0.0.1", 0)
    server.start(PermitHandler())
    pool = PeerPool()
    lease = permit_request(1)
    pool.call(server.address, lambda p: p.lease_permits(lease), 5, fresh=False)
    kept = pool._idle[0]
    monkeypatch.setattr("celeryfork_wire.peers.LONGEST_IDLE_S", -1.0)
    pool.call(server.address, lambda p: p.lease_permits(lease), 5, fresh=False)
    assert kept not in pool._idle
    pool.close()
    server.stop()
