"""Cache of node addresses for a caller."""

from __future__ import annotations

import typing

import httpx

from teaselbridge.client import outcomes
from teaselbridge import clock as clocks
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.gateway import addresses as models

if typing.TYPE_CHECKING:
    import random

# Timeout of a request for addresses.
REQUEST_TIMEOUT_MS = 1_000
# Time for which a failed node is avoided.
AVOID_DURATION_MS = 3_000


class AddressCache:
    """Addresses of nodes, fetched again when they expire.

    :param seeds: ``ip:port`` of the nodes to start from.
    :param zone: availability zone of the caller.
    :param http: HTTP client that fetches the addresses.
    :param scheme: ``http`` or ``https``.
    :param clock: clock of the process.
    :param generator: seeded random generator.
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
        self._addresses: list[models.Address] = []
        self._expires_at = 0
        self._avoided_until: dict[str, int] = {}

    async def choose_address(self) -> str:
        """Choose a node at random, if possible a usable one in the same zone.

        If every known node is avoided, the list is fetched again at the
        next call and one of the avoided nodes is used for now.

        :return: ``ip:port`` of the node.
        :raises outcomes.UnreachableError: no node returned any addresses.
        """
        now = self._clock.now().mono
        if now >= self._expires_at:
            await self._refresh()
        usable = [
            item
            for item in self._addresses
            if self._avoided_until.get(item.address, 0) <= now
        ]
        if not usable:
            self._expires_at = 0
            usable = self._addresses
        same_zone = [item for item in usable if item.zone == self._zone]
        return self._random.choice(same_zone or usable).address

    def avoid_address(self, address: str) -> None:
        """Avoid a node for a while and let the cached addresses expire."""
        self._avoided_until[address] = (
            self._clock.now().mono + AVOID_DURATION_MS
        )
        self._expires_at = 0

    async def _refresh(self) -> None:
        """Fetch the addresses from the first node that returns any.

        Known nodes come before the seeds, and avoided nodes come last.

        :raises outcomes.UnreachableError: no node returned any addresses.
        """
        known_nodes = [item.address for item in self._addresses]
        self._random.shuffle(known_nodes)
        candidates = [*known_nodes, *self._seeds]
        now = self._clock.now().mono
        candidates.sort(
            key=lambda item: self._avoided_until.get(item, 0) > now
        )
        for address in candidates:
            found = await self._fetch(address)
            if found is not None and found.addresses:
                self._addresses = list(found.addresses)
                self._expires_at = self._clock.now().mono + found.ttl_ms
                return
            self._avoided_until[address] = now + AVOID_DURATION_MS
        raise outcomes.UnreachableError(tuple(candidates))

    async def _fetch(self, address: str) -> models.Addresses | None:
        """Fetch the addresses from one node.

        :return: none if the node does not return a valid list.
        """
        try:
            response = await self._http.get(
                f'{self._scheme}://{address}/v1/addresses',
                params={'zone': self._zone},
                timeout=clocks.seconds(REQUEST_TIMEOUT_MS),
            )
            response.raise_for_status()
            return documents.decode(
                response.content, models.Addresses, address
            )
        except (httpx.HTTPError, errors.DocumentError):
            return None
