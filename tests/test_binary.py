"""The one binary, as an operator runs it."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from threading import Thread

import psutil
import pytest
import urllib3
from celeryfork_bench.settings_files import write_settings
from celeryfork_bench.small import KEY, small_deployment
from celeryfork_standin.standins import make_standins
from celeryfork_standin.text import expected_tokens
from orjson import loads

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "celeryfork"
MOST_STOP_S = 30.0
START_S = 60.0

pytestmark = [pytest.mark.slow, pytest.mark.timeout(300)]


@pytest.fixture(scope="module")
def environment(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    """Return an environment in which only the binary can bring our libraries."""
    kept = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    return {**kept, "SHIV_ROOT": str(tmp_path_factory.mktemp("unpacked"))}


@pytest.fixture(scope="module")
def binary(environment: dict[str, str]) -> Path:
    made = subprocess.run(
        [sys.executable, ROOT / "tools" / "make_binary.py"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert made.returncode == 0, made.stderr
    return BINARY


def run(binary: Path, environment: dict[str, str], *arguments: str):
    # Without site packages (-S -E) nothing of the test's venv can help out.
    return subprocess.run(
        [sys.executable, "-S", "-E", binary, *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=START_S,
    )


def test_version(binary: Path, environment: dict[str, str]) -> None:
    ran = run(binary, environment, "version")
    assert ran.returncode == 0, ran.stderr
    assert ran.stdout.startswith("celeryfork ")


def test_check_tells_good_from_bad(
    binary: Path, environment: dict[str, str], tmp_path: Path
) -> None:
    standins = make_standins(small_deployment())
    standins.start()
    good = write_settings(standins, tmp_path)[0]
    standins.stop()
    assert run(binary, environment, "check", str(good)).returncode == 0
    bad = tmp_path / "bad.json"
    bad.write_text('{"instanse": "e"}')
    ran = run(binary, environment, "check", "--json", str(bad))
    assert ran.returncode == 2
    assert {fault["path"] for fault in loads(ran.stdout)["faults"]} >= {"$.instanse"}
    assert "Traceback" not in ran.stderr


def test_serve_answers_alone_and_stops_gracefully(
    binary: Path, environment: dict[str, str], tmp_path: Path
) -> None:
    standins = make_standins(small_deployment())
    standins.start()
    # Only this instance is listed as running: the others are never started.
    settings = write_settings(standins, tmp_path)[0]
    address = "127.0.0.1:{http_port}".format(**loads(settings.read_bytes()))
    served = subprocess.Popen(
        [sys.executable, "-S", "-E", binary, "serve", str(settings)],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output: list[bytes] = []
    reader = Thread(target=lambda: output.extend(served.stdout), daemon=True)
    reader.start()
    try:
        wait_ready(address, served)
        assert ask(address) == "".join(
            expected_tokens("reminder-writer", "chalky chai", 0, 9)
        )
        assert psutil.Process(served.pid).children(recursive=True) == []
        assert not [name for name in open_files(served.pid) if "io_uring" in name]
        began_s = time.monotonic()
        served.send_signal(signal.SIGTERM)
        assert served.wait(MOST_STOP_S) == 0, b"".join(output)
        assert time.monotonic() - began_s < MOST_STOP_S
        reader.join(5.0)
        assert b"Traceback" not in b"".join(output)
    finally:
        served.kill()
        served.wait(10)
        standins.stop()


def open_files(pid: int) -> list[str]:
    found = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            found.append(str(link.readlink()))
        except FileNotFoundError:
            continue
    return found


def wait_ready(address: str, served: subprocess.Popen) -> None:
    deadline_s = time.monotonic() + START_S
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        while time.monotonic() < deadline_s:
            assert served.poll() is None, "the instance ended by itself"
            try:
                if pool.request("GET", f"http://{address}/readyz").status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.05)
    raise AssertionError("the instance was not ready in time")


def ask(address: str) -> str:
    with urllib3.PoolManager(retries=False, timeout=20) as pool:
        answer = pool.request(
            "POST",
            f"http://{address}/v1/completions",
            headers={"Authorization": f"Bearer {KEY}"},
            json={"model": "reminder-writer", "prompt": "chalky chai", "max_tokens": 9},
        )
    assert answer.status == 200, answer.data
    text: str = answer.json()["choices"][0]["text"]
    return text
