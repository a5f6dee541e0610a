"""What an instance saw of a target, told to the view after each attempt."""

from attrs import frozen


@frozen
class Succeeded:
    """The target answered as it should."""


@frozen
class Refused:
    """The connection was refused: nothing listens at the address."""


@frozen
class Reset:
    """The connection broke, or the answer was cut off."""


@frozen
class Stalled:
    """The connection stands but nothing came in the expected time."""


@frozen
class Draining:
    """The target said that it is leaving and takes no new work."""


Observation = Succeeded | Refused | Reset | Stalled | Draining
