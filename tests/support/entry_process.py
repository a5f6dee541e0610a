"""An entry instance as a process, and waiting for what it does."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from itertools import count
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_S = 15.0


_NUMBERS = count(1)


def own_address():
    """Return a loopback address that no other process binds to.

    A port that is free when a test picks it may be taken by another test's server
    before the instance listens there; no two of them share an address here.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{next(_NUMBERS) % 254 + 1}"


def free_ports(ip, count):
    """Return so many different ports that are free at an address."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


class Entry:
    """One entry instance as a process."""

    def __init__(self, platform, directory, name="entry-1", zone="west", beside=None):
        """Prepare an instance.

        Parameters
        ----------
        beside
            Another instance, on whose ports this one listens at another address.
        """
        self.ip = own_address()
        self.front, self.ready, self.peer = (
            free_ports(self.ip, 3)
            if beside is None
            else (beside.front, beside.ready, beside.peer)
        )
        self.path = Path(directory) / f"{name}.json"
        self.log_path = Path(directory) / f"{name}.log"
        self.settings = {
            "nodeName": name,
            "zone": zone,
            "ip": self.ip,
            "seeds": [f"{beside.ip}:1"] if beside is not None else [],
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
            },
            "portRange": [self.peer, self.peer + 1],
            "bounds": {
                "graceS": 8,
                "retryBudget": 0.2,
                "retrySlack": 200,
                "retryWindowS": 10,
            },
            "platform": {"addr": platform.store_addr},
        }
        self.write_settings()
        self.process = None

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings))

    def start(self, planted=""):
        """Start the process; ``planted`` is a program that runs in it before."""
        command = ["-m", "celeryfork_adapter"]
        if planted:
            begin = "import sys\nfrom celeryfork_adapter.__main__ import main\n"
            command = ["-c", f"{begin}{planted}\nsys.exit(main())"]
        sources = [str(path) for path in (ROOT / "libs").glob("*/src")]
        environment = os.environ | {
            "CELERYFORK_CONFIG": str(self.path),
            "PYTHONPATH": os.pathsep.join([*sources, str(ROOT / "platform")]),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=self.path.parent,
            )
        return self

    def ask(self, path):
        connection = http.client.HTTPConnection(self.ip, self.ready, timeout=2)
        connection.request("GET", path)
        return connection.getresponse().read()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self):
        """Wait until the process is ready, or fail with what it printed."""
        until = time.monotonic() + READY_S
        while not self.is_ready():
            ended = self.process.poll() is not None
            if ended or time.monotonic() > until:
                state = f"ended with {self.process.returncode}" if ended else "runs"
                raise AssertionError(
                    f"not ready, {state}:\n{self.log_path.read_text()}"
                )
            time.sleep(0.05)
        return self

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def wait(self, timeout=12):
        return self.process.wait(timeout)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)

    def log(self):
        events = []
        for line in self.log_path.read_text().splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                events.append({"event": "unstructured", "line": line})
        return events

    def events(self, name):
        return [event for event in self.log() if event["event"] == name]

    def versions_in_force(self):
        events = self.events("configuration_in_force")
        return [event["version"] for event in events]

    def request(self, method, path, attempt, *, key="key-1", body=None, **headers):
        sent = {"Host": "shop.example", "X-Attempt-Id": attempt}
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection = http.client.HTTPConnection(self.ip, self.front, timeout=10)
        connection.request(method, path, body=body, headers=sent)
        return connection.getresponse()

    def stream(self, attempt, events=20, path="/advice/x", **headers):
        return self.request(
            "POST",
            path,
            attempt,
            body=b"prompt",
            X_Model="m",
            X_Token_Count=f"100,{events * 2}",
            X_Deadline_Ms="9000",
            **headers,
        )


def wait_for(condition, timeout_s, pause_s=0.05):
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(pause_s)
    raise AssertionError(f"not so within {timeout_s} s: {condition}")
