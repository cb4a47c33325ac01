"""Guards against prompts in many small parts, whose tables end the process.

Callers choose the number of parts, their ids and their tokens.
"""

import pytest

from lagoonrill._internal.protocol.headers import (
    MAX_PART_ID_CHARACTERS,
    MAX_PROMPT_PARTS,
    parse_prompt_parts,
)
from lagoonrill._internal.protocol.routing import PromptPart
from lagoonrill._internal.state import engine_load_table
from lagoonrill._internal.state.engine_load_table import EngineLoadTable


def test_a_prompt_in_many_parts_keeps_its_leading_parts_and_its_tokens():
    text = ",".join(f"{number:x}:1" for number in range(1_300))
    parts = parse_prompt_parts(text)
    assert len(parts) == MAX_PROMPT_PARTS
    assert sum(part.tokens for part in parts) == 1_300
    assert parts[0] == PromptPart(id="0", tokens=1)
    # Another rest is another part.
    assert parse_prompt_parts(text + ",more:1")[-1].id != parts[-1].id


def test_a_long_id_of_a_part_is_not_kept():
    first, last = (parse_prompt_parts(f"{'x' * 9_000}{n}:5") for n in (1, 2))
    assert len(first[0].id) <= MAX_PART_ID_CHARACTERS
    assert first != last
    assert parse_prompt_parts(f"{'x' * 9_000}1:5") == first


@pytest.mark.parametrize("peer", [False, True], ids=["own", "of-a-peer"])
def test_cached_parts_are_bounded_by_number_for_all_engines(monkeypatch, peer):
    monkeypatch.setattr(engine_load_table, "MAX_CACHED_PARTS", 4_000)
    table = EngineLoadTable()
    for number in range(400):
        parts = [PromptPart(id=f"{number}-{n}", tokens=1) for n in range(200)]
        engine = f"e{number % 10}"
        if peer:
            table.record_peer_reads([(engine, parts)])
        else:
            table.note_sent(engine, tuple(parts))
    assert sum(len(cache.parts) for cache in table.caches.values()) <= 4_000
    newest = table.caches["e9"]
    assert newest.expected_tokens(tuple(parts)) == 200
