"""Which prompts' KV caches are moved from one backend server to another.

Placement sends equal prompts to one server, their home. A request that has
to go elsewhere, since the home is full, leaves or is newer than the cache,
takes the prompt's KV cache along instead of computing it again.
"""

from __future__ import annotations

import collections
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import placement

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

WORTH_CHARACTERS = 1_000
SETTLED_MS = 30_000
LEFT_LEAST_MS = 500
REMEMBERED = 4_096


class Prompts:
    """Servers that this node has given a prompt, the latest ones."""

    def __init__(self) -> None:
        self._given: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def give(self, host: str, prefix: int) -> bool:
        """Note that a server gets a prompt.

        :param prefix: hash of the prompt's head.
        :return: whether it had not got it before.
        """
        key = (host, prefix)
        fresh = key not in self._given
        self._given[key] = None
        self._given.move_to_end(key)
        if len(self._given) > REMEMBERED:
            self._given.popitem(last=False)
        return fresh


def source(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> effects.Target | None:
    """Name the server that a request takes its KV cache from.

    :param server: where the request goes.
    :return: none where nothing is to be gained.
    """
    call = request.call
    if not call.prefix or call.prompt_size < WORTH_CHARACTERS:
        return None
    fresh = state.prompts.give(server.host, call.prefix)
    holders = [
        other
        for other in state.servers.in_pool(call.route.pool)
        if _may_give(other, server.version, now)
    ]
    last = state.servers.get(request.host)
    if last is not None and last.leaving and last in holders:
        return effects.Target(last.host, last.row.address)
    home = _home(holders, call.prefix, now)
    if not fresh or home is None or home is server:
        return None
    return effects.Target(home.host, home.row.address)


def count(event: events.CacheMoved) -> effects.Effect:
    """Count how a move of a KV cache ended."""
    ended = 'moved' if event.blocks else 'empty'
    if event.blocks is None:
        ended = 'failed'
    return effects.Count(effects.Counter.CACHES_MOVED, ended)


def _may_give(
    server: servers.Server, version: str, now: clock.Instant
) -> bool:
    """Tell whether a server can give caches to those of a version."""
    if server.version != version or server.ejected_until > now.mono:
        return False
    if not server.leaving:
        return True
    return server.gone_at > now.mono + LEFT_LEAST_MS


def _home(
    holders: list[servers.Server], prefix: int, now: clock.Instant
) -> servers.Server | None:
    """Find the server whose cache has a prompt most likely.

    One that is new is not the home yet of what it will be the home of.
    """
    settled = [
        server
        for server in holders
        if server.leaving or now.mono - server.since >= SETTLED_MS
    ]
    candidates = settled or holders
    if not candidates:
        return None
    return placement.order(candidates, prefix)[0]
