"""How an attempt comes by its KV cache on an engine: kept, imported or computed."""

from typing import TYPE_CHECKING

from celeryfork_standin.caches import KvEntry
from celeryfork_standin.sequence import Sequence, Stage

if TYPE_CHECKING:
    from celeryfork_standin.engine_core import Engine


def open_kv(
    engine: "Engine", sequence: Sequence, stage: Stage, source: "Engine | None"
) -> float:
    """Open a stage's KV cache and set the prefill that it still needs.

    Parameters
    ----------
    source
        The engine named in ``kv_from``.

    Returns
    -------
    float
        Seconds that an import takes; 0 if there is none.
    """
    stream_id = sequence.body.stream_id
    needed = sequence.kv_tokens
    kept = engine.kv.find(stream_id, stage.first, stage.last)
    have = min(needed, kept.tokens()) if kept else 0
    import_s = 0.0
    if have < needed and source is not None:
        imported = min(needed, _importable(source, stream_id, stage))
        if imported > have:
            have = imported
            import_s = have / engine.spec.kv_import_tokens_per_second
    cached = engine.prefixes.take(sequence.body.prompt)
    missing = max(0, needed - max(have, cached))
    speed = engine.spec.prefill_tokens_per_second
    stage.prefill_s = missing * stage.share / speed
    stage.kv = KvEntry(stage.first, stage.last, lambda: sequence.kv_tokens)
    engine.kv.hold(stream_id, stage.kv)
    return import_s


def _importable(source: "Engine", stream_id: str, stage: Stage) -> int:
    """Return how many tokens of the stream another engine could hand over."""
    if not source.alive or source.stalled:
        return 0
    entry = source.kv.find(stream_id, stage.first, stage.last)
    return entry.tokens() if entry else 0
