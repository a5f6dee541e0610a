"""How far a stream has come, and how an attempt of it was lost."""

from attrs import define, field, frozen

from celeryfork_streams.requests import GenerateRequest, RecoveryKind

CHARACTERS_PER_TOKEN = 4


@frozen
class Lost:
    """The attempt ended before the answer did.

    Parameters
    ----------
    blamed
        Ids of the engines that are taken for the cause; empty if none can be told.
    retry_after_s
        What the engine said about coming back, in seconds.
    """

    kind: RecoveryKind
    blamed: frozenset[str]
    message: str
    retry_after_s: float | None = None


@define
class Progress:
    """How far a stream has come, over all of its attempts.

    Parameters
    ----------
    sent
        An engine may have received the request.
    accepted
        An engine has begun to run it.
    """

    request: GenerateRequest
    layers: int
    emitted: list[str] = field(factory=list)
    attempts: int = 0
    sent: bool = False
    accepted: bool = False

    @property
    def tokens_to_compute(self) -> int:
        """Length of the prompt and of what was emitted, in tokens (estimated)."""
        prompt_tokens = len(self.request.prompt) // CHARACTERS_PER_TOKEN + 1
        return prompt_tokens + len(self.emitted)
