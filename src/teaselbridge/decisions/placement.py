"""Placement policies: which backend server gets a request.

Nodes do not coordinate per request, so a policy that sends equal prompts to
the same server may use only the request and the list of servers. Rendezvous
hashing meets this condition. A bound on the load keeps a popular prompt from
filling one server. The prefix-aware policy skips the preferred server only
when that server is nearly full, because one more request in its batch costs
little and computing a long prompt again costs much.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import xxhash

if typing.TYPE_CHECKING:
    import collections.abc
    import random

    from teaselbridge.decisions import calls
    from teaselbridge.decisions import servers

# Highest load of a server, as a multiple of the mean load of the candidates.
LOAD_BOUND = 1.25
# Requests added to the total, so that the bound is above zero on idle servers.
LOAD_SLACK = 1
# Fraction of the slots up to which the prefix-aware policy keeps a server.
NEARLY_FULL_FRACTION = 0.75
# Characters at the head of a prompt that decide its placement.
PREFIX_CHARACTERS = 512
# Heads whose order is remembered; some 7 KB each with 70 servers.
MAX_ORDERED_HEADS = 128
# Hosts that are no candidates any more and are still remembered for a head.
MAX_GONE_HOSTS = 64


class Rotation:
    """Current position of the round-robin policy."""

    def __init__(self) -> None:
        self._position = 0

    def next(self, size: int) -> int:
        """Advance and return the position, modulo a size."""
        self._position = (self._position + 1) % size
        return self._position


class HeadOrders:
    """Rendezvous order of the servers for the latest prompt heads.

    A hash of a head and a host never changes, so that none is computed again
    for the next prompt with this head.
    """

    def __init__(self) -> None:
        self._hashes: collections.OrderedDict[str, dict[str, int]] = (
            collections.OrderedDict()
        )

    def order(
        self, candidates: list[servers.Server], head: str
    ) -> list[servers.Server]:
        """Sort servers as `order` does for the hash of a prompt's head."""
        hashes = self._hashes.setdefault(head, {})
        self._hashes.move_to_end(head)
        if len(self._hashes) > MAX_ORDERED_HEADS:
            self._hashes.popitem(last=False)
        if len(hashes) > 2 * len(candidates) + MAX_GONE_HOSTS:
            hashes.clear()
        prefix = ''
        for server in candidates:
            if server.host not in hashes:
                prefix = prefix or str(hash_text(head))
                hashes[server.host] = hash_text(prefix, server.host)
        return sorted(
            candidates, key=lambda server: hashes[server.host], reverse=True
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyInput:
    """Inputs of a policy besides the candidate servers.

    :param call: the request.
    :param generator: seeded generator.
    :param rotation: current position for round robin.
    :param zone: availability zone of this node.
    """

    call: calls.Call
    generator: random.Random
    rotation: Rotation
    zone: str


Policy: typing.TypeAlias = (
    'collections.abc.Callable[[list[servers.Server], PolicyInput],'
    ' servers.Server]'
)


def round_robin(
    candidates: list[servers.Server], view: PolicyInput
) -> servers.Server:
    """Choose the servers in turn."""
    return candidates[view.rotation.next(len(candidates))]


def least_inflight(
    candidates: list[servers.Server], view: PolicyInput
) -> servers.Server:
    """Choose the server with the fewest requests in flight from this node."""
    return min(candidates, key=lambda server: server.inflight)


def two_choices(
    candidates: list[servers.Server], view: PolicyInput
) -> servers.Server:
    """Choose the less loaded of two random servers."""
    pair = view.generator.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda server: server.load)


def rendezvous(
    candidates: list[servers.Server], view: PolicyInput
) -> servers.Server:
    """Choose the first server in rendezvous order within the load bound."""
    return _first_within_bound(candidates, view, 0.0)


def prefix_aware(
    candidates: list[servers.Server], view: PolicyInput
) -> servers.Server:
    """Send equal prompts to the same server unless it is nearly full.

    Requests without a prompt go to the less loaded of two random servers.
    """
    if view.call.prefix:
        return _first_within_bound(candidates, view, NEARLY_FULL_FRACTION)
    return two_choices(candidates, view)


POLICIES: dict[str, Policy] = {
    'round-robin': round_robin,
    'least-inflight': least_inflight,
    'two-choices': two_choices,
    'rendezvous': rendezvous,
    'prefix-aware': prefix_aware,
}


def hash_text(*parts: str) -> int:
    """Hash text the same way on every node.

    :param parts: text to hash.
    :return: hash of 63 bits.
    """
    return xxhash.xxh3_64_intdigest('\0'.join(parts).encode()) >> 1


def hash_prefix(prompt: str) -> int:
    """Hash the head of a prompt, which decides its placement."""
    return hash_text(prompt[:PREFIX_CHARACTERS])


def first(
    names: collections.abc.Iterable[str], count: int, *key: str
) -> list[str]:
    """Choose the same few names on every node, by rendezvous hashing.

    :param names: candidates; duplicates count once.
    :param count: maximum number of names to choose.
    :param key: text that identifies the purpose of the choice.
    :return: the first names in rendezvous order.
    """
    order = sorted(
        set(names), key=lambda name: hash_text(*key, name), reverse=True
    )
    return order[:count]


def order(
    candidates: list[servers.Server], prefix: int
) -> list[servers.Server]:
    """Sort servers in rendezvous order for a prompt, equally on every node.

    :param prefix: hash of the prompt's head.
    """
    return sorted(
        candidates,
        key=lambda server: hash_text(str(prefix), server.host),
        reverse=True,
    )


def _first_within_bound(
    candidates: list[servers.Server], view: PolicyInput, least: float
) -> servers.Server:
    """Return the first server in rendezvous order within the load bound.

    If all servers exceed the bound, return the first one.

    :param least: minimum of the load bound, as a fraction of the slots.
    """
    ordered = order(candidates, view.call.prefix)
    bound = max(least, _load_bound(candidates))
    for server in ordered:
        if server.inflight + server.other_requests <= bound * server.slots:
            return server
    return ordered[0]


def _load_bound(candidates: list[servers.Server]) -> float:
    """Return the load bound as a fraction of the slots of a server."""
    slots = sum(server.slots for server in candidates)
    used = sum(
        server.inflight + server.other_requests for server in candidates
    )
    return LOAD_BOUND * (used + LOAD_SLACK) / max(1, slots)
