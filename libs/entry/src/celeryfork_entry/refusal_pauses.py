"""Pauses of a request that may have run between targets that refuse it."""

REFUSED_PAUSE_S = 0.02
"""Pause after a second refusal in a row, while memory of engines frees; it doubles."""
LONGEST_REFUSED_PAUSE_S = 0.3
"""Longest such pause; an engine that has refused is left out for as long."""


def refused_pause_s(refusals: int) -> float:
    """Return the pause after so many refusals in a row, in seconds."""
    if refusals < 2:
        return 0.0
    return min(LONGEST_REFUSED_PAUSE_S, REFUSED_PAUSE_S * 2.0 ** (refusals - 2))
