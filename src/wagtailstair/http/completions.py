"""Parses completion requests and encodes the responses to them."""

import dataclasses
import typing as t
import zlib

import msgspec

from ..exceptions import InvalidRequestError

WORK_PER_PROMPT_TOKEN = 1 / 8  # work units; a token of the answer costs 1
CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 64
MAX_PREFIX_BLOCKS = 16
DEFAULT_MAX_TOKENS = 256


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict[str, t.Any]] = ""


class _Body(msgspec.Struct):
    model: str
    prompt: str | list[str] | None = None
    messages: list[_Message] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int | None = 1
    adapter: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionRequest:
    """A completion request that has been checked."""

    model: str
    adapter: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool

    @property
    def prompt_tokens(self) -> int:
        """Return the estimated number of tokens in the prompt."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)

    @property
    def work(self) -> float:
        """Return the estimated cost in work units."""
        return self.prompt_tokens * WORK_PER_PROMPT_TOKEN + self.max_tokens


def _message_text(message: _Message) -> str:
    if isinstance(message.content, str):
        return message.content
    texts = []
    for part in message.content:
        if part.get("type") != "text" or not isinstance(part.get("text"), str):
            raise InvalidRequestError(
                "expected parts of type text", where="messages.content"
            )
        texts.append(part["text"])
    return "".join(texts)


def _chat_prompt(messages: list[_Message]) -> str:
    lines = []
    for message in messages:
        lines.append(f"{message.role}: {_message_text(message)}\n")
    lines.append("assistant:")
    return "".join(lines)


def _plain_prompt(prompt: str | list[str] | None) -> str:
    if isinstance(prompt, str):
        return prompt
    if prompt is not None and len(prompt) == 1:
        return prompt[0]
    raise InvalidRequestError("expected one prompt as a string", where="prompt")


def parse_completion(raw: bytes, *, chat: bool, limit: int) -> CompletionRequest:
    """Parse and check the body of a completion request.

    :param limit: maximum number of output tokens.
    :raises InvalidRequestError: if a field is invalid; ``where`` names it.
    """
    try:
        body = msgspec.json.decode(raw, type=_Body)
    except msgspec.MsgspecError as error:
        raise InvalidRequestError(str(error), where="body") from error
    if body.n not in (None, 1):
        raise InvalidRequestError("expected 1", where="n")
    if chat:
        if not body.messages:
            raise InvalidRequestError("expected at least one message", where="messages")
        prompt = _chat_prompt(body.messages)
    else:
        prompt = _plain_prompt(body.prompt)
    max_tokens = body.max_completion_tokens or body.max_tokens
    if max_tokens is None:
        max_tokens = min(DEFAULT_MAX_TOKENS, limit)
    if not 1 <= max_tokens <= limit:
        raise InvalidRequestError(f"expected 1 to {limit}", where="max_tokens")
    return CompletionRequest(
        body.model, body.adapter, prompt, max_tokens, body.stream, chat
    )


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's prefix blocks, the shortest first."""
    hashes = []
    value = 0
    for index in range(MAX_PREFIX_BLOCKS):
        block = prompt[index * PREFIX_BLOCK_CHARACTERS :][:PREFIX_BLOCK_CHARACTERS]
        if len(block) < PREFIX_BLOCK_CHARACTERS:
            break
        value = zlib.crc32(block.encode(), value)
        hashes.append(value)
    return tuple(hashes)


class _Delta(msgspec.Struct, omit_defaults=True):
    role: str | None = None
    content: str | None = None


class _ChatChoice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None
    index: int = 0


class _TextChoice(msgspec.Struct):
    text: str
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class _Chunk(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_ChatChoice] | list[_TextChoice]


class ResponseFields(t.NamedTuple):
    """The fields that all events and bodies of one completion share."""

    id: str
    created: int
    model: str
    chat: bool


DONE_EVENT = b"data: [DONE]\n\n"


def _event(value: object) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _chunk_event(fields: ResponseFields, text: str | None, reason: str | None) -> bytes:
    if fields.chat:
        delta = _Delta(content=text)
        chat = [_ChatChoice(delta, reason)]
        kind = "chat.completion.chunk"
        return _event(_Chunk(fields.id, kind, fields.created, fields.model, chat))
    choices = [_TextChoice(text or "", reason)]
    kind = "text_completion"
    return _event(_Chunk(fields.id, kind, fields.created, fields.model, choices))


def first_event(fields: ResponseFields) -> bytes:
    """Return the event that opens a stream."""
    if not fields.chat:
        return b": open\n\n"
    choices = [_ChatChoice(_Delta(role="assistant", content=""))]
    kind = "chat.completion.chunk"
    return _event(_Chunk(fields.id, kind, fields.created, fields.model, choices))


def token_event(fields: ResponseFields, text: str) -> bytes:
    """Return the event for one token."""
    return _chunk_event(fields, text, None)


def last_events(fields: ResponseFields, reason: str) -> bytes:
    """Return the events that end a stream normally."""
    return _chunk_event(fields, None, reason) + DONE_EVENT


def error_event(value: dict[str, t.Any]) -> bytes:
    """Return the event that ends a stream with a typed error."""
    return _event(value)


def completion_body(
    fields: ResponseFields,
    text: str,
    reason: str,
    prompt_tokens: int,
    output_tokens: int,
) -> dict[str, t.Any]:
    """Return the body of a response that is not streamed."""
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": reason, "logprobs": None}
    if fields.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": fields.id,
        "object": "chat.completion" if fields.chat else "text_completion",
        "created": fields.created,
        "model": fields.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        },
    }
