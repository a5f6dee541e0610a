"""Positions in the log of the platform's store."""

from attrs import frozen


@frozen(order=True)
class LogPosition:
    """A position in the log of one topic; later positions are greater.

    Parameters
    ----------
    era
        Counter that rises each time that the store has come back from a copy. The
        offsets after the copy are given out again, so that an offset has a meaning in
        its era only.
    offset
        Number of the next record.
    """

    era: int
    offset: int
