"""Clients of the platform: append-only log, instance list, weight store."""
