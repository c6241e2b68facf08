"""The list of nodes that a caller keeps for a while."""

from __future__ import annotations

import typing

import httpx
import msgspec

from teaselbridge.client import outcomes
from teaselbridge import clock as clocks
from teaselbridge.gateway import addresses as models

if typing.TYPE_CHECKING:
    import random

ASK_MS = 1_000
AVOID_MS = 3_000


class AddressBook:
    """Addresses of nodes, asked for again when their time is over.

    :param seeds: ``ip:port`` of nodes to ask first.
    :param zone: availability zone of the caller.
    :param http: client to ask with.
    :param scheme: ``http`` or ``https``.
    :param clock: clocks of the process.
    :param generator: seeded generator.
    """

    def __init__(
        self,
        *,
        seeds: tuple[str, ...],
        zone: str,
        http: httpx.AsyncClient,
        scheme: str,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self._seeds = seeds
        self._zone = zone
        self._http = http
        self._scheme = scheme
        self._clock = clock
        self._random = generator
        self._known: list[models.Address] = []
        self._until = 0
        self._avoided: dict[str, int] = {}

    async def pick(self) -> str:
        """Give a node to use: of the nearest zone, one that works.

        :raises outcomes.UnreachableError: no node answers.
        """
        now = self._clock.now().mono
        if now >= self._until:
            await self._refresh()
        good = [
            item
            for item in self._known
            if self._avoided.get(item.address, 0) <= now
        ]
        if not good:
            self._until = 0
            good = self._known
        near = [item for item in good if item.zone == self._zone]
        return self._random.choice(near or good).address

    def avoid(self, address: str) -> None:
        """Leave a node out for a while, and ask for a new list."""
        self._avoided[address] = self._clock.now().mono + AVOID_MS
        self._until = 0

    async def _refresh(self) -> None:
        asked = [item.address for item in self._known]
        self._random.shuffle(asked)
        candidates = [*asked, *self._seeds]
        now = self._clock.now().mono
        candidates.sort(key=lambda item: self._avoided.get(item, 0) > now)
        for address in candidates:
            found = await self._ask(address)
            if found is not None and found.addresses:
                self._known = list(found.addresses)
                self._until = self._clock.now().mono + found.ttl_ms
                return
            self._avoided[address] = now + AVOID_MS
        raise outcomes.UnreachableError(tuple(candidates))

    async def _ask(self, address: str) -> models.Addresses | None:
        try:
            response = await self._http.get(
                f'{self._scheme}://{address}/v1/addresses',
                params={'zone': self._zone},
                timeout=clocks.seconds(ASK_MS),
            )
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=models.Addresses)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
