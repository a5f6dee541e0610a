"""Backoff after refusals or failed runs of a request that may have run."""

INITIAL_BACKOFF_S = 0.02
"""Seconds of backoff after the second refusal or failure in a row, while engines free
memory or recover. It doubles with each further one."""
MAX_BACKOFF_S = 0.3
"""Maximum backoff in seconds: as long as an engine that refused work is avoided if
others can do it (``targets.REFUSAL_BACKOFF_S``)."""


def refusal_backoff_s(refusals: int) -> float:
    """Return the seconds to wait after a number of refusals, or failures, in a row."""
    if refusals < 2:
        return 0.0
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (refusals - 2))
