"""Data of the plain services' stand-ins: targets, their faults, and what ran."""

import random
import threading
import time
from collections.abc import Mapping
from enum import StrEnum

import orjson
from attrs import define, field, frozen


class CrashPoint(StrEnum):
    """Where a call breaks off: before it ran, or after, with its answer lost."""

    BEFORE_RUNNING = "before_running"
    AFTER_RUNNING = "after_running"


@frozen
class ServiceSpec:
    """One target of a plain service.

    Parameters
    ----------
    id, service, domain
        Its name, the service's name and its failure domain.
    delay_s
        How long a call takes.
    """

    id: str
    service: str
    domain: str
    delay_s: float = 0.002
    host: str = "127.0.0.1"


@frozen
class RanCall:
    """One call that ran.

    Parameters
    ----------
    key
        The caller's idempotency key; empty if it gave none.
    at_s, at_ms
        Monotonic and wall time of taking effect.
    """

    target: str
    kind: str
    key: str
    organisation: str
    request_id: str
    at_s: float
    at_ms: int


@define(eq=False)
class ServiceTarget:
    """One target with its faults."""

    spec: ServiceSpec
    address: str = ""
    address_by_domain: Mapping[str, str] = field(factory=dict)
    incarnation: int = 1
    alive: bool = True
    draining: bool = False
    stalled: bool = False
    delay_s: float = 0.0
    reject_share: float = 0.0
    fail_share: float = 0.0
    crash_point: CrashPoint | None = None
    crash_share: float = 0.0
    lose_answer_share: float = 0.0
    poison_marker: bytes | None = None
    calls: int = 0


class CallRecord:
    """What the targets of a fleet ran, shared by them as if over a database."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ran: list[RanCall] = []
        self._results_by_key: dict[str, bytes] = {}

    @property
    def ran(self) -> list[RanCall]:
        """Every call that ran, in order."""
        with self._lock:
            return list(self._ran)

    def run(
        self, target: ServiceTarget, kind: str, headers: Mapping[str, str]
    ) -> bytes:
        """Let a call take effect, and return its result."""
        key = headers.get("Idempotency-Key", "")
        call = RanCall(
            target.spec.id,
            kind,
            key,
            headers.get("X-Organisation", ""),
            headers.get("X-Request-Id", ""),
            time.monotonic(),
            time.time_ns() // 1_000_000,
        )
        with self._lock:
            self._ran.append(call)
            result = orjson.dumps(
                {"kind": kind, "key": key, "run": len(self._ran), "by": call.target}
            )
            if key:
                self._results_by_key[key] = result
            return result

    def result_of(self, key: str) -> bytes | None:
        """Return the kept result of the call with this key."""
        with self._lock:
            return self._results_by_key.get(key)


class Chance:
    """Decides by seed which calls a fault strikes."""

    def __init__(self, seed: int) -> None:
        self._lock = threading.Lock()
        self._random = random.Random(seed)

    def strikes(self, share: float) -> bool:
        """Whether a fault that hits this share of calls hits the next one."""
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share
