"""What a check of a configuration has found."""

from enum import StrEnum

from attrs import field, frozen


class Severity(StrEnum):
    """How bad a finding is.

    An instance refuses a configuration with an error, or can't serve a part of it.
    """

    ERROR = "error"
    WARNING = "warning"


@frozen
class Finding:
    """One fault of a configuration.

    Parameters
    ----------
    path
        JSON path of the value.
    """

    severity: Severity
    path: str
    message: str
    remedy: str


@frozen
class Difference:
    """One value that differs from the configuration in force.

    Parameters
    ----------
    path
        JSON path, with entries of lists by name.
    before, after
        The values, None for none. Keys of organisations are only counted.
    """

    path: str
    before: object
    after: object


@frozen
class CheckReport:
    """The result of a check.

    Parameters
    ----------
    differences
        What differs from the configuration in force, if one was given.
    """

    findings: list[Finding] = field(factory=list)
    differences: list[Difference] = field(factory=list)

    def has(self, severity: Severity) -> bool:
        """Return True if there is a finding of a severity."""
        return any(each.severity is severity for each in self.findings)
