"""Outcomes of attempts on a target, reported to the `TargetView`."""

from attrs import frozen


@frozen
class Succeeded:
    """The target responded correctly."""


@frozen
class Refused:
    """The connection was refused: nothing listens at the address."""


@frozen
class Reset:
    """The connection broke, or the response was truncated or malformed."""


@frozen
class Stalled:
    """The connection is open, but no data arrived within the timeout."""


@frozen
class Draining:
    """The target responded that it is leaving and accepts no new work."""


Observation = Succeeded | Refused | Reset | Stalled | Draining
