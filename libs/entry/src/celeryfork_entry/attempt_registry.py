"""Attempts in progress by engine, and their share of the load of engines."""

from collections.abc import Set

from attrs import define, field
from celeryfork_routing.engine_loads import EngineLoads

from celeryfork_entry.path_attempts import PathAttempt


@define(eq=False)
class AttemptRegistry:
    """Tracks the attempts in progress on each engine."""

    _loads: EngineLoads
    _attempts_by_engine: dict[str, set[PathAttempt]] = field(factory=dict)

    def on_engine(self, engine_id: str) -> Set[PathAttempt]:
        """Return the attempts whose path includes an engine."""
        return self._attempts_by_engine.get(engine_id, set())

    def add(self, attempt: PathAttempt) -> None:
        """Add an attempt, and its load to the engines of its path."""
        self._loads.begin(attempt.path, attempt.tokens)
        if attempt.prefilling:
            prompt = attempt.call.metadata.prompt_tokens
            self._loads.begin_prefill(attempt.path, prompt, attempt.tokens)
        for engine_id in attempt.path.engine_ids:
            self._attempts_by_engine.setdefault(engine_id, set()).add(attempt)

    def remove(self, attempt: PathAttempt) -> None:
        """Undo :meth:`add`."""
        self._loads.end(attempt.path, attempt.tokens)
        if attempt.prefilling:
            prompt = attempt.call.metadata.prompt_tokens
            self._loads.end_prefill(attempt.path, prompt, attempt.tokens)
        for engine_id in attempt.path.engine_ids:
            self._attempts_by_engine[engine_id].discard(attempt)

    def end_prefill(self, attempt: PathAttempt) -> None:
        """Remove the load of the prompt once processed; later calls do nothing."""
        if attempt.prefilling:
            attempt.prefilling = False
            prompt = attempt.call.metadata.prompt_tokens
            self._loads.end_prefill(attempt.path, prompt, attempt.tokens)
