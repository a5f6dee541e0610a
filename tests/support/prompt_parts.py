"""Prompts in parts, as the header of requests that share some of them."""

DEADLY_PART = "dead01"
"""Id of a part that crashes engines, where a platform is told so."""


def prompt_parts(number, *, deadly):
    """Return a header of prompt parts whose first is that of all others."""
    second = f"{DEADLY_PART}:30,{number:x}a:5" if deadly else f"{number % 7:x}b:30"
    return f"c0ffee:40,{second},{number:x}c:10"
