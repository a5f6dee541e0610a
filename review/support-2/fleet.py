"""The store, the settings, the entry processes and the record of a scripted case.

The stand-ins follow PROTOCOL.md and DEPLOY.md and use the standard library only.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from http_lite import encode_reply, exchange, read_request

ROOT = Path(__file__).resolve().parents[2]
READY_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
BEAT_S = 1.2
"""Interval in seconds between two writes of a target to the store (beatIntervalMs)."""


class CannotRunError(Exception):
    """The case couldn't be played, so that it says nothing of the rule."""


def with_trouble():
    """Return False if the case is to be played without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with seconds since the begin."""

    def __init__(self, directory):
        self._file = (Path(directory) / "record.txt").open("w")
        self._begun_s = time.monotonic()

    def add(self, what, **fields):
        """Write one line."""
        at_s = time.monotonic() - self._begun_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {what} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: a log with keyed topics and groups, in memory."""

    def __init__(self, record):
        self.record = record
        self.records_by_topic = {}
        self.down = False
        self.answered_lists_s = []
        self._members = {}
        self._generation = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port, which stays the same during outages."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def fall(self):
        """Begin an outage: all calls are answered 503 (platform_down, how busy)."""
        self.down = True
        self._changed.set()
        self._changed = asyncio.Event()

    def rise(self):
        """End the outage."""
        self.down = False

    def put(self, topic, key, value):
        """Append a record of a key; an empty value drops the key."""
        data = json.dumps(value).encode() if value is not None else b""
        self.records_by_topic.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                reply = await self._answer(request)
                if self.down:
                    reply = encode_reply(503)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller left, or the case ends.
        finally:
            writer.close()

    async def _answer(self, request):
        if self.down:
            return encode_reply(503)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/-/log-newest":
                return self._newest(query["topic"])
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-append":
                return self._append(query["topic"], request.body)
            case "/-/log-join":
                return self._join(json.loads(request.body))
            case "/-/log-leave":
                body = json.loads(request.body)
                if self._members.pop(body["member"], None) is not None:
                    self._generation += 1
                return _json_reply({})
        return encode_reply(400)

    def _newest(self, topic):
        records = self.records_by_topic.get(topic, [])
        newest = {key: (offset, data) for offset, (key, data) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
            for key, (offset, data) in newest.items()
            if data
        ]
        if topic == "keyed.servers":
            self.answered_lists_s.append(time.monotonic())
        return _json_reply({"items": items, "truncated": False, "end": len(records)})

    async def _read(self, query):
        topic, start = query["topic"], int(query["from"])
        until_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(self.records_by_topic.get(topic, [])) <= start and not self.down:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        records = self.records_by_topic.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, data in records[start:]:
            content = bytes([len(key)]) + key.encode() + data
            body += struct.pack(">I", len(content)) + content
        if topic == "keyed.servers":
            self.answered_lists_s.append(time.monotonic())
        return encode_reply(200, (), body)

    def _append(self, topic, body):
        records = self.records_by_topic.setdefault(topic, [])
        offset, position = len(records), 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            name, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            records.append((name.decode(), value))
        return _json_reply({"offset": offset, "end": len(records)})

    def _join(self, body):
        now_s = time.monotonic()
        alive = {name: end_s for name, end_s in self._members.items() if end_s > now_s}
        if set(alive) != set(self._members) or body["member"] not in alive:
            self._generation += 1
        alive[body["member"]] = now_s + body["ttlMs"] / 1000
        self._members = alive
        names = sorted(alive)
        rows = [
            [topic, part, 0]
            for topic in body["topics"]
            for part in range(8)
            if names[part % len(names)] == body["member"]
        ]
        return _json_reply({"generation": self._generation, "parts": rows})


def _json_reply(value):
    body = json.dumps(value).encode()
    return encode_reply(200, (("Content-Type", "application/json"),), body)


def free_ports(ip, count):
    """Return so many different ports that are free at an address."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


class Entry:
    """One process of the deploy file's role, with a settings file as in DEPLOY.md."""

    def __init__(self, store, directory, number=1, zone="mv-a", **bounds):
        self.ip = (
            f"127.{40 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}.{number}"
        )
        front, ready, control, peer = free_ports(self.ip, 4)
        self.front, self.ready = f"{self.ip}:{front}", f"{self.ip}:{ready}"
        self.log_path = Path(directory) / f"entry-{number}.log"
        self._settings_path = Path(directory) / f"entry-{number}.json"
        settings = {
            "nodeName": f"front-{zone}-{number}",
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": zone,
            "region": "mellansverige",
            "zones": {zone: "mellansverige"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{self.ip}:{control}",
            },
            "portRange": [peer, peer + 15],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": 1200,
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "addrReuseS": 2,
                "stableWindowMs": 3000,
                "ackMs": 4000,
                "catchUpS": 4,
                "drainMs": 2000,
                "graceS": 8,
                "lostMs": 200,
                "configApplyMs": 2000,
                "rollbackSlackMs": 250,
                "maxStretchMs": 5000,
                "retryBudget": 0.2,
                "retryWindowS": 10,
                "retrySlack": 202,
                "recoverS": 12,
                "passMs": 120,
                "stall_ms": 2500,
                "requireFence": True,
            }
            | bounds,
            "platform": {"addr": store.address, "form": "log", "parts": 8},
        }
        self._settings_path.write_text(json.dumps(settings))
        self.process = None

    def start(self):
        """Start the program of the deploy file with the modules that it has built."""
        if not (ROOT / "target" / "deps" / "celeryfork_adapter").is_dir():
            raise CannotRunError("target/deps is missing: run the deploy file's build")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CELERYFORK_CONFIG"] = str(self._settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "celeryfork_adapter"],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    async def wait_ready(self):
        """Wait until the platform would send callers here."""
        until_s = time.monotonic() + READY_S
        while time.monotonic() < until_s:
            if self.process.poll() is not None:
                break
            reply = await exchange(self.ready, "GET", "/-/readyz", HOST, timeout_s=1)
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"not ready: {self.log_path.read_text()[-2000:]}")

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """End the process, also a stopped one."""
        end_process(self.process)

    def events(self, name):
        """Return the lines of the log with an event."""
        found = []
        for line in self.log_path.read_text().splitlines():
            with suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == name:
                    found.append(event)
        return found


def end_process(process):
    """End a process that the case started."""
    if process is not None and process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait(5)


HOST = (("Host", "farm.example"),)


def configuration(version, **changes):
    """Return a configuration of the operator with a plain service."""
    route = {
        "host": "farm.example",
        "timeoutMs": 2500,
        "sloMs": 150,
        "priority": 2,
        "public": False,
        "service": "bestall-app",
    }
    return {
        "version": version,
        "routes": [
            route
            | {
                "name": "place-order",
                "pathPrefix": "/order/",
                "kind": "unsafe",
                "maxAttempts": 1,
            },
            route
            | {
                "name": "order-status",
                "pathPrefix": "/status/",
                "kind": "safe",
                "maxAttempts": 2,
            },
        ],
        "services": [{"name": "bestall-app", "healthPath": "/healthz", "maxConns": 52}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "caterer", "apiKeys": ["key-1"], "priority": 1}],
    } | changes


def caller_headers(attempt, deadline_ms=2500, host="farm.example"):
    """Return the headers of a client's request."""
    return (
        ("Host", host),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Authorization", "Bearer key-1"),
    )


def target_entry(address, beats, born, state="ready", zone="mv-a", slots=6, **more):
    """Return what a target writes to the store."""
    return {
        "service": "bestall-app",
        "addr": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "coldLeftMs": 0,
        "seq": beats,
        "born": born,
    } | more
