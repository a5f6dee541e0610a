"""Plain calls: outcomes, retries, claims and tickets for calls that may not be repeated."""
