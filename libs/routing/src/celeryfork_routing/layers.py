"""Ranges of layers, and a model's sizes and durations by accelerator."""

from collections.abc import Iterable, Mapping

from attrs import field, frozen

BYTES_PER_MB = 1_000_000


@frozen
class LayerRange:
    """The layers from ``first`` up to, but not including, ``last``."""

    first: int
    last: int

    @property
    def count(self) -> int:
        """Return the number of layers."""
        return self.last - self.first

    def within(self, layers: int) -> bool:
        """Return True if a model with so many layers has all of the range."""
        return self.first >= 0 and self.last <= layers

    def overlap(self, other: "LayerRange") -> int:
        """Return the number of layers that are in both ranges."""
        return max(0, min(self.last, other.last) - max(self.first, other.first))


def first_missing_layer(layers: int, ranges: Iterable[LayerRange]) -> int | None:
    """Return the first layer in no range, None if the ranges cover all ``layers``."""
    next_layer = 0
    for each_range in sorted(ranges, key=lambda each: each.first):
        if each_range.first > next_layer:
            break
        next_layer = max(next_layer, each_range.last)
    return next_layer if next_layer < layers else None


@frozen
class Accelerator:
    """A kind of accelerator.

    Parameters
    ----------
    memory_mb
        Memory for layers and requests, in MB (10**6 bytes).
    step_factor
        Duration of a decoding step, as a multiple of the model's base figure.
    prefill_factor
        Duration of the prefill of a prompt, as a multiple of the model's base figure.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


@frozen
class ModelShape:
    """Sizes and times of one model, over all of its layers.

    Parameters
    ----------
    layers
        Number of layers.
    layer_mb
        Memory of one layer's weights, in MB.
    kv_bytes_per_token
        Size of the KV cache of one token over all layers, in bytes.
    step_ms, sequence_ms, context_ms_per_thousand
        Duration of a decoding step in ms: fixed part, part for each running request,
        and part for each 1,000 tokens of a running request's context.
    prefill_tokens_per_ms
        Prompt tokens processed per ms in prefill.
    activation_bytes
        Bytes passed from one engine to the next for each token.
    link_bytes_per_ms
        Bandwidth between two failure domains, in bytes per ms; 0 if not limited.
    mean_prompt_tokens, mean_answer_tokens
        Mean number of tokens of a prompt and of an answer.
    load_s
        Time to load all layers from the weight store, in seconds.
    accelerators_by_name
        Configured accelerators by name.
    delay_ms_by_domains
        Configured one-way delays by pair of failure domains, in ms.
    """

    layers: int
    layer_mb: float
    kv_bytes_per_token: float
    step_ms: float
    sequence_ms: float
    context_ms_per_thousand: float
    prefill_tokens_per_ms: float
    activation_bytes: float
    link_bytes_per_ms: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    load_s: float
    accelerators_by_name: Mapping[str, Accelerator] = field(factory=dict)
    delay_ms_by_domains: Mapping[frozenset[str], float] = field(factory=dict)

    def accelerator(self, name: str | None) -> Accelerator | None:
        """Return the accelerator with this name, None if it isn't configured."""
        return self.accelerators_by_name.get(name) if name else None

    def delay_ms(self, domain: str, other: str) -> float:
        """Return the one-way delay between two engines' domains, in ms."""
        if domain == other:
            return SAME_DOMAIN_DELAY_MS
        return self.delay_ms_by_domains.get(
            frozenset((domain, other)), UNKNOWN_DOMAIN_DELAY_MS
        )


SAME_DOMAIN_DELAY_MS = 0.1
"""Typical one-way delay inside a data centre, in ms."""
UNKNOWN_DOMAIN_DELAY_MS = 5.0
"""One-way delay assumed between domains without a configured delay, in ms."""


def room_for_requests(
    shape: ModelShape, accelerator: Accelerator, layer_count: int
) -> float:
    """Return the tokens x layers that fit into memory beside ``layer_count`` layers."""
    free_mb = accelerator.memory_mb - layer_count * shape.layer_mb
    bytes_per_token_layer = shape.kv_bytes_per_token / shape.layers
    return max(0.0, free_mb * BYTES_PER_MB / bytes_per_token_layer)


def max_layers(shape: ModelShape, accelerator: Accelerator, tokens: float) -> int:
    """Return the maximum number of layers beside which ``tokens`` tokens fit.

    Parameters
    ----------
    tokens
        Tokens of requests held at once; each takes memory in all layers of the engine.
    """
    request_mb = tokens * shape.kv_bytes_per_token / shape.layers / BYTES_PER_MB
    fitting = int(accelerator.memory_mb / (shape.layer_mb + request_mb))
    return min(shape.layers, max(0, fitting))
