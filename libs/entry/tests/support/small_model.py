"""A model with few layers and one kind of accelerator, for tests of the entry."""

from celeryfork_routing.layers import Accelerator, ModelShape

SHAPE = ModelShape(
    layers=8,
    layer_mb=100.0,
    kv_bytes_per_token=80_000.0,
    step_ms=1.0,
    sequence_ms=0.0,
    context_ms_per_thousand=0.0,
    prefill_tokens_per_ms=100.0,
    activation_bytes=0.0,
    link_bytes_per_ms=0.0,
    mean_prompt_tokens=100.0,
    mean_answer_tokens=100.0,
    load_s=1.0,
    accelerators_by_name={"card": Accelerator("card", 1_000.0)},
)
