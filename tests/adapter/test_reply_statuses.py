"""Answers of the store whose status HTTP doesn't have, over real sockets."""

import asyncio
import base64
import contextlib
import json

import pytest
from celeryfork_adapter.store import Store
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.ports import StoreUnavailableError

OUTSIDE = ["000", "001", "099", "600", "999", "2x0", "2000"]
ROW = {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 1}
BODY = json.dumps(
    {"generation": 3, "parts": [["t", 0]], "items": [ROW], "end": 9}
).encode()
CALLS = {
    "newest": lambda store: store.newest("t"),
    "read": lambda store: store.read("t", LogPosition(1, 0), 1.0),
    "append": lambda store: store.append_keyed("t", "k", b"v"),
    "join": lambda store: store.join("g", "m", "t", 3.0, 0),
    "leave": lambda store: store.leave("g", "m"),
}


def call_store(*steps):
    """Call a store that answers with a status and an era; return it and the requests.

    Parameters
    ----------
    steps
        Status, era and call of each step.
    """
    targets, served = [], asyncio.Semaphore(0)

    async def run():
        answers = [
            b"HTTP/1.1 %s Odd\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n%s"
            % (status.encode(), era, len(BODY), BODY)
            for status, era, _ in steps
        ]

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while answers:
                    head = (await reader.readuntil(b"\r\n\r\n")).lower()
                    targets.append(head.split(b" ")[1].decode())
                    length = head.partition(b"content-length: ")[2].split(b"\r")[0]
                    await reader.readexactly(int(length or 0))
                    writer.write(answers.pop(0))
            writer.close()
            served.release()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        store = Store(f"{host}:{port}")
        for status, _, call in steps:
            if status == "200":
                await call(store)
            else:
                with pytest.raises(StoreUnavailableError):
                    await call(store)
        server.close()
        for _ in range(store._connections.opened):
            await served.acquire()
        return store

    return asyncio.run(asyncio.wait_for(run(), 5.0)), targets


@pytest.mark.parametrize("status", OUTSIDE)
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_nothing_of_an_answer_with_a_status_outside_http_is_believed(call, status):
    """Its era was believed, so that the list and the configuration were read anew."""
    first, bad = ("200", 1, CALLS["newest"]), (status, 9, call)
    assert call_store(first, bad)[0].era == 1


@pytest.mark.parametrize("status", OUTSIDE)
def test_the_read_after_a_status_outside_http_does_not_wait_for_changes(status):
    """It counts as an outage of the store."""

    async def read(store):
        with pytest.raises(StoreUnavailableError):
            await store.read("t", LogPosition(1, 0), 1.0)

    _, targets = call_store((status, 1, CALLS["read"]), ("200", 1, read))
    assert "waitms" in targets[0]
    assert "waitms" not in targets[1]
