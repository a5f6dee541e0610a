"""Conversion of HTTP headers to bytes."""

from collections.abc import Iterable


def raw_headers(
    headers: Iterable[tuple[str, str | bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return header names and values as bytes; values of type bytes stay unchanged."""
    return [
        (name.encode("ascii"), value if isinstance(value, bytes) else value.encode())
        for name, value in headers
    ]
