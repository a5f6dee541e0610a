"""Data of the engine stand-ins: what an engine is, what it ran, how it misbehaves."""

from enum import StrEnum

from attrs import field, frozen
from attrs.validators import ge, gt


@frozen
class EngineSpec:
    """One engine.

    Parameters
    ----------
    id, model, domain
        Its name, the model it holds a part of, and its failure domain.
    first_layer, last_layer
        The layers held, ``[first_layer, last_layer)``.
    accelerator, version, checks_fencing
        As in docs/PLATFORM.md.
    base_s, per_sequence_s
        A step over all held layers takes ``base_s + batch * per_sequence_s`` seconds.
    max_batch
        Most sequences in one step; the rest wait.
    prefill_tokens_per_second
        Speed of computing KV cache for all held layers.
    kv_import_tokens_per_second
        Speed of taking KV cache over from another engine.
    most_waiting
        Sequences waiting beyond which new attempts get 429.
    most_prefixes, most_kv_tokens
        Bounds of the prefix cache and of the KV cache.
    kv_kept_s
        How long a stream's KV cache outlives its last attempt.
    load_lag_s, cache_event_lag_s
        Age of the load reports and of the cache events that are shown.
    cache_event_loss
        Share of cache events that never show.
    restart_s
        Time from a crash to the next incarnation.
    load_version_s
        How long loading takes where no weight store is attached.
    """

    id: str
    model: str
    domain: str
    first_layer: int = field(validator=ge(0))
    last_layer: int = field(validator=gt(0))
    accelerator: str = "k1"
    version: str = "v1"
    checks_fencing: bool = False
    base_s: float = field(default=0.004, validator=gt(0))
    per_sequence_s: float = field(default=0.001, validator=ge(0))
    max_batch: int = field(default=8, validator=ge(1))
    prefill_tokens_per_second: float = field(default=20_000.0, validator=gt(0))
    kv_import_tokens_per_second: float = field(default=200_000.0, validator=gt(0))
    most_waiting: int = 512
    most_prefixes: int = 64
    most_kv_tokens: int = 200_000
    kv_kept_s: float = 10.0
    load_lag_s: float = 0.2
    cache_event_lag_s: float = 0.5
    cache_event_loss: float = 0.2
    restart_s: float = 1.0
    load_version_s: float = 0.2
    host: str = "127.0.0.1"

    @property
    def layers(self) -> int:
        """How many layers are held."""
        return self.last_layer - self.first_layer

    @property
    def tokens_per_second(self) -> float:
        """Speed at a full batch and for all held layers."""
        return self.max_batch / (self.base_s + self.max_batch * self.per_sequence_s)


@frozen
class RanStage:
    """The layers ``[first, last)`` as one engine ran them."""

    engine: str
    first: int
    last: int


@frozen
class RanToken:
    """One token that a chain ran, whether or not its caller ever saw it.

    Parameters
    ----------
    stream_id, attempt, position
        Which token.
    stages
        The stages in the order in which they ran.
    started_s, ended_s
        Monotonic times in seconds.
    """

    stream_id: str
    attempt: int
    position: int
    stages: tuple[RanStage, ...]
    started_s: float
    ended_s: float


@frozen
class RanOrder:
    """One order that an engine obeyed or refused.

    Parameters
    ----------
    fencing, highest_fencing
        The order's number, and the highest that the engine had seen before it.
    """

    engine: str
    order_id: str
    holder: str
    fencing: int
    highest_fencing: int
    action: str
    refused: bool
    at_s: float


class EventFault(StrEnum):
    """How an engine's token events are spoilt, to test whoever reads them."""

    DUPLICATE = "duplicate"
    LATE = "late"
    GARBLED = "garbled"
    COVERAGE_GAP = "coverage_gap"
    SKIPPED = "skipped"
    OLD_ATTEMPT = "old_attempt"


@frozen
class EventFaults:
    """One kind of spoilt events and the share of events that it hits."""

    kind: EventFault
    share: float
