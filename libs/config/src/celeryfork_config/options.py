"""Fields of settings and records: a type, a default, limits and a description.

Checking, the JSON Schema and docs/CONFIGURATION.md are all made from these, so
that none of them can say something else.
"""

import re
from collections.abc import Mapping
from typing import Any

import attrs
from attrs import NOTHING, Attribute, frozen

_METADATA_KEY = "celeryfork_option"

NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,62}"
ADDRESS_PATTERN = r"[0-9.]{7,15}:[0-9]{1,5}"
HEX_SHA256_PATTERN = r"[0-9a-f]{64}"
URL_PATTERN = r"https?://[^\s/]+(/[^\s]*)?"


@frozen
class Option:
    """What is known of one field beside its type and default.

    Parameters
    ----------
    description
        One sentence for the documentation, with the unit.
    minimum, maximum
        Inclusive limits of a number; ``above`` is an exclusive lower limit.
    pattern
        Regular expression that a whole string must match.
    remedy
        What to write instead where the value is refused.
    secret
        Never shown in a dump.
    """

    description: str
    minimum: float | None = None
    maximum: float | None = None
    above: float | None = None
    pattern: str | None = None
    remedy: str | None = None
    secret: bool = False

    def fault(self, value: object) -> str | None:
        """Return what is wrong with one scalar, None if nothing is."""
        match value:
            case bool() | None:
                return None
            case int() | float():
                return self._number_fault(value)
            case str() if self.pattern and not re.fullmatch(self.pattern, value):
                return f"{value!r} does not have the right form."
            case str() if self.pattern is None and not value:
                return "The text is empty."
        return None

    def _number_fault(self, value: float) -> str | None:
        if self.minimum is not None and value < self.minimum:
            return f"{value} is less than {self.minimum}."
        if self.above is not None and value <= self.above:
            return f"{value} is not more than {self.above}."
        if self.maximum is not None and value > self.maximum:
            return f"{value} is more than {self.maximum}."
        return None

    def advice(self) -> str:
        """Return the remedy for a value that was refused."""
        if self.remedy:
            return self.remedy
        limits = [
            f"at least {self.minimum}" if self.minimum is not None else "",
            f"more than {self.above}" if self.above is not None else "",
            f"at most {self.maximum}" if self.maximum is not None else "",
        ]
        text = " and ".join(limit for limit in limits if limit)
        if text:
            return f"write a number that is {text}"
        if self.pattern:
            return f"write text that matches {self.pattern}"
        return "write a text that is not empty"


def option(
    description: str,
    *,
    default: object = NOTHING,
    factory: Any = None,
    **limits: Any,
) -> Any:
    """Return an attrs field that carries an ``Option``."""
    metadata: Mapping[str, Option] = {_METADATA_KEY: Option(description, **limits)}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata, kw_only=True)
    return attrs.field(default=default, metadata=metadata, kw_only=True)


def option_of(attribute: "Attribute[Any]") -> Option:
    """Return the ``Option`` of an attrs field."""
    found = attribute.metadata.get(_METADATA_KEY)
    return found if isinstance(found, Option) else Option("")
