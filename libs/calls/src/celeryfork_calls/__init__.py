"""Plain calls: outcomes, retries, claims and tickets."""
