"""The errors that the stand-ins raise: plain messages that name the remedy."""


class StandinError(Exception):
    """Base of every error that a stand-in raises on purpose.

    Parameters
    ----------
    message
        What is wrong.
    remedy
        What the reader can do about it.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class StandinStoppedError(StandinError):
    """The stand-in was not started, or is stopped already."""


class UnknownTargetError(StandinError):
    """No engine or service has this identifier."""


class TargetExistsError(StandinError):
    """An engine or service of this identifier is there already."""


class DeploymentFaultError(StandinError):
    """One fault in a deployment file.

    Parameters
    ----------
    path
        JSON path of the faulty value, such as ``$.models[0].layers``.
    """

    def __init__(self, path: str, message: str, remedy: str) -> None:
        super().__init__(f"{path}: {message}", remedy)
        self.path = path


class ControlRefusedError(StandinError):
    """A control request that names no known fault or has wrong arguments."""
