"""A model and accelerators with the sizes given by users, for tests of routing."""

from celeryfork_routing.layers import Accelerator, ModelShape

ACCELERATORS = {
    "h100": Accelerator("h100", 72_000.0, 1.4, 1.0),
    "a100s": Accelerator("a100s", 36_000.0, 3.1, 3.2),
    "l4": Accelerator("l4", 21_600.0, 16.0, 8.2),
    "t4": Accelerator("t4", 14_400.0, 15.0, 15.0),
}
SHAPE = ModelShape(
    layers=80,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    step_ms=0.85,
    sequence_ms=0.00764,
    context_ms_per_thousand=0.01024,
    prefill_tokens_per_ms=196.0,
    activation_bytes=59_000.0,
    link_bytes_per_ms=11_000 * 125.0,
    mean_prompt_tokens=772.0,
    mean_answer_tokens=174.0,
    load_s=14.0,
    accelerators_by_name=ACCELERATORS,
)
