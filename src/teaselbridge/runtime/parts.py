"""Keeps the records of refused prompt parts in the store."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock
from teaselbridge import errors
from teaselbridge.platform import documents
from teaselbridge.ports import keyvalue

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects
    from teaselbridge.platform import store as stores

MAX_TRIES = 8
RETRY_DELAY_MS = 1_000
# The store grants no shorter lease.
MIN_KEEP_MS = 1_000


async def write(store: stores.StoreClient, effect: effects.StorePart) -> str:
    """Merge a record with the stored one and write it, for a limited time.

    :return: empty if the store has it, else why the last try failed.
    """
    failure = ''
    for _ in range(MAX_TRIES):
        try:
            if await _try_to_write(store, effect):
                return ''
            failure = 'written by another node'
        except keyvalue.KeyValueError as error:
            failure = error.detail
        await asyncio.sleep(clock.seconds(RETRY_DELAY_MS))
    return failure


async def _try_to_write(
    store: stores.StoreClient, effect: effects.StorePart
) -> bool:
    """Return whether the store has the record."""
    purpose = keyvalue.Purpose.CONFIGURATION
    key = documents.build_part_key(effect.record.part)
    known = await store.get(key, purpose)
    record = effect.record
    if known.data is not None:
        try:
            stored = documents.decode_part(known.data).record
        except errors.DocumentError:
            stored = record
        record = stored.merge(record)
        if record == stored:
            return True
    lease = await store.grant_lease(max(MIN_KEEP_MS, effect.keep_ms))
    swap = await store.compare_and_swap(
        key, documents.encode_part(record), known.revision, purpose, lease
    )
    return swap.swapped
