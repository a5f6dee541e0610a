"""The answers that honest engines give, so that a checker can foretell them.

A token depends only on the model, the prompt, the seed and its position, so an
engine that resumes at a position needs nothing of what ran before.
"""

import re

import orjson
from attrs import frozen
from xxhash import xxh32_intdigest

_WORDS = [
    "chai",
    "kettle",
    "water",
    "scale",
    "lime",
    "vinegar",
    "rinse",
    "boil",
    "pour",
    "cup",
    "morning",
    "evening",
    "clean",
    "descale",
    "filter",
    "hard",
    "soft",
    "tap",
    "pot",
    "steam",
    "wait",
    "stir",
    "cool",
    "drain",
    "dry",
    "wipe",
    "bread",
    "butter",
    "meat",
    "milk",
    "barley",
    "oats",
    "rye",
    "thresh",
    "field",
    "crew",
    "noon",
    "menu",
    "plan",
    "cook",
    "soup",
    "stew",
    "potato",
    "carrot",
    "onion",
    "herring",
    "cheese",
    "egg",
    "honey",
    "salt",
    "coffee",
    "plate",
    "serve",
    "order",
    "crate",
    "van",
    "road",
    "farm",
    "barn",
    "grain",
    "wheel",
    "rain",
    "sun",
    "wind",
    "and",
]
_MASK = 63
_WORDS_BY_INDEX = tuple(" " + word for word in _WORDS[: _MASK + 1])
_LITERALS_BY_INDEX = tuple(orjson.dumps(word) for word in _WORDS_BY_INDEX)
_ODD_MULTIPLIER = 0x9E3779B1
_STOP_MARKER = re.compile(r"\[stop:(\d{1,6})\]")


@frozen
class Answer:
    """The one right answer to a request.

    Parameters
    ----------
    base
        Hash of the model, the prompt and the seed.
    length
        How many tokens the whole answer has.
    reason
        Why it ends there: ``stop`` or ``length``.
    """

    base: int
    length: int
    reason: str

    def token(self, position: int) -> str:
        """Return the token at ``position``."""
        mixed = (self.base + position) * _ODD_MULTIPLIER
        return _WORDS_BY_INDEX[mixed >> 16 & _MASK]

    def literal(self, position: int) -> bytes:
        """Return the token at ``position`` as a JSON string."""
        mixed = (self.base + position) * _ODD_MULTIPLIER
        return _LITERALS_BY_INDEX[mixed >> 16 & _MASK]


def make_answer(model: str, prompt: str, seed: int, most_tokens: int) -> Answer:
    """Return the answer to a request of at most ``most_tokens`` tokens.

    A prompt that contains ``[stop:N]`` is answered in full with N tokens.
    """
    base = xxh32_intdigest(f"{model}\0{seed}\0{prompt}".encode())
    marker = _STOP_MARKER.search(prompt)
    natural = int(marker[1]) if marker else most_tokens
    if marker and natural <= most_tokens:
        return Answer(base, natural, "stop")
    return Answer(base, most_tokens, "length")


def expected_tokens(model: str, prompt: str, seed: int, count: int) -> list[str]:
    """Return the tokens of an honest answer limited to ``count`` tokens."""
    answer = make_answer(model, prompt, seed, count)
    return [answer.token(position) for position in range(answer.length)]
