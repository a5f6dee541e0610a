"""Answers in the forms that OpenAI's clients read.

Source: https://platform.openai.com/docs/api-reference/chat/streaming and
.../completions. What is the same for every token is formatted once for each stream.
"""

from attrs import frozen
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from orjson import dumps

DONE = b"data: [DONE]\n\n"


@frozen
class CompletionShape:
    """The answer to ``/v1/completions``.

    Parameters
    ----------
    stream
        Server-sent events, rather than one JSON body.
    created_s
        When the request came, in seconds since the Unix epoch.
    prompt_tokens
        Estimated length of the prompt, for the usage that is reported.
    """

    stream: bool
    created_s: int
    prompt_tokens: int = 0


@frozen
class ChatShape:
    """The answer to ``/v1/chat/completions``; the parameters are the same."""

    stream: bool
    created_s: int
    prompt_tokens: int = 0


Shape = CompletionShape | ChatShape


class EventFormat:
    """Formats the events of one stream."""

    def __init__(self, shape: Shape, model: str, request_id: str) -> None:
        self._shape = shape
        self._request_id = request_id
        self._model = model
        match shape:
            case CompletionShape():
                self._id, self._object = f"cmpl-{request_id}", "text_completion"
                before, after = b'{"text":', b',"index":0,"logprobs":null,'
            case ChatShape():
                self._id = f"chatcmpl-{request_id}"
                self._object = "chat.completion.chunk"
                before = b'{"index":0,"delta":{"content":'
                after = b'},"logprobs":null,'
        head = dumps(self._common(self._object))[:-1]
        self._before = b"data: " + head + b',"choices":[' + before
        self._after = after + b'"finish_reason":null}]}\n\n'

    def first(self) -> bytes:
        """Return what goes before the first token."""
        match self._shape:
            case CompletionShape():
                return b""
            case ChatShape():
                delta = {"role": "assistant", "content": ""}
                return self._event([self._choice(delta, None)])

    def token(self, text: str) -> bytes:
        """Return the event of one token."""
        return self._before + dumps(text) + self._after

    def last(self, reason: str, tokens: int) -> bytes:
        """Return the events that end an answer that is whole."""
        end = "" if isinstance(self._shape, CompletionShape) else {}
        fields = {
            "usage": _usage(self._shape.prompt_tokens, tokens),
            "celeryfork": self._outcome(Outcome.DONE),
        }
        return self._event([self._choice(end, reason)], **fields) + DONE

    def error(self, error: RequestRefusedError) -> bytes:
        """Return the events that end an answer that was given up."""
        body = error_body(error, self._request_id)
        fields = {**body, "celeryfork": self._outcome(error.outcome)}
        return b"data: " + dumps(fields) + b"\n\n" + DONE

    def whole(self, text: str, reason: str, tokens: int) -> bytes:
        """Return the one JSON body of an answer that is not streamed."""
        match self._shape:
            case CompletionShape():
                kind: str = "text_completion"
                choice = self._choice(text, reason)
            case ChatShape():
                kind = "chat.completion"
                choice = {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "logprobs": None,
                    "finish_reason": reason,
                }
        return dumps(
            {
                **self._common(kind),
                "choices": [choice],
                "usage": _usage(self._shape.prompt_tokens, tokens),
                "celeryfork": self._outcome(Outcome.DONE),
            }
        )

    def _common(self, kind: str) -> dict[str, object]:
        return {
            "id": self._id,
            "object": kind,
            "created": self._shape.created_s,
            "model": self._model,
        }

    def _choice(self, content: object, reason: str | None) -> dict[str, object]:
        match self._shape:
            case CompletionShape():
                name = "text"
            case ChatShape():
                name = "delta"
        return {name: content, "index": 0, "logprobs": None, "finish_reason": reason}

    def _event(self, choices: list[dict[str, object]], **fields: object) -> bytes:
        event = {**self._common(self._object), "choices": choices, **fields}
        return b"data: " + dumps(event) + b"\n\n"

    def _outcome(self, outcome: Outcome) -> dict[str, str]:
        return {"outcome": outcome, "request_id": self._request_id}


def error_body(error: RequestRefusedError, request_id: str) -> dict[str, object]:
    """Return the body of an error answer; see docs/API.md."""
    return {
        "error": {
            "message": error.message,
            "type": type(error).__name__,
            "code": error.code,
            "remedy": error.remedy,
            "outcome": error.outcome,
            "request_id": request_id,
        }
    }


def _usage(prompt_tokens: int, tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }
