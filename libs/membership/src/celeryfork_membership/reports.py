"""What engines say of themselves and of their load."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen


@frozen
class LoadReport:
    """What an engine said of its load.

    Parameters
    ----------
    running, waiting, max_batch
        Streams in the batch, streams queued, and the largest batch.
    tokens_per_second
        What it says it can generate at a full batch, for all held layers.
    kv_used
        Share of the KV cache in use.
    lag_s
        How old the report was on arrival, in seconds.
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
        """Return how old the report is now, in seconds."""
        return self.lag_s + now_s - self.received_s


@frozen
class EngineInfo:
    """What an engine said of itself."""

    tokens_per_second: float
    prefill_tokens_per_second: float
    max_batch: int
    state: str
    role: str


def parse_engine_info(body: Mapping[str, Any]) -> EngineInfo | None:
    """Return what an answer of ``/v1/engine`` says, None if it is malformed."""
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
    """Return what an answer of ``/v1/load`` says, None if it is malformed.

    Parameters
    ----------
    answer
        The answer.
    wall_ms, now_s
        The clocks on arrival. An engine whose clock is ahead counts as on time.
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
