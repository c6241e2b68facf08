"""Choice of the version of a pool that serves a request."""

from __future__ import annotations

import collections
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import placement
from teaselbridge.peers import messages
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

HASH_SPAN = 1 << 63
WEIGHT_SCALE = 10_000
CANARY_SHARE_THRESHOLD = 0.2
CANARY_NODES = 2
MAX_CANARY_NODE_SHARE = 0.5


def filter_by_version(
    state: states.State,
    request: requests.Request,
    usable: list[servers.Server],
) -> list[servers.Server]:
    """Return the servers of the version that is chosen for a request.

    The share of a version without a usable server goes to the others. A
    version with weight 0 gets none of it: one that was rolled back, or a
    canary version on a node that does not try it. A request that failed on
    a canary version is retried on the old one.

    :param usable: servers that may get new work.
    :return: servers of one version.
    """
    pool = state.index.pool(request.call.route.pool)
    if pool is None:
        return usable
    running = collections.Counter(
        server.version for server in usable if server.version
    )
    shares = [
        item
        for item in _weighted_versions(state, pool, running)
        if item.name in running
    ]
    untried = [item for item in shares if item.name != request.failed_version]
    version = choose_version(untried, request.call.key.id)
    if version is None:
        version = choose_version(shares, request.call.key.id)
    if version is None:
        return []
    return [server for server in usable if server.version == version]


def choose_version(shares: list[model.Version], request: str) -> str | None:
    """Choose a version by weighted hashing of the request's id.

    With the same weights, each attempt of a request gets the same version.

    :param shares: versions with their weights.
    :param request: id of the request.
    :return: name of the version, none if no weight is above 0.
    """
    total = sum(item.weight for item in shares)
    if not total:
        return None
    point = placement.hash_text('version', request) / HASH_SPAN * total
    for item in shares:
        point -= item.weight
        if point < 0:
            return item.name
    return shares[-1].name


def _weighted_versions(
    state: states.State,
    pool: model.Pool,
    running: collections.Counter[str],
) -> list[model.Version]:
    """Return the current weight of each version.

    A node that does not know the state of a move yet uses the version that
    most servers run. That is the old version during the early steps, when
    the choice matters.
    """
    if sum(item.weight > 0 for item in pool.versions) > 1:
        return list(pool.versions)
    move = state.moves.get(pool.name)
    if move is None:
        return [
            model.Version(name=name, weight=1)
            for name, _ in running.most_common(1)
        ]
    if move.old == move.new:
        return [model.Version(name=move.new, weight=1)]
    if move.stage is messages.Stage.DONE and move.new not in running:
        return [model.Version(name=move.old, weight=1)]
    new = round(WEIGHT_SCALE * _local_share(state, move))
    return [
        model.Version(name=move.old, weight=WEIGHT_SCALE - new),
        model.Version(name=move.new, weight=new),
    ]


def _local_share(state: states.State, move: messages.Move) -> float:
    """Return the share of this node's requests that use the new version.

    Small shares are served by two canary nodes instead of all nodes,
    because outcomes that are collected on few nodes are conclusive after
    fewer requests.
    """
    share = state.moves.share(move)
    if not 0 < share < CANARY_SHARE_THRESHOLD:
        return share
    me = state.options.me.name
    names = active.list_names(state)
    if me not in placement.first(names, CANARY_NODES, 'trial', move.pool):
        return 0.0
    return min(MAX_CANARY_NODE_SHARE, share * len(names) / CANARY_NODES)
