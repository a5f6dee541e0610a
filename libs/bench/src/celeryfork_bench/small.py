"""A small deployment that starts fast, for tests and for soaking."""

from hashlib import sha256

from celeryfork_standin.deployment import Deployment, make_deployment

KEY = "key-of-kilimani"
LAYERS = 24
MODEL = "reminder-writer"
SERVICE = "visit-desk"
DOMAINS = ("westlands", "embakasi", "karen")
POISON_MARKER = "boil dry"
ORGANISATION = {
    "key_sha256s": [sha256(KEY.encode()).hexdigest()],
    "requests_per_second": 1000,
    "burst": 1000,
    "concurrency": 500,
}


def small_deployment(
    appends_per_second: float | None = 300.0, engines_per_stage: int = 3
) -> Deployment:
    """Return three entry instances, two stages of engines and one plain service."""
    pairs = ((0, 1), (0, 2), (1, 2))
    speed = {
        "base_ms_per_layer": 0.3,
        "sequence_ms_per_layer": 0.1,
        "max_batch": 8,
        "prefill_layer_tokens_per_second": 500_000,
    }
    return make_deployment(
        {
            "name": "small",
            "seed": 1,
            "domains": DOMAINS,
            "links": [
                {"from_domain": DOMAINS[a], "to_domain": DOMAINS[b], "latency_ms": 0.25}
                for a, b in pairs
            ],
            "accelerators_by_kind": {"k1": speed},
            "models": [{"name": MODEL, "layers": LAYERS}],
            "engines": [
                _engine_group("rw-low", engines_per_stage, 0, LAYERS // 2),
                _engine_group("rw-high", engines_per_stage, LAYERS // 2, LAYERS),
            ],
            "services": [
                {"prefix": "vd", "count": 3, "service": SERVICE, "domains": DOMAINS}
            ],
            "entries": [{"id": f"entry-{name}", "domain": name} for name in DOMAINS],
            "callers": [{"organisation": "kilimani", "key": KEY, "load_share": 1.0}],
            "configuration": _records(),
            "platform": {"appends_per_second": appends_per_second},
            "poison_marker": POISON_MARKER,
        }
    )


def _engine_group(
    prefix: str, count: int, first_layer: int, last_layer: int
) -> dict[str, object]:
    return {
        "prefix": prefix,
        "count": count,
        "model": MODEL,
        "domains": DOMAINS,
        "first_layer": first_layer,
        "last_layer": last_layer,
        "accelerator": "k1",
    }


def _records() -> list[dict[str, object]]:
    kinds = {
        "book": {"idempotent": False, "timeout_s": 3.0, "status_path": "/status/{key}"},
        "cancel": {"idempotent": False, "timeout_s": 3.0},
        "slots": {"idempotent": True, "timeout_s": 3.0},
    }
    payloads_by_name: dict[str, dict[str, object]] = {
        "organisation/kilimani": ORGANISATION,
        f"model/{MODEL}": {"layers": LAYERS},
        f"service/{SERVICE}": {"kinds_by_name": kinds},
    }
    return [
        {"name": name, "schema": 1, "payload": payload}
        for name, payload in payloads_by_name.items()
    ]
