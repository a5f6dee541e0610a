"""Clients of the platform's services: append-only log, instance list, weight store."""
