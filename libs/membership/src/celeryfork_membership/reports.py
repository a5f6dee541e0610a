"""Reports of engines: their description of themselves, and their load."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen


@frozen
class LoadReport:
    """Load reported by an engine.

    Parameters
    ----------
    running, waiting, max_batch
        Streams in the batch, streams queued, and the maximum batch size.
    tokens_per_second
        Reported generation rate with a full batch, through all layers that the
        engine holds.
    kv_used
        Used share of the KV cache.
    lag_s
        Age of the report on arrival, in seconds.
    received_s
        Monotonic time of arrival.
    """

    running: int
    waiting: int
    max_batch: int
    tokens_per_second: float
    kv_used: float
    lag_s: float
    received_s: float

    def age_s(self, now_s: float) -> float:
        """Return the age of the report in seconds."""
        return self.lag_s + now_s - self.received_s


@frozen
class EngineInfo:
    """Rates, limits, state and role that an engine reports of itself."""

    tokens_per_second: float
    prefill_tokens_per_second: float
    max_batch: int
    state: str
    role: str


def parse_engine_info(body: Mapping[str, Any]) -> EngineInfo | None:
    """Parse a response of ``/v1/engine``; return None if it is malformed."""
    try:
        return EngineInfo(
            tokens_per_second=float(body["tokens_per_second"]),
            prefill_tokens_per_second=float(body["prefill_tokens_per_second"]),
            max_batch=int(body["max_batch"]),
            state=str(body["state"]),
            role=str(body["role"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def parse_load_report(
    body: Mapping[str, Any], wall_ms: int, now_s: float
) -> LoadReport | None:
    """Parse a response of ``/v1/load``; return None if it is malformed.

    Parameters
    ----------
    body
        The decoded response.
    wall_ms, now_s
        Wall clock and monotonic clock on arrival. A report whose measuring time lies in
        the future, because the clock of the engine is ahead, has a lag of 0.
    """
    try:
        lag_ms = wall_ms - int(body["measured_ms"])
        return LoadReport(
            running=int(body["running"]),
            waiting=int(body["waiting"]),
            max_batch=int(body["max_batch"]),
            tokens_per_second=float(body["tokens_per_second"]),
            kv_used=float(body["kv_used"]),
            lag_s=max(lag_ms / 1000, 0.0),
            received_s=now_s,
        )
    except (KeyError, TypeError, ValueError):
        return None
