"""Prediction of the time until the first event of a stream over a path."""

from collections.abc import Mapping
from itertools import pairwise

from celeryfork_routing.engine_loads import LayerPath
from celeryfork_routing.layer_paths import PASS_WAIT_FACTOR
from celeryfork_routing.layers import Accelerator, ModelShape

USUAL_ACCELERATOR = Accelerator("", 0.0)
"""Factors assumed for an engine whose accelerator isn't configured."""


def predicted_first_event_ms(
    shape: ModelShape,
    path: LayerPath,
    accelerator_by_engine: Mapping[str, str | None],
    prompt_tokens: float,
) -> float:
    """Return the predicted ms until the first event over a path of idle engines."""
    prefill_ms = prompt_tokens / shape.prefill_tokens_per_ms
    pass_ms = PASS_WAIT_FACTOR * (shape.step_ms + shape.sequence_ms)
    total_ms = 0.0
    for part in path.parts:
        name = accelerator_by_engine.get(part.engine_id)
        kind = shape.accelerator(name) or USUAL_ACCELERATOR
        whole_ms = prefill_ms * kind.prefill_factor + pass_ms * kind.step_factor
        total_ms += whole_ms * part.layers.count / shape.layers
    for part, following in pairwise(path.parts):
        total_ms += shape.delay_ms(part.domain, following.domain)
        if part.domain != following.domain and shape.link_bytes_per_ms:
            prompt_bytes = prompt_tokens * shape.activation_bytes
            total_ms += prompt_bytes / shape.link_bytes_per_ms
    return total_ms
