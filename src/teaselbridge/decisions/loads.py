"""What nodes tell each other of their work, a few times a second.

A backend server's own report is old when it comes, and costs the server
work. The nodes know what they sent, so they tell each other: how much runs
at which server, what they gave it to read, what workspaces ask for, and how
many requests began.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import usage
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Four messages a second keep the others' picture younger than one prefill
# of a long prompt, at some hundred bytes each.
TELL_MS = 250
# Usage counts are only needed for what a killed node leaves behind.
USAGE_EVERY = 4
# What was not heard again for this long is over.
STALE_MS = 1_500
TOLD_MOST = 24
# Span that prompt tokens are added up over.
READING_MS = 3_000
PARTS_KEPT = 20_000
# The engines drop parts that were not used for long.
PARTS_MS = 40_000


@dataclasses.dataclass(slots=True)
class _Peer:
    heard: int
    servers: dict[str, messages.ServerLoad]
    reading: tuple[messages.Reading, ...]


class Loads:
    """What the others have under way, and what servers have read."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._untold: dict[str, dict[str, None]] = {}
        self._reading: collections.deque[tuple[int, messages.Reading]] = (
            collections.deque()
        )
        self.due = 0
        self.count = 0

    def hear(self, message: messages.Loads, now: clock.Instant) -> None:
        """Take in what another node has under way."""
        servers = {item.host: item for item in message.servers}
        self._peers[message.node] = _Peer(now.mono, servers, message.reading)
        for item in message.cached:
            for part in item.parts:
                self._keep(item.host, part, now.mono)

    def give(self, host: str, part: str, now: clock.Instant) -> None:
        """Note that a server reads a part of a prompt for this node."""
        self._untold.setdefault(host, {})[part] = None
        self._keep(host, part, now.mono)

    def has(self, host: str, part: str, now: clock.Instant) -> bool:
        """Tell whether a server was given a part not long ago."""
        given = self._parts.get((host, part))
        return given is not None and now.mono - given < PARTS_MS

    def take_untold(self) -> tuple[messages.Cached, ...]:
        """Give what the others do not know yet."""
        untold = self._untold
        self._untold = {}
        return tuple(
            messages.Cached(host=host, parts=tuple(parts))
            for host, parts in untold.items()
        )

    def count_reading(
        self, pool: str, tokens: int, prompt: int, now: clock.Instant
    ) -> None:
        """Count a prompt that a server got from this node.

        :param tokens: what it has to read of it.
        :param prompt: all tokens.
        """
        self._reading.append(
            (
                now.mono,
                messages.Reading(pool=pool, tokens=tokens, prompts=prompt),
            )
        )

    def own_reading(self, now: clock.Instant) -> tuple[messages.Reading, ...]:
        """Add up what this node gave servers to read, by pool."""
        while self._reading and now.mono - self._reading[0][0] > READING_MS:
            self._reading.popleft()
        found = [item for _, item in self._reading]
        pools = dict.fromkeys(item.pool for item in found)
        return tuple(_add_up(pool, found) for pool in pools)

    def reading(self, pool: str, now: clock.Instant) -> messages.Reading:
        """Give the prompt tokens a second that all nodes send a pool."""
        found = list(self.own_reading(now))
        for peer in self._peers.values():
            if now.mono - peer.heard < STALE_MS:
                found += peer.reading
        total = _add_up(pool, found)
        return messages.Reading(
            pool=pool,
            tokens=total.tokens * 1000 // READING_MS,
            prompts=total.prompts * 1000 // READING_MS,
        )

    def of(self, host: str, now: clock.Instant) -> messages.ServerLoad:
        """Add up what the other nodes have under way at a server."""
        running = 0
        prefill = 0
        for peer in self._peers.values():
            item = peer.servers.get(host)
            if item is not None and now.mono - peer.heard < STALE_MS:
                running += item.running
                prefill += item.prefill
        return messages.ServerLoad(host=host, running=running, prefill=prefill)

    def _keep(self, host: str, part: str, mono: int) -> None:
        key = (host, part)
        self._parts[key] = mono
        self._parts.move_to_end(key)
        if len(self._parts) > PARTS_KEPT:
            self._parts.popitem(last=False)


def _add_up(pool: str, found: list[messages.Reading]) -> messages.Reading:
    """Add up what belongs to a pool."""
    mine = [item for item in found if item.pool == pool]
    return messages.Reading(
        pool=pool,
        tokens=sum(item.tokens for item in mine),
        prompts=sum(item.prompts for item in mine),
    )


def hear(
    state: states.State, message: messages.Loads, now: clock.Instant
) -> list[effects.Effect]:
    """Take in another node's message."""
    state.loads.hear(message, now)
    state.rates.hear(message, now)
    state.usage.hear(message, now)
    for item in message.servers:
        _refresh(state, item.host, now)
    return []


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Tell the other nodes, as far as due."""
    loads = state.loads
    if state.options.bounds is None or now.mono < loads.due:
        return []
    loads.due = now.mono + TELL_MS
    loads.count += 1
    listed = [item.address for item in state.servers.entries]
    others = len({*listed} - {state.options.me.peers})
    state.rates.begin(now, others)
    for server in state.servers.all:
        _refresh(state, server.host, now)
    message = _message(state, now)
    alive = state.membership.alive
    chosen = state.random.sample(alive, min(TOLD_MOST, len(alive)))
    return [effects.SendPeer(member.peers, message) for member in chosen]


def _message(state: states.State, now: clock.Instant) -> messages.Loads:
    told: tuple[messages.Usage, ...] = ()
    if state.loads.count % USAGE_EVERY == 0 or state.drain is not None:
        window = usage.window_at(state, now)
        told = state.usage.tell(usage.source_of(state), window)
    me = state.options.me
    return messages.Loads(
        node=me.name,
        incarnation=me.incarnation,
        wall=now.wall,
        servers=tuple(
            messages.ServerLoad(
                host=server.host,
                running=server.inflight,
                prefill=server.prefill,
            )
            for server in state.servers.all
            if server.inflight
        ),
        cached=state.loads.take_untold(),
        demand=state.rates.tell(),
        usage=told,
        reading=state.loads.own_reading(now),
    )


def _refresh(state: states.State, host: str, now: clock.Instant) -> None:
    server = state.servers.get(host)
    if server is None:
        return
    others = state.loads.of(host, now)
    server.others = others.running
    server.others_prefill = others.prefill
