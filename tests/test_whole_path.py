"""One request of each kind through separate entry instances and the stand-ins."""

import time

import pytest
import urllib3
from celeryfork_base.identity import make_uuid7
from celeryfork_bench.rig import ADMINISTRATOR_KEY, Rig, make_rig
from celeryfork_bench.small import KEY, ORGANISATION, small_deployment
from celeryfork_standin.text import expected_tokens
from openai import OpenAI


@pytest.fixture(scope="module")
def rig():
    made: Rig = make_rig(small_deployment())
    made.start()
    yield made
    made.stop()


@pytest.fixture
def http():
    with urllib3.PoolManager(retries=False, timeout=20) as pool:
        yield pool


def headers(**more: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {KEY}", **more}


def new_key() -> str:
    return str(make_uuid7(time.time_ns() // 1_000_000))


def test_existing_clients_complete_and_stream(rig: Rig) -> None:
    for daemon in rig.daemons():
        client = OpenAI(
            base_url=f"http://{daemon.http_address}/v1", api_key=KEY, max_retries=0
        )
        wanted = "".join(expected_tokens("reminder-writer", "chalky chai", 0, 9))
        whole = client.completions.create(
            model="reminder-writer", prompt="chalky chai", max_tokens=9
        )
        assert whole.choices[0].text == wanted
        streamed = client.completions.create(
            model="reminder-writer", prompt="chalky chai", max_tokens=9, stream=True
        )
        assert "".join(chunk.choices[0].text for chunk in streamed) == wanted
        chat = client.chat.completions.create(
            model="reminder-writer",
            messages=[{"role": "user", "content": "When do I descale?"}],
            max_tokens=5,
            stream=True,
        )
        parts = [chunk.choices[0].delta.content or "" for chunk in chat]
        assert len("".join(parts).split()) == 5
        assert [model.id for model in client.models.list()] == ["reminder-writer"]


def test_a_booking_sent_to_every_instance_runs_once(rig: Rig, http) -> None:
    key = new_key()
    answers = [
        http.request(
            "POST",
            f"http://{daemon.http_address}/v1/services/visit-desk/book",
            headers=headers(**{"Idempotency-Key": key}),
            body=b'{"visit": "tuesday"}',
        )
        for daemon in rig.daemons()
    ]
    assert {answer.headers["X-Celeryfork-Outcome"] for answer in answers} == {"done"}
    assert len({answer.data for answer in answers}) == 1
    assert len(rig.services.ran_by_key[key]) == 1


def test_a_ticket_runs_once_at_whichever_instance(rig: Rig, http) -> None:
    first = rig.daemons()[0]
    ticket = http.request(
        "POST",
        f"http://{first.http_address}/v1/tickets",
        headers=headers(),
        json={"service": "visit-desk", "kind": "book"},
    ).json()["ticket"]
    for daemon in reversed(rig.daemons()):
        answer = http.request(
            "POST",
            f"http://{daemon.http_address}/v1/services/visit-desk/book",
            headers=headers(**{"Idempotency-Key": ticket}),
            body=b"{}",
        )
        assert answer.headers["X-Celeryfork-Outcome"] == "done"
    assert len(rig.services.ran_by_key[ticket]) == 1


@pytest.mark.parametrize(
    ("path", "key", "body", "status", "code"),
    [
        ("/v1/completions", "nobody's", b"{}", 401, "unknown_key"),
        ("/v1/completions", KEY, b"{", 400, "malformed"),
        (
            "/v1/completions",
            KEY,
            b'{"model": "x", "prompt": "p"}',
            404,
            "unknown_model",
        ),
        ("/v1/services/visit-desk/book", KEY, b"{}", 400, "key_needed"),
        ("/v1/services/visit-desk/cook", KEY, b"{}", 404, "unknown_kind"),
        ("/v1/services/kitchen/cook", KEY, b"{}", 404, "unknown_service"),
        ("/v2/anything", KEY, b"{}", 404, "unknown_path"),
    ],
)
def test_a_refusal_names_the_outcome_and_the_remedy(
    rig: Rig, http, path: str, key: str, body: bytes, status: int, code: str
) -> None:
    answer = http.request(
        "POST",
        f"http://{rig.daemons()[0].http_address}{path}",
        headers={"Authorization": f"Bearer {key}", "X-Request-Id": "r-1"},
        body=body,
    )
    error = answer.json()["error"]
    assert (answer.status, error["code"]) == (status, code)
    assert error["outcome"] == answer.headers["X-Celeryfork-Outcome"] == "not_run"
    assert error["remedy"]
    assert error["request_id"] == answer.headers["X-Request-Id"] == "r-1"


def test_a_changed_limit_is_in_force_everywhere_within_seconds(rig: Rig) -> None:
    changed = {**ORGANISATION, "requests_per_second": 900}
    offset = rig.publish([{"name": "organisation/kilimani", "payload": changed}])
    rig.wait_in_force(offset, timeout_s=17)
    for daemon in rig.daemons():
        organisations = daemon.parts.follower.current.organisations_by_name
        assert organisations["kilimani"].requests_per_second == 900


def test_the_state_dump_is_for_the_administrator(rig: Rig, http) -> None:
    address = rig.daemons()[0].http_address
    refused = http.request("GET", f"http://{address}/debug/state", headers=headers())
    assert refused.status == 401
    administrator = {"Authorization": f"Bearer {ADMINISTRATOR_KEY}"}
    one_part = http.request(
        "GET", f"http://{address}/debug/state?part=peers", headers=administrator
    )
    assert list(one_part.json()) == ["peers"]
    state = rig.daemons()[0].dump()
    assert all("dump_failed" not in str(part) for part in state.values())
    assert state["process"]["ready"] is True
