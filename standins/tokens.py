"""The checkable function that makes a token from the layers that ran."""

import typing as t
import zlib

VOCABULARY = 5000
STOP_BELOW = 25

Range = tuple[int, int]


def prompt_tokens(prompt: str) -> int:
    """Count the tokens of a prompt."""
    return max(1, len(prompt) // 4)


def advance(context: int, token: int) -> int:
    """Return the context after one more token."""
    return zlib.crc32(token.to_bytes(4, "little"), context)


def context_of(prompt: str, tokens: t.Iterable[int] = ()) -> int:
    """Return the context of a prompt and the tokens that follow it."""
    context = zlib.crc32(prompt.encode())
    for token in tokens:
        context = advance(context, token)
    return context


def token_of(context: int, ranges: t.Iterable[Range]) -> int:
    """Return the token that these layer ranges make, run in this order."""
    hidden = context
    for first, last in ranges:
        hidden = zlib.crc32(bytes(range(first, last)), hidden)
    return hidden % VOCABULARY


def text_of(token: int) -> str:
    """Return the text of a token."""
    return f" w{token:04d}"


def expected_tokens(prompt: str, max_tokens: int, layers: int) -> list[int]:
    """Return the whole right answer, the ending token included."""
    tokens: list[int] = []
    context = context_of(prompt)
    while len(tokens) < max_tokens:
        token = token_of(context, [(0, layers)])
        tokens.append(token)
        if token < STOP_BELOW:
            break
        context = advance(context, token)
    return tokens


def expected_text(prompt: str, max_tokens: int, layers: int) -> str:
    """Return the text of the whole right answer."""
    return "".join(
        text_of(token) for token in expected_tokens(prompt, max_tokens, layers)
    )
