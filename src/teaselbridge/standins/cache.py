"""Prefix cache of a model engine, as far as callers can notice it."""

from __future__ import annotations

import collections
import dataclasses
import itertools

import xxhash

BLOCK_CHARACTERS = 64
EVENTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored or removed.

    :param number: place in the order of events.
    """

    number: int
    type: str
    block: str


class PrefixCache:
    """Blocks of prompts that need no work again.

    :param blocks: blocks to keep, least recently used ones go first.
    """

    def __init__(self, *, blocks: int) -> None:
        self._most = blocks
        self._known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENTS
        )
        self._numbers = itertools.count(1)

    def match(self, text: str) -> int:
        """Count the characters of a prompt that are cached."""
        found = 0
        for block in _blocks(text):
            if block not in self._known:
                break
            self._known.move_to_end(block)
            found += BLOCK_CHARACTERS
        return min(found, len(text))

    def add(self, text: str) -> None:
        """Keep a prompt's blocks."""
        self.take(_blocks(text))

    def take(self, blocks: list[str]) -> None:
        """Keep blocks, of this or another engine."""
        for block in blocks:
            if block not in self._known:
                self._note('stored', block)
            self._known[block] = None
            self._known.move_to_end(block)
        while len(self._known) > self._most:
            old, _ = self._known.popitem(last=False)
            self._note('removed', old)

    def again(self, text: str, seen: set[str]) -> int:
        """Count the characters of a prompt that some engine did before.

        :param seen: blocks that any engine has computed; added to.
        :return: characters that are not cached here though seen.
        """
        blocks = _blocks(text)
        found = sum(
            block in seen and block not in self._known for block in blocks
        )
        seen.update(blocks)
        return found * BLOCK_CHARACTERS

    def give(self, text: str) -> list[str]:
        """List a prompt's blocks that are kept, for another engine."""
        return [block for block in _blocks(text) if block in self._known]

    def _note(self, kind: str, block: str) -> None:
        number = next(self._numbers)
        self.events.append(CacheEvent(number, kind, block))


def _blocks(text: str) -> list[str]:
    digest = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(text), BLOCK_CHARACTERS):
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return blocks
