"""Reads the bodies of model calls: completions and chat completions."""

from collections.abc import Mapping

from attrs import frozen
from celeryfork_streams.formats import ChatShape, CompletionShape, Shape
from orjson import JSONDecodeError, loads

from celeryfork_daemon.refusals import malformed

CHARACTERS_PER_TOKEN = 4
USUAL_MOST_TOKENS = 256
ROLES = ("system", "developer", "user", "assistant", "tool")


@frozen
class ModelCall:
    """What a caller asks of a model.

    Parameters
    ----------
    max_tokens
        Longest answer in tokens, None where the caller leaves it open.
    """

    model: str
    prompt: str
    max_tokens: int | None
    seed: int
    shape: Shape


def read_completion(body: bytes, created_s: int) -> ModelCall:
    """Read the body of ``POST /v1/completions``.

    Raises
    ------
    RequestRefusedError
        The body is malformed; the message names the field.
    """
    fields = _object(body)
    prompt = fields.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        raise malformed("`prompt` is missing.", "send one text that isn't empty")
    shape = CompletionShape(_stream(fields), created_s, estimated_tokens(prompt))
    return _model_call(fields, prompt, shape)


def read_chat(body: bytes, created_s: int) -> ModelCall:
    """Read the body of ``POST /v1/chat/completions``.

    Raises
    ------
    RequestRefusedError
        The body is malformed; the message names the field.
    """
    fields = _object(body)
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise malformed("`messages` is missing.", "send at least one message")
    prompt = "".join(_chat_line(message) for message in messages) + "assistant:"
    shape = ChatShape(_stream(fields), created_s, estimated_tokens(prompt))
    return _model_call(fields, prompt, shape)


def estimated_tokens(text: str) -> int:
    """Return the estimated length of a text in tokens."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def _model_call(fields: Mapping[str, object], prompt: str, shape: Shape) -> ModelCall:
    return ModelCall(
        model=_text(fields, "model"),
        prompt=prompt,
        max_tokens=_max_tokens(fields),
        seed=_seed(fields),
        shape=shape,
    )


def _object(body: bytes) -> Mapping[str, object]:
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise malformed(
            f"The body is no JSON: {error}.", "send a JSON object"
        ) from None
    if not isinstance(fields, dict):
        raise malformed("The body is no JSON object.", "send a JSON object")
    if fields.get("n", 1) != 1:
        raise malformed("`n` is not 1.", "send one request for each answer")
    return fields


def _text(fields: Mapping[str, object], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise malformed(f"`{name}` is missing.", "send a text that isn't empty")
    return value


def _max_tokens(fields: Mapping[str, object]) -> int | None:
    value = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise malformed("`max_tokens` is no number above 0.", "send a whole number")
    return value


def _seed(fields: Mapping[str, object]) -> int:
    value = fields.get("seed")
    if value is None:
        return 0
    if not isinstance(value, int) or isinstance(value, bool):
        raise malformed("`seed` is no number.", "send a whole number")
    return value


def _stream(fields: Mapping[str, object]) -> bool:
    stream = fields.get("stream", False)
    if stream is None:
        stream = False
    if not isinstance(stream, bool):
        raise malformed("`stream` is no boolean.", "send true or false")
    return stream


def _chat_line(message: object) -> str:
    if not isinstance(message, dict) or message.get("role") not in ROLES:
        raise malformed(
            "A message has no known `role`.", f"use one of {', '.join(ROLES)}"
        )
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_part_text(part) for part in content)
    if not isinstance(content, str):
        raise malformed("A message has no `content`.", "send a text")
    return f"{message['role']}: {content}\n"


def _part_text(part: object) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return str(part["text"])
    raise malformed("A message holds a part that is no text.", "send text parts only")
