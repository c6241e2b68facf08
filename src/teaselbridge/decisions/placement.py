"""Choice of a backend server for a request.

Nodes do not talk to each other for a request, so a choice that keeps equal
prompts together must follow from the request and the servers alone.
Rendezvous hashing does; a bound on the load keeps a popular prompt from
filling one server. A server that is not nearly full is never passed by:
to share its batch costs little, to compute a long prompt again costs much.
"""

from __future__ import annotations

import dataclasses
import typing

import xxhash

if typing.TYPE_CHECKING:
    import collections.abc
    import random

    from teaselbridge.decisions import calls
    from teaselbridge.decisions import servers

LOAD_BOUND = 1.25
LOAD_SLACK = 1
FULL_FROM = 0.75
PREFIX_CHARACTERS = 512


class Rotation:
    """Position of the round-robin policy."""

    def __init__(self) -> None:
        self._position = 0

    def next(self, size: int) -> int:
        """Give the next position below a size."""
        self._position = (self._position + 1) % size
        return self._position


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a policy may look at besides the servers.

    :param call: the request.
    :param generator: seeded generator.
    :param rotation: position for round robin.
    :param zone: availability zone of this node.
    """

    call: calls.Call
    generator: random.Random
    rotation: Rotation
    zone: str


Policy: typing.TypeAlias = (
    'collections.abc.Callable[[list[servers.Server], View], servers.Server]'
)


def round_robin(
    candidates: list[servers.Server], view: View
) -> servers.Server:
    """Take the servers in turn."""
    return candidates[view.rotation.next(len(candidates))]


def least_inflight(
    candidates: list[servers.Server], view: View
) -> servers.Server:
    """Take the server with the fewest requests of this node."""
    return min(candidates, key=lambda server: server.inflight)


def two_choices(
    candidates: list[servers.Server], view: View
) -> servers.Server:
    """Take the less loaded of two random servers."""
    pair = view.generator.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda server: server.load)


def rendezvous(candidates: list[servers.Server], view: View) -> servers.Server:
    """Take the first server in rendezvous order whose load is in bounds."""
    return _first_in_bounds(candidates, view, 0.0)


def prefix_aware(
    candidates: list[servers.Server], view: View
) -> servers.Server:
    """Keep equal prompts together, and spread what has no prompt.

    Requests without a prompt go to the less loaded of two servers.
    """
    if view.call.prefix:
        return _first_in_bounds(candidates, view, FULL_FROM)
    return two_choices(candidates, view)


POLICIES: dict[str, Policy] = {
    'round-robin': round_robin,
    'least-inflight': least_inflight,
    'two-choices': two_choices,
    'rendezvous': rendezvous,
    'prefix-aware': prefix_aware,
}


def hash_of(*parts: str) -> int:
    """Hash text the same way on every node.

    :param parts: text to hash.
    :return: 63 bits.
    """
    return xxhash.xxh3_64_intdigest('\0'.join(parts).encode()) >> 1


def prefix_of(prompt: str) -> int:
    """Hash the head of a prompt, which decides where it goes."""
    return hash_of(prompt[:PREFIX_CHARACTERS])


def first(
    names: collections.abc.Iterable[str], count: int, *key: str
) -> list[str]:
    """Choose the same few names on every node, by rendezvous hashing.

    :param names: candidates; one that stands twice counts once.
    :param count: most names to choose.
    :param key: what they are chosen for.
    :return: the first in rendezvous order.
    """
    order = sorted(
        set(names), key=lambda name: hash_of(*key, name), reverse=True
    )
    return order[:count]


def order(
    candidates: list[servers.Server], prefix: int
) -> list[servers.Server]:
    """Order servers for a prompt, the same way on every node.

    :param prefix: hash of the prompt's head.
    """
    return sorted(
        candidates,
        key=lambda server: hash_of(str(prefix), server.host),
        reverse=True,
    )


def _first_in_bounds(
    candidates: list[servers.Server], view: View, least: float
) -> servers.Server:
    """Take the first server in rendezvous order whose load is in bounds.

    :param least: load up to which no server is out of bounds.
    """
    ordered = order(candidates, view.call.prefix)
    bound = max(least, _bound(candidates))
    for server in ordered:
        if server.inflight + server.others <= bound * server.slots:
            return server
    return ordered[0]


def _bound(candidates: list[servers.Server]) -> float:
    slots = sum(server.slots for server in candidates)
    used = sum(server.inflight + server.others for server in candidates)
    return LOAD_BOUND * (used + LOAD_SLACK) / max(1, slots)
