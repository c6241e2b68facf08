"""Simulated prefix cache of a model engine.

It tracks which blocks of prompts are cached, and holds no attention state.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools

import xxhash

CHARACTERS_PER_BLOCK = 64
MAX_EVENTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Insertion or eviction of a block.

    :param number: sequence number, from 1.
    :param type: ``stored`` or ``removed``.
    :param block: hash of the block.
    """

    number: int
    type: str
    block: str


class PrefixCache:
    """Prompt blocks whose prefill is skipped, evicted by least recent use.

    :param blocks: maximum number of blocks.
    """

    def __init__(self, *, blocks: int) -> None:
        self._max_blocks = blocks
        self._cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._event_numbers = itertools.count(1)

    def match(self, text: str) -> int:
        """Return the length of a prompt's cached prefix.

        :return: number of characters; the blocks count as used.
        """
        matched = 0
        for block in _hash_blocks(text):
            if block not in self._cached:
                break
            self._cached.move_to_end(block)
            matched += CHARACTERS_PER_BLOCK
        return min(matched, len(text))

    def add_prompt(self, text: str) -> None:
        """Add all blocks of a prompt."""
        self.add_blocks(_hash_blocks(text))

    def add_blocks(self, blocks: list[str]) -> None:
        """Add blocks computed here or copied from another engine."""
        for block in blocks:
            if block not in self._cached:
                self._record_event('stored', block)
            self._cached[block] = None
            self._cached.move_to_end(block)
        while len(self._cached) > self._max_blocks:
            old, _ = self._cached.popitem(last=False)
            self._record_event('removed', old)

    def count_recomputed(self, text: str, seen: set[str]) -> int:
        """Count the characters of a prompt that are computed repeatedly.

        :param seen: blocks that any engine has computed; the prompt's blocks
            are added.
        :return: characters in blocks that some engine has computed before
            but that are not cached here.
        """
        blocks = _hash_blocks(text)
        repeated = sum(
            block in seen and block not in self._cached for block in blocks
        )
        seen.update(blocks)
        return repeated * CHARACTERS_PER_BLOCK

    def list_cached_blocks(self, text: str) -> list[str]:
        """List a prompt's cached blocks, for export to another engine."""
        return [block for block in _hash_blocks(text) if block in self._cached]

    def _record_event(self, kind: str, block: str) -> None:
        number = next(self._event_numbers)
        self.events.append(CacheEvent(number, kind, block))


def _hash_blocks(text: str) -> list[str]:
    """Return a hash per block, each over the text up to the block's end."""
    digest = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(text), CHARACTERS_PER_BLOCK):
        digest.update(text[start : start + CHARACTERS_PER_BLOCK].encode())
        blocks.append(digest.hexdigest())
    return blocks
