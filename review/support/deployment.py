"""A small deployment of the platform's program and stand-ins, as processes."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from server import put_record
from wire import send

ROOT = Path(__file__).resolve().parents[2]
SUPPORT = Path(__file__).resolve().parent
MEMORY_MB = 300
MOST_MACHINES = 6
START_S = 10.0
STREAM_TIMEOUT_MS = 8_000
PLAIN_TIMEOUT_MS = 1_200
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lostMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudget": 0.2, "retryWindowS": 10,
    "retrySlack": 202, "recoverS": 12, "passMs": 120, "againS": 0, "stall_ms": 2500,
    "requireFence": True,
}  # fmt: skip


class NotRunError(Exception):
    """The case can't run here."""


class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    def __init__(self, path):
        self._file = path.open("w")
        self._begun_s = time.monotonic()

    def note(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._begun_s:8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text):
        """Write and print one line."""
        self.note(text)
        print(text, flush=True)


class Machine:
    """One process of the platform's program, with its settings file."""

    def __init__(self, name, zone, store, directory, ports):
        self.name, self.zone = name, zone
        self.ip = next(_addresses)
        self.front, self.ready, control, peer = ports
        self.settings_path = directory / f"{name}.json"
        self.log_path = directory / f"{name}.log"
        self.process = None
        self.settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": zone,
            "region": "mellansverige",
            "zones": {zone: "mellansverige"},
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
                "control": f"{self.ip}:{control}",
            },
            "portRange": [peer, peer + 1],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },  # fmt: skip
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "addr": store,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 8,
                "appendMs": 4.0,
                "partMbS": 20.0,
                "readMbS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 300,
                "partMb": 200,
                "ttlMinMs": 1000,
            },  # fmt: skip
        }

    @property
    def address(self):
        """Return the address for clients."""
        return f"{self.ip}:{self.front}"

    def start(self):
        """Start the program with the command of the deploy file."""
        self.settings_path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CELERYFORK_CONFIG"] = str(self.settings_path)
        environment["PYTHONPATH"] = "target/deps"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "celeryfork_adapter"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        """Return True if it says that it takes new clients."""
        answer = await send(f"{self.ip}:{self.ready}", "GET", "/-/readyz", wait_s=1.0)
        return answer.status == 200

    def memory_mb(self):
        """Return the resident memory of the process in MB, 0 once it has ended."""
        with contextlib.suppress(OSError, ValueError):
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def events(self, name):
        """Return the log lines of an event."""
        found = []
        for line in self.log_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if fields.get("event") == name:
                    found.append(fields)
        return found


class Deployment:
    """The store, servers and machines of one case."""

    def __init__(self, directory, record):
        self.directory, self.record = directory, record
        self._store_addresses = [
            f"{next(_addresses)}:{free_ports(1)[0]}" for _ in range(1 + MOST_MACHINES)
        ]
        self.store = self._store_addresses[0]
        self.processes, self.machines, self.servers = [], [], {}
        self._commands = {}
        self._ports = free_ports(4)
        self._version = 7
        self._start(["store.py", *self._store_addresses], "store")

    def _start(self, command, name):
        with (self.directory / f"{name}.out").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, SUPPORT / command[0], *command[1:]],
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    def add_machine(self, zone="mv-a"):
        """Start one more machine."""
        name = f"front-{zone}-{len(self.machines) + 1}"
        store = self._store_addresses[1 + len(self.machines)]
        machine = Machine(name, zone, store, self.directory, self._ports)
        self.machines.append(machine)
        machine.start()
        return machine

    def add_server(self, name, service, *, zone="mv-a", kind="", **options):
        """Start one more server."""
        address = f"{next(_addresses)}:{free_ports(1)[0]}"
        command = ["server.py", "--id", name, "--addr", address, "--zone", zone]
        command += ["--service", service, "--store", self.store, "--kind", kind]
        for key, value in options.items():
            command += [f"--{key.replace('_', '-')}", str(value)]
        process = self._start(command, name)
        self.servers[name] = (address, process)
        self._commands[name] = command

    def kill_server(self, name):
        """Kill the process of a server."""
        process = self.servers[name][1]
        process.kill()
        process.wait(5)

    def restart_server(self, name):
        """Start a server again at its address."""
        self.servers[name] = (
            self.servers[name][0],
            self._start(self._commands[name], name),
        )

    async def set_mode(self, name, mode, share=1.0):
        """Set what a server does wrong."""
        self.record.note(f"server {name}: mode {mode or 'sound'!r}, share {share:g}")
        address, _ = self.servers[name]
        target = f"/stand-in/mode?mode={mode}&share={share}"
        await send(address, "POST", target)

    async def turn_away(self, machines):
        """Let the store serve all machines but these."""
        self.record.note(f"store turns away: {[each.name for each in machines]}")
        at = ",".join(each.settings["platform"]["addr"] for each in machines)
        await send(self.store, "POST", f"/stand-in/turn-away?at={at}")

    async def set_store_busy(self, busy):
        """Let the store answer all calls with 503, or serve again."""
        self.record.note(f"store busy: {busy}")
        await send(self.store, "POST", f"/stand-in/busy?on={int(busy)}")

    async def unlist(self, name):
        """Remove a server from the store's list."""
        self.record.note(f"server {name}: removed from the list")
        await put_record(self.store, name, b"")

    async def configure(self):
        """Write a configuration, as the operator does."""
        self._version += 3
        encoded = json.dumps(make_configuration(self._version)).encode()
        until_s = time.monotonic() + START_S
        while not await put_record(self.store, "config", encoded, "keyed.op"):
            if time.monotonic() > until_s:
                raise NotRunError("the store doesn't serve")
            await asyncio.sleep(0.05)

    async def wait_until_serving(self, check, wait_s=25.0):
        """Wait until all machines are ready and ``check`` succeeds on each.

        Raises
        ------
        NotRunError
        """
        until_s = time.monotonic() + wait_s
        for machine in self.machines:
            while not (await machine.is_ready() and await check(machine)):
                if machine.process.poll() is not None or time.monotonic() > until_s:
                    raise NotRunError(f"{machine.name} doesn't serve")
                await asyncio.sleep(0.1)

    def server_notes(self, event, server=None):
        """Return the notes of servers about an event, in order of time."""
        found = []
        for name in self.servers if server is None else [server]:
            for line in (self.directory / f"{name}.out").read_text().splitlines():
                with contextlib.suppress(ValueError):
                    fields = json.loads(line)
                    if fields["event"] == event:
                        found.append(fields)
        return sorted(found, key=lambda each: each["at"])

    def end(self):
        """End all processes that this deployment started."""
        started = [each.process for each in self.machines if each.process]
        for process in [*started, *self.processes]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(5)


def make_configuration(version):
    """Return a configuration like that of the small site."""
    route = {"host": "ficu95.example", "priority": 1, "public": False}
    stream = {
        "kind": "stream", "timeoutMs": STREAM_TIMEOUT_MS, "sloMs": 500,
        "service": "llm", "maxAttempts": 2, "sticky": True, "resumable": True,
        "gapAimMs": 200,
    }  # fmt: skip
    plain = {"timeoutMs": PLAIN_TIMEOUT_MS, "sloMs": 150, "service": "desk"}
    return {
        "version": version,
        "routes": [
            route | stream | {"name": "r-plan", "pathPrefix": "/plan/"},
            route
            | plain
            | {"name": "r-order", "pathPrefix": "/order/", "kind": "unsafe"}
            | {"maxAttempts": 1},
            route
            | plain
            | {"name": "r-status", "pathPrefix": "/status/", "kind": "safe"}
            | {"maxAttempts": 2},
        ],
        "services": [
            {
                "name": "llm", "healthPath": "/healthz", "maxConns": 908,
                "protocol": "h1", "tls": False,
                "engine": {
                    "slots": 96, "kvCapacity": 100_000, "kvTokenBytes": 80_000,
                    "linkMbps": 480000.0, "stride": 2, "step_ms": 10.0,
                    "per_seq_ms": 0.008, "context_per_k": 0.01,
                    "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512,
                    "report_lag_ms": 200.0, "loads_at_once": 6,
                    "usual": {"prompt": 100, "answer": 174},
                    "models": [{"name": "m", "pace": 1.0, "loadS": 0.5}],
                    "layers": 8, "layerMb": 100.0, "actBytes": 1000,
                    "pipeMbps": 11000.0, "delays": [],
                    "kinds": [
                        {"name": "a100s", "mb": 20000.0, "pace": 1.0, "readX": 1.0},
                        {"name": "l4", "mb": 3300.0, "pace": 1.5, "readX": 1.5},
                    ],
                },
            },
            {
                "name": "desk", "healthPath": "/healthz", "maxConns": 52,
                "protocol": "h1", "tls": False,
            },
        ],
        "limits": LIMITS,
        "tenants": [{"name": "hule930", "apiKeys": ["key-1"], "priority": 1}],
    }  # fmt: skip


async def send_stream(machine, attempt, events, deadline_s=20.0):
    """Send a stream's request to a machine, and return its answer."""
    headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", attempt),
        ("X-Model", "m"),
        ("X-Token-Count", f"100,{2 * events}"),
        ("X-Prompt-Prefix", f"{attempt.encode().hex()}:100"),
        ("X-Deadline-Ms", str(round(deadline_s * 1000))),
        ("Authorization", "Bearer key-1"),
    ]
    return await send(
        machine.address, "POST", "/plan/2f", headers, b"prompt", deadline_s
    )


async def send_plain(machine, attempt, kind, deadline_s=2.5):
    """Send an ``order`` (unsafe) or ``status`` (safe) request, return its answer."""
    headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(round(deadline_s * 1000))),
        ("Authorization", "Bearer key-1"),
    ]
    method, body = ("POST", b"order") if kind == "order" else ("GET", b"")
    return await send(machine.address, method, f"/{kind}/2f", headers, body, deadline_s)


def free_ports(count):
    """Return ports that are free at all loopback addresses at the moment."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


def _loopback_addresses():
    """Yield loopback addresses that other processes hardly use."""
    high, low = divmod(os.getpid(), 250)
    for number in itertools.count(1):
        yield f"127.{1 + high % 250}.{1 + low}.{number % 254 + 1}"


_addresses = _loopback_addresses()


def run_case(folder, play):
    """Run a case and return its exit code.

    ``play`` gets the deployment, the record, and True if the disruption comes; it
    returns what was broken, an empty list if the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # What was started is ended also if the case itself is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(Path(folder).resolve() / "record.txt")
    record.note(f"trouble: {trouble}")
    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        deployment = Deployment(Path(directory), record)
        try:
            broken = asyncio.run(play(deployment, record, trouble))
        except Exception as error:
            # Anything unexpected, also a fault of the case itself, is no verdict.
            record.conclude(f"NOT RUN: {error!r}")
            return NOT_RUN
        finally:
            deployment.end()
            keep = os.environ.get("KEEP")
            if keep:
                _copy(Path(directory), Path(keep))
    for each in broken[:20]:
        record.conclude(f"BROKEN: {each}")
    record.conclude("rule broken" if broken else "rule held")
    return BROKEN if broken else HELD


def _copy(directory, to):
    to.mkdir(parents=True, exist_ok=True)
    for path in directory.iterdir():
        (to / path.name).write_bytes(path.read_bytes())


def count_ends(answers):
    """Return how many answers had each status and end."""
    return dict(Counter(f"{each.status} {each.ended}" for each in answers))
