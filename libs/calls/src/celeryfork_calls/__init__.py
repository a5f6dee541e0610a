"""Calls to plain services: retries, outcomes, claims and tickets."""
