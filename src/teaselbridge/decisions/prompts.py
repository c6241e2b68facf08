"""Decisions to transfer a prompt's KV cache between backend servers.

Placement sends equal prompts to one preferred server. A request may have to
go elsewhere, because the preferred server is full, is leaving, or started
after the prompt was cached on another server. The KV cache of the prompt is
then transferred to the new server instead of being computed again.
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

# Shorter prompts are computed again rather than transferred.
MIN_PROMPT_CHARACTERS = 1_000
# A server that was first seen more recently is not yet expected to have the
# prompts cached for which it is first in the rendezvous order.
ESTABLISHED_AGE_MS = 30_000
# A leaving server must stay at least this long to serve as a source.
MIN_REMAINING_MS = 500
# Maximum number of pairs of server and prompt that are remembered.
MAX_SENT_PROMPTS = 4_096


class SentPrompts:
    """Most recent pairs of server and prompt that this node has sent."""

    def __init__(self) -> None:
        self._sent: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def record(self, host: str, prefix: int) -> bool:
        """Record that a prompt is sent to a server.

        :param prefix: hash of the prompt's head.
        :return: whether this is the first time that the server gets it.
        """
        key = (host, prefix)
        is_first_send = key not in self._sent
        self._sent[key] = None
        self._sent.move_to_end(key)
        if len(self._sent) > MAX_SENT_PROMPTS:
            self._sent.popitem(last=False)
        return is_first_send


def source(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> effects.Target | None:
    """Return the server from which the KV cache of a request is fetched.

    :param server: server that the request is sent to.
    :return: none if a transfer would gain nothing.
    """
    call = request.call
    if not call.prefix or call.prompt_size < MIN_PROMPT_CHARACTERS:
        return None
    is_first_send = state.prompts.record(server.host, call.prefix)
    holders = [
        other
        for other in state.servers.in_pool(call.route.pool)
        if _can_export_cache(other, server.version, now)
    ]
    last = state.servers.get(request.host)
    if last is not None and last.leaving and last in holders:
        return effects.Target(last.host, last.row.address)
    holder = _likely_holder(holders, call.prefix, now)
    if not is_first_send or holder is None or holder is server:
        return None
    return effects.Target(holder.host, holder.row.address)


def count(event: events.CacheCopied) -> effects.Effect:
    """Count the outcome of a KV cache transfer."""
    outcome = 'moved' if event.blocks else 'empty'
    if event.blocks is None:
        outcome = 'failed'
    return effects.Count(effects.Counter.CACHES_MOVED, outcome)


def _can_export_cache(
    server: servers.Server, version: str, now: clock.Instant
) -> bool:
    """Return whether servers of a version can fetch caches from a server."""
    if server.version != version or server.ejected_until > now.mono:
        return False
    if not server.leaving:
        return True
    return server.reclaimed_at > now.mono + MIN_REMAINING_MS


def _likely_holder(
    holders: list[servers.Server], prefix: int, now: clock.Instant
) -> servers.Server | None:
    """Return the server that most likely has a prompt in its cache.

    Servers that were added recently are considered only if there are no
    others, since requests for the prompt have gone elsewhere until now.
    """
    established = [
        server
        for server in holders
        if server.leaving or now.mono - server.since >= ESTABLISHED_AGE_MS
    ]
    candidates = established or holders
    if not candidates:
        return None
    return placement.order(candidates, prefix)[0]
