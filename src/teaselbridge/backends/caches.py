"""Moves a prompt's KV cache from one model engine to another.

The engine that has it exports it under block names; the one that needs it
fetches these blocks from there by itself. What passes through this process
are the names alone.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import httpx
import msgspec

from teaselbridge.backends import engine
from teaselbridge import clock

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects

MOVE_MS = 500
EXPORT_PATH = '/cache/export'
IMPORT_PATH = '/cache/import'


@dataclasses.dataclass(frozen=True, slots=True)
class Exported:
    """Blocks of a prompt that an engine has ready for others."""

    blocks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Import:
    """Order to fetch blocks.

    :param source: ``ip:port`` of the engine that has them.
    """

    source: str
    blocks: tuple[str, ...]


async def move(
    source: httpx.AsyncClient,
    target: httpx.AsyncClient,
    effect: effects.StartAttempt,
) -> int | None:
    """Move the KV cache that an attempt can use.

    An attempt does without it where this fails or takes too long.

    :param source: keeps connections to the engine that may have it.
    :param target: keeps connections to the engine that needs it.
    :return: blocks that were moved, none where it failed.
    """
    try:
        async with asyncio.timeout(clock.seconds(MOVE_MS)):
            return await _move(source, target, effect)
    except (httpx.HTTPError, msgspec.DecodeError, TimeoutError):
        return None


async def _move(
    source: httpx.AsyncClient,
    target: httpx.AsyncClient,
    effect: effects.StartAttempt,
) -> int:
    assert effect.source is not None
    call = effect.call
    content = engine.continuation(call.body, call.path, effect.sent)
    response = await source.post(
        f'http://{effect.source.address}{EXPORT_PATH}',
        params={'path': call.path},
        content=content,
        headers={'content-type': 'application/json'},
    )
    response.raise_for_status()
    exported = msgspec.json.decode(response.content, type=Exported)
    if not exported.blocks:
        return 0
    order = Import(effect.source.address, exported.blocks)
    answer = await target.post(
        f'http://{effect.address}{IMPORT_PATH}',
        content=msgspec.json.encode(order),
        headers={'content-type': 'application/json'},
    )
    answer.raise_for_status()
    return len(exported.blocks)
