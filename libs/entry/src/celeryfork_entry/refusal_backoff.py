"""Pauses of a request that may have run between targets that refuse it."""

INITIAL_BACKOFF_S = 0.02
"""Pause after a second refusal in a row, while memory of engines frees; it doubles."""
MAX_BACKOFF_S = 0.3
"""Longest such pause; an engine that has refused is left out for as long."""


def refusal_backoff_s(refusals: int) -> float:
    """Return the pause after so many refusals in a row, in seconds."""
    if refusals < 2:
        return 0.0
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (refusals - 2))
