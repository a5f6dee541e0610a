"""What control costs one entry instance, idle and busy.

All instances and stand-ins share a process here, so the processor time is that of the
instances' own control threads, and the bytes are those of their connections to peers
and to the platform, each divided by the number of instances. Threads and connections
that ended meanwhile are not counted.
"""

import os
import resource
import socket
import struct
import threading
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from attrs import frozen

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.rig import Rig
from celeryfork_bench.summary import deployment_bound
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

MOST_PROCESSOR_PERCENT = 2.0
MOST_MEGABYTES = 256.0
MOST_BYTES_PER_S = 4096.0
CONTROL_THREADS = frozenset(
    {
        "admission-sweep",
        "capacity",
        "claims-append",
        "claims-follow",
        "config-carrier",
        "config-follower",
        "gossip",
        "leases",
        "metrics",
        "orders",
        "peer",
        "peer-server",
        "probe",
        "watch",
    }
)
# struct tcp_info of linux/tcp.h: tcpi_bytes_acked and tcpi_bytes_received.
TCP_INFO_BYTES = 136
BYTES_OFFSET = 120
OFFERED_SHARE = 0.4
LEAST_TOKENS, MOST_TOKENS = 4, 12
MEAN_BURST_FACTOR = 1.4


@frozen
class _Used:
    """Processor seconds and bytes of all instances together so far."""

    processor_s: float
    peer_bytes: int
    platform_bytes: int


def run(context: Context) -> Sequence[Figure]:
    """Return processor share, bytes a second and memory."""
    rig, seconds = context.rig, context.choose(1.5, 10.0)
    figures = []
    for name in ("idle", "busy"):
        before, began_s = _used(rig), time.monotonic()
        if name == "idle":
            time.sleep(seconds)
        else:
            _load(context, seconds)
        passed_s = (time.monotonic() - began_s) * len(rig.daemons())
        figures += _figures(context, f"control, {name}", before, _used(rig), passed_s)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    name = "control, peak memory of the whole process, stand-ins too"
    figures.append(context.figure(name, peak, "MB", at_most(MOST_MEGABYTES)))
    return figures


def _figures(
    context: Context, name: str, before: _Used, after: _Used, passed_s: float
) -> list[Figure]:
    percent = (after.processor_s - before.processor_s) / passed_s * 100
    peers = (after.peer_bytes - before.peer_bytes) / passed_s
    platform = (after.platform_bytes - before.platform_bytes) / passed_s
    most_percent, most_bytes = (
        at_most(MOST_PROCESSOR_PERCENT),
        at_most(MOST_BYTES_PER_S),
    )
    return [
        context.figure(f"{name}, processor", percent, "% of a core", most_percent),
        context.figure(f"{name}, peers", peers, "bytes/s"),
        context.figure(f"{name}, platform", platform, "bytes/s"),
        context.figure(f"{name}, both", peers + platform, "bytes/s", most_bytes),
    ]


def _load(context: Context, seconds: float) -> None:
    offered = deployment_bound(context.deployment) * OFFERED_SHARE
    mean_tokens = (LEAST_TOKENS + MOST_TOKENS) / 2
    options = WorkloadOptions(
        seconds=seconds,
        model_calls_per_s=offered / mean_tokens / MEAN_BURST_FACTOR,
        plain_calls_per_s=20.0,
        least_tokens=LEAST_TOKENS,
        most_tokens=MOST_TOKENS,
    )
    context.run(make_arrivals(context.deployment, options, context.seed))


def _used(rig: Rig) -> _Used:
    peer_ports = {_port(daemon.peer_address) for daemon in rig.daemons()}
    platform_port = _port(rig.platform.url)
    peer_bytes = platform_bytes = 0
    for entry in Path("/proc/self/fd").iterdir():
        # Connections may end meanwhile.
        with suppress(OSError):
            ours, theirs, count = _connection(int(entry.name))
            if {ours, theirs} & peer_ports:
                peer_bytes += count
            elif theirs == platform_port:
                platform_bytes += count
    return _Used(_processor_s(), peer_bytes, platform_bytes)


def _processor_s() -> float:
    total_s = 0.0
    for thread in threading.enumerate():
        if thread.name in CONTROL_THREADS and thread.ident is not None:
            with suppress(OSError):
                clock = time.pthread_getcpuclockid(thread.ident)
                total_s += time.clock_gettime(clock)
    return total_s


def _connection(descriptor: int) -> tuple[int, int, int]:
    """Return both ports of a TCP connection and its bytes, both ways.

    Raises
    ------
    OSError
        It is no TCP connection.
    """
    with socket.socket(fileno=os.dup(descriptor)) as connection:
        if connection.family != socket.AF_INET:
            raise OSError("not of the internet family")
        ours, theirs = connection.getsockname()[1], connection.getpeername()[1]
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    return ours, theirs, sum(struct.unpack_from("QQ", info, BYTES_OFFSET))


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


CONTROL_PLANE = Experiment("control", run, each_deployment=False)
