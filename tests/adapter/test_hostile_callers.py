"""Misbehaving callers: the process lives, stays within its limits and serves others.

Crowds of callers have made processes run out of memory and descriptors. The bounds
follow from the settings; nothing here depends on the speed of the machine.
"""

import asyncio
import socket
import time
from contextlib import suppress
from itertools import repeat
from pathlib import Path

import pytest
from attrs import evolve, frozen
from entry_process import Entry
from platform_standins import make_configuration

MEMORY_MB = 128
MAX_FDS = 256
BODY_BYTES = 1 << 20
SEND_S = 4.0
"""Seconds after which a crowd that can't send more is judged as it is."""
ANSWER_S = 20.0
"""Seconds within which an ordinary request is answered while the crowd stays open."""
ANSWER_BYTES = 1 << 20
PLACES = {
    "route": ("front", "/look/open/1"),
    "no route": ("front", "/nowhere"),
    "readiness": ("ready", "/metrics"),
}


@frozen
class Crowd:
    """Connections that all send the same bytes and stay open.

    Parameters
    ----------
    connections
        Number of connections.
    pieces
        Bytes that each of them sends in one call, in order.
    pause_s
        Seconds between two of these calls.
    reads
        True if a connection reads one byte after each piece.
    """

    connections: int
    pieces: list
    pause_s: float = 0.0
    reads: bool = False


def head(path, *fields, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def body(path, length=BODY_BYTES, sent=BODY_BYTES - 1, piece=BODY_BYTES):
    data = head(path, f"Content-Length: {length}") + bytes(sent)
    return [data[start : start + piece] for start in range(0, len(data), piece)]


def chunks(path, count):
    return [
        head(path, "Transfer-Encoding: chunked"),
        *repeat(b"3e8\r\n" + bytes(1000) + b"\r\n", count),
    ]


def short_fields(path):
    return head(path, *(f"a{number:x}: b" for number in range(1600)), method="GET")


def get(path):
    return head(path, "X-Attempt-Id: big", method="GET")


CROWDS = {
    "bodies in one piece": lambda path: Crowd(150, body(path)),
    "bodies in small pieces": lambda path: Crowd(150, body(path, piece=1000)),
    "bodies in chunks": lambda path: Crowd(150, chunks(path, 1040)),
    "bodies over the limit": lambda path: Crowd(100, body(path, 64 << 20, 4 << 20)),
    "chunks over the limit": lambda path: Crowd(100, chunks(path, 4000)),
    "short fields": lambda path: Crowd(150, [short_fields(path) * 20]),
    "pipelined and not read": lambda path: Crowd(150, [get(path) * 3000]),
    "unfinished heads": lambda path: Crowd(300, [short_fields(path)[:-2]]),
    "one byte a second": lambda path: Crowd(
        300, [bytes([byte]) for byte in get(path)[:5]], 1.0
    ),
    "answers read slowly": lambda path: Crowd(
        150, [get(path) * 20, *repeat(b"", 4)], 1.0, reads=True
    ),
    "bodies half-way": lambda path: Crowd(180, body(path, sent=BODY_BYTES // 2)),
}


def limited_configuration():
    limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": BODY_BYTES}
    limits |= {"headerTimeoutMs": 5000, "idleTimeoutMs": 15_000}
    return {"limits": make_configuration(0)["limits"] | limits}


@pytest.fixture
def entry(platform, tmp_path):
    platform.add_service("desk-1", "west")
    platform.answer_bytes["big"] = ANSWER_BYTES
    platform.configure(**limited_configuration())
    entry = Entry(platform, tmp_path)
    entry.settings["limits"] = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
    entry.write_settings()
    try:
        yield entry.start().wait_ready()
    finally:
        entry.end()


async def send(address, crowd):
    """Send a crowd's bytes over one connection, which is returned open."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    try:
        with suppress(ConnectionError):
            await loop.sock_connect(sock, address)
            for piece in crowd.pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(crowd.pause_s)
                if crowd.reads:
                    await loop.sock_recv(sock, 1)
        await asyncio.Event().wait()
    finally:
        sock.close()


async def judge(entry, crowds):
    """Open crowds, and ask for an ordinary answer while they are open."""
    senders = [
        asyncio.ensure_future(send((entry.ip, getattr(entry, port)), crowd))
        for port, crowd in crowds
        for _ in range(crowd.connections)
    ]
    descriptors = 0
    try:
        until = time.monotonic() + SEND_S
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            with suppress(FileNotFoundError):
                open_now = sum(1 for _ in proc(entry, "fd").iterdir())
                descriptors = max(descriptors, open_now)
        answered = await asyncio.to_thread(ordinary_answer, entry)
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
    return descriptors, answered


def ordinary_answer(entry):
    """Return the status of an ordinary request, the last one if it is not 200."""
    until, status = time.monotonic() + ANSWER_S, None
    while status != 200 and time.monotonic() < until:
        with suppress(OSError):
            status = entry.request("POST", "/look/1", "ordinary", body=b"x").status
    return status


def proc(entry, name):
    return Path("/proc") / str(entry.process.pid) / name


def peak_memory_mb(entry):
    lines = proc(entry, "status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def check(entry, crowds):
    descriptors, status = asyncio.run(judge(entry, crowds))
    assert entry.process.poll() is None, "the process ended"
    seen = f"{peak_memory_mb(entry):.0f} MB, {descriptors} descriptors, {status}"
    print(seen)
    assert peak_memory_mb(entry) <= MEMORY_MB, seen
    assert descriptors <= MAX_FDS, seen
    assert status == 200, seen
    assert not entry.events("task_failed")


@pytest.mark.trial
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_stays_within_the_limits(entry, name, place):
    """It made the process hold more memory or descriptors than its machine has."""
    port, path = PLACES[place]
    check(entry, [(port, CROWDS[name](path))])


@pytest.mark.trial
def test_all_crowds_at_once_stay_within_the_limits(entry):
    """Limits for one kind of load each could add up to more than the machine has."""
    crowds = [
        (port, evolve(crowd, connections=crowd.connections // 10))
        for port, path in PLACES.values()
        for crowd in (make(path) for make in CROWDS.values())
    ]
    check(entry, crowds)
