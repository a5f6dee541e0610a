"""The entry instance: HTTP for callers, state dump, logs, metrics, graceful stop."""
