"""Backoff after refusals of a request that may have run."""

INITIAL_BACKOFF_S = 0.02
"""Seconds of backoff after the second refusal in a row, while engines free memory. It
doubles with each further refusal."""
MAX_BACKOFF_S = 0.3
"""Maximum backoff in seconds: as long as other engines are preferred to one that has
refused work."""


def refusal_backoff_s(refusals: int) -> float:
    """Return the seconds to wait after a number of refusals in a row."""
    if refusals < 2:
        return 0.0
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (refusals - 2))
