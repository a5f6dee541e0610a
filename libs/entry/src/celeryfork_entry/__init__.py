"""The entry instance: one event loop between callers and engines."""
