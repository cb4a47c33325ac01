"""Types for chat requests, streamed response chunks and non-streamed responses."""

import hashlib
from typing import Any

import msgspec

PROMPT_BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4


class ChatMessage(msgspec.Struct, kw_only=True):
    """One message of a conversation; `content` is text or a list of parts."""

    role: str
    content: str | list[Any] | None = None


class ChatRequest(msgspec.Struct, kw_only=True):
    """Fields of a chat request that the router reads; others are forwarded as is."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None


class Delta(msgspec.Struct):
    """Message content added by one chunk."""

    content: str | None = None


class ChunkChoice(msgspec.Struct):
    """One choice of a chunk; the router reads only the first."""

    delta: Delta = msgspec.field(default_factory=Delta)
    finish_reason: str | None = None


class ChatChunk(msgspec.Struct):
    """One event of a streamed response; carries at most one token."""

    choices: list[ChunkChoice] = []


class CompletionMessage(msgspec.Struct, kw_only=True):
    """The assistant's message in a non-streamed response."""

    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct, kw_only=True):
    """The only choice of a non-streamed response."""

    message: CompletionMessage
    finish_reason: str
    index: int = 0


class TokenUsage(msgspec.Struct, kw_only=True):
    """Token counts of a non-streamed response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatCompletion(msgspec.Struct, kw_only=True):
    """Response to a request without `stream`."""

    id: str
    model: str
    choices: list[CompletionChoice]
    usage: TokenUsage
    object: str = "chat.completion"


decode_chat_request = msgspec.json.Decoder(ChatRequest).decode
decode_chunk = msgspec.json.Decoder(ChatChunk).decode


def prompt_text(request: ChatRequest) -> str:
    """Joins the messages in the order in which an engine processes them."""
    return "\n".join(f"{m.role}: {m.content or ''}" for m in request.messages)


def estimate_tokens(text: str) -> int:
    """Estimates the number of tokens in a text.

    >>> estimate_tokens("a question of some words")
    6
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prompt_blocks(text: str) -> tuple[int, ...]:
    """Returns the hashes of the prefix blocks of a prompt, first block first.

    Each hash covers the text from the start of the prompt to the end of its block. A
    partial last block is ignored.

    >>> first, second = prompt_blocks("x" * 520)
    >>> prompt_blocks("x" * 256 + "y" * 256)[0] == first
    True
    """
    digest = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(
        0, len(text) - PROMPT_BLOCK_CHARACTERS + 1, PROMPT_BLOCK_CHARACTERS
    ):
        digest.update(text[start : start + PROMPT_BLOCK_CHARACTERS].encode())
        blocks.append(int.from_bytes(digest.digest(), "big") >> 1)
    return tuple(blocks)


def continuation_body(body: bytes, *, text: str, tokens: int) -> bytes:
    """Returns the request body that makes an engine resume after `tokens` tokens.

    The text generated so far is appended as an assistant message.
    """
    fields = msgspec.json.decode(body)
    fields["stream"] = True
    if tokens:
        messages = [*fields["messages"], {"role": "assistant", "content": text}]
        fields["messages"] = messages
        fields["continue_from"] = tokens
    return msgspec.json.encode(fields)
