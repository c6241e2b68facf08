"""Copies a prompt's KV cache from one model engine to another.

The source engine exports the cache as named blocks. The target engine
fetches these blocks directly from the source; only the block names pass
through this process.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import httpx
import msgspec

from teaselbridge.backends import engine
from teaselbridge import clock
from teaselbridge import documents
from teaselbridge import errors

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects

COPY_TIMEOUT_MS = 500
EXPORT_PATH = '/cache/export'
IMPORT_PATH = '/cache/import'


@dataclasses.dataclass(frozen=True, slots=True)
class ExportedBlocks:
    """Names of the blocks that an engine exports for a prompt."""

    blocks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ImportRequest:
    """Request to an engine to fetch blocks from another one.

    :param source: ``ip:port`` of the engine that exports the blocks.
    :param blocks: names of the blocks.
    """

    source: str
    blocks: tuple[str, ...]


async def move(
    source: httpx.AsyncClient,
    target: httpx.AsyncClient,
    effect: effects.StartAttempt,
) -> int | None:
    """Copy the KV cache of an attempt's prompt to the attempt's engine.

    If the copy fails or times out, the attempt runs without it and the
    engine computes the cache itself.

    :param source: client with pooled connections to the source engine.
    :param target: client with pooled connections to the target engine.
    :param effect: attempt whose prompt is looked up.
    :return: number of blocks copied, or none if the copy failed.
    """
    try:
        async with asyncio.timeout(clock.seconds(COPY_TIMEOUT_MS)):
            return await _copy(source, target, effect)
    except (httpx.HTTPError, errors.DocumentError, TimeoutError):
        return None


async def _copy(
    source: httpx.AsyncClient,
    target: httpx.AsyncClient,
    effect: effects.StartAttempt,
) -> int:
    assert effect.source is not None
    call = effect.call
    content = engine.build_body(call.body, call.path, effect.sent)
    response = await source.post(
        f'http://{effect.source.address}{EXPORT_PATH}',
        params={'path': call.path},
        content=content,
        headers={'content-type': 'application/json'},
    )
    response.raise_for_status()
    exported = documents.decode(
        response.content, ExportedBlocks, effect.source.address
    )
    if not exported.blocks:
        return 0
    order = ImportRequest(effect.source.address, exported.blocks)
    answer = await target.post(
        f'http://{effect.address}{IMPORT_PATH}',
        content=msgspec.json.encode(order),
        headers={'content-type': 'application/json'},
    )
    answer.raise_for_status()
    return len(exported.blocks)
