"""The payload classes of configuration records.

A schema version is a contract: fields that have a default may be left out, unknown
fields are refused, and a change of meaning or a new field is a new version that stands
beside the old one.
"""

from collections.abc import Mapping

from attrs import frozen

from celeryfork_config.options import HEX_SHA256_PATTERN, NAME_PATTERN, option

_NAME = {
    "pattern": NAME_PATTERN,
    "remedy": "use lower-case letters, digits, '.', '_' and '-'; at most 63",
}
HIGHEST_PRIORITY = 9


@frozen
class Organisation:
    """Who may call, and how much."""

    name: str = option("Name of the organisation.", **_NAME)
    key_sha256s: tuple[str, ...] = option(
        "SHA-256 of each of its bearer keys, in hex.",
        default=(),
        pattern=HEX_SHA256_PATTERN,
        remedy="write 64 hex digits, as printed by sha256sum",
    )
    requests_per_second: float = option(
        "Requests a second over the whole fleet.", default=10.0, above=0
    )
    burst: int = option("Requests that may come at once.", default=20, minimum=1)
    concurrency: int = option(
        "Requests in work at once over the whole fleet.", default=64, minimum=1
    )
    weight: float = option(
        "Share among organisations that wait at one instance.", default=1.0, above=0
    )
    priority: int = option(
        "Highest priority that its requests may ask for.",
        default=5,
        minimum=0,
        maximum=HIGHEST_PRIORITY,
    )


@frozen
class Model:
    """A model that callers may name."""

    name: str = option("Name of the model.", **_NAME)
    layers: int = option("Number of its layers.", minimum=1, maximum=100_000)
    most_tokens: int = option(
        "Most tokens that one answer may have.", default=4096, minimum=1
    )
    most_prompt_characters: int = option(
        "Longest prompt, in characters.", default=65_536, minimum=1
    )
    idempotent: bool = option("Whether a request may be run again.", default=True)


@frozen
class ServiceKind:
    """One kind of call of a plain service."""

    name: str = option("Name of the kind.", **_NAME)
    idempotent: bool = option("Whether a call may be run again.")
    timeout_s: float = option(
        "Seconds that one attempt may take.", default=10.0, above=0, maximum=600
    )
    rejects_before_running: bool = option(
        "Whether 429 and 503 from its targets prove that the call did not run.",
        default=False,
    )
    status_path: str | None = option(
        "Path of an idempotent GET for the kept result, with {key}; null: none.",
        default=None,
        pattern=r"/[^\s{}]*\{key\}[^\s{}]*",
        remedy="write a path that holds {key} once, such as /status/{key}",
    )


@frozen
class Service:
    """A plain service and its kinds of calls."""

    name: str = option("Name of the service.", **_NAME)
    kinds_by_name: Mapping[str, ServiceKind] = option("Its kinds of calls by name.")


@frozen
class Accelerator:
    """What an accelerator kind can do, until its engines' speeds are learned."""

    kind: str = option("Name of the accelerator kind.", **_NAME)
    tokens_per_second: float = option(
        "Tokens a second at a full batch, running all layers.", above=0
    )
    prefill_tokens_per_second: float = option(
        "Prompt tokens a second, running all layers.", above=0
    )


@frozen
class Link:
    """The link from one failure domain to another."""

    from_domain: str = option("Where it begins.", **_NAME)
    to_domain: str = option("Where it ends.", **_NAME)
    latency_ms: float = option("One-way latency in milliseconds.", minimum=0)


@frozen
class Rollout:
    """What the engines of a model shall run."""

    model: str = option("Name of the model.", **_NAME)
    version: str = option("Version of the weights.", pattern=r"[A-Za-z0-9._-]{1,64}")
    adapters: tuple[str, ...] = option(
        "Adapters to hold.", default=(), pattern=r"[A-Za-z0-9._-]{1,64}"
    )
    most_out_at_once: int = option(
        "Engines that may be out of service at once for it.", default=1, minimum=1
    )
    standby: tuple[str, ...] = option(
        "Engines that stand by instead of serving, by id.",
        default=(),
        pattern=r"[A-Za-z0-9._-]{1,64}",
    )


@frozen
class Policy:
    """Bounds that hold for the whole fleet."""

    retry_budget_ratio: float = option(
        "Retries as a share of recent successes.", default=0.1, minimum=0, maximum=1
    )
    most_attempts: int = option(
        "Most attempts for one plain call.", default=3, minimum=1, maximum=20
    )
    most_stream_attempts: int = option(
        "Most attempts for one model call, each on another chain.",
        default=6,
        minimum=1,
        maximum=20,
    )
    default_deadline_s: float = option(
        "Deadline in seconds of a request that names none.", default=60.0, above=0
    )
    longest_deadline_s: float = option(
        "Longest deadline in seconds that a request may name.", default=600.0, above=0
    )
    queue_most_requests: int = option(
        "Most requests that wait at one instance.", default=1000, minimum=1
    )
    queue_most_wait_s: float = option(
        "Longest wait in the queue, in seconds.", default=10.0, above=0
    )
    claim_window_s: float = option(
        "Age in seconds after which an idempotency key is refused.",
        default=3600.0,
        above=0,
    )
    claim_commit_wait_s: float = option(
        "Seconds that claims wait for others to share an append.",
        default=0.02,
        minimum=0,
        maximum=1,
    )
    log_retention_s: float = option(
        "Seconds that the platform's log keeps records.", default=86_400.0, above=0
    )
    permit_lease_s: float = option(
        "Seconds that a batch of leased permits lasts.", default=2.0, above=0
    )
    stream_buffer_bytes: int = option(
        "Bytes of a stream kept for a slow caller.", default=262_144, minimum=1024
    )
    most_body_bytes: int = option(
        "Largest request body in bytes.", default=1_048_576, minimum=1024
    )
    token_gap_floor_s: float = option(
        "Shortest silence in seconds that counts as a stall.", default=0.25, above=0
    )
    token_gap_factor: float = option(
        "Multiple of the usual gap between tokens that counts as a stall.",
        default=2.5,
        minimum=1,
    )
    poison_crashes: int = option(
        "Crashes after which a request is refused.", default=2, minimum=1
    )
    poison_ttl_s: float = option(
        "Seconds that a crash is remembered.", default=600.0, above=0
    )
    lease_s: float = option(
        "Seconds that an order-giver's lease lasts.", default=10.0, above=0
    )


Payload = Organisation | Model | Service | Accelerator | Link | Rollout | Policy
