"""Figures with their bounds and verdicts."""

from collections.abc import Iterable
from enum import StrEnum

from attrs import asdict, field, frozen
from attrs.validators import instance_of

EXIT_HOLDS = 0
EXIT_FALLS_SHORT = 1


class Better(StrEnum):
    """On which side of its bound a figure has to be."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


class Verdict(StrEnum):
    """What a figure's bound says about it."""

    HOLDS = "holds"
    FALLS_SHORT = "falls short"


@frozen
class Bound:
    """What a figure must reach; it comes from the users, never from a measurement."""

    value: float
    better: Better


@frozen
class Figure:
    """One measured figure.

    Parameters
    ----------
    name
        What was measured; the same in every run.
    bound
        None where the users state none.
    deployment
        The sample deployment; empty if the figure needs none.
    """

    name: str
    value: float = field(converter=float, validator=instance_of(float))
    unit: str
    bound: Bound | None = None
    deployment: str = ""

    @property
    def verdict(self) -> Verdict | None:
        """Whether the bound holds; None without a bound."""
        match self.bound:
            case None:
                return None
            case Bound(value=least, better=Better.AT_LEAST):
                holds = self.value >= least
            case Bound(value=most):
                # A value that isn't a number holds no bound.
                holds = self.value <= most
        return Verdict.HOLDS if holds else Verdict.FALLS_SHORT

    def line(self) -> str:
        """Return the figure in one line."""
        name = f"{self.deployment}: {self.name}" if self.deployment else self.name
        bound = f"{self.bound.better} {self.bound.value:g}" if self.bound else "-"
        verdict = self.verdict or "-"
        return f"{name:62} {self.value:>12.4g} {self.unit:22} {bound:16} {verdict}"

    def as_json(self) -> dict[str, object]:
        """Return the figure as JSON has it."""
        return {**asdict(self), "verdict": self.verdict}


def at_least(value: float) -> Bound:
    """Return a bound that a figure must not go below."""
    return Bound(value, Better.AT_LEAST)


def at_most(value: float) -> Bound:
    """Return a bound that a figure must not go above."""
    return Bound(value, Better.AT_MOST)


def exit_code(figures: Iterable[Figure]) -> int:
    """Return 1 if a figure falls short, else 0."""
    short = any(figure.verdict is Verdict.FALLS_SHORT for figure in figures)
    return EXIT_FALLS_SHORT if short else EXIT_HOLDS
