"""Headers as the bytes that HTTP carries."""

from collections.abc import Iterable


def raw_headers(
    headers: Iterable[tuple[str, str | bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return names and values as bytes; values in bytes as they are."""
    return [
        (name.encode("ascii"), value if isinstance(value, bytes) else value.encode())
        for name, value in headers
    ]
