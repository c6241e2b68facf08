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
CANARY_SHARE_THRESHOLD = 0.2
CANARY_NODES = 2
MAX_CANARY_NODE_SHARE = 0.5


def filter_by_version(
    state: states.State,
    request: requests.Request,
    usable: list[servers.Server],
) -> list[servers.Server]:
    """Return the servers of the version that is chosen for a request.

    A version under test never gets more than its share: a request that the
    old version cannot take waits for it. What the new version has no free
    slot for goes to the old one, as does the retry of a request that failed
    on the new one.

    :param usable: servers that may get new work.
    :return: servers of one version, or of all versions but the new one.
    """
    pool = state.index.pool(request.call.route.pool)
    if pool is None:
        return usable
    if sum(item.weight > 0 for item in pool.versions) > 1:
        return _filter_by_weight(pool, request, usable)
    move = state.moves.get(pool.name)
    if move is None:
        return _filter_most_common(state, pool.name, usable)
    new = [server for server in usable if server.version == move.new]
    if move.old == move.new:
        return new
    old = [
        server for server in usable if state.moves.is_old(move, server.version)
    ]
    share = _local_share(state, move)
    if move.stage is messages.Stage.DONE:
        return (new or old) if share else (old or new)
    if share >= 1:
        return new
    has_failed = request.failed_version == move.new
    if has_failed or _hash_request(request.call.key.id) < 1 - share:
        return old
    nodes = active.count_nodes(state)
    return [server for server in new if server.has_free_slot(nodes)] or old


def _filter_by_weight(
    pool: model.Pool,
    request: requests.Request,
    usable: list[servers.Server],
) -> list[servers.Server]:
    """Return the servers of a version chosen by the weights of the pool.

    A request that failed on a version is retried on another one.
    """
    running = {server.version for server in usable}
    shares = [item for item in pool.versions if item.name in running]
    untried = [item for item in shares if item.name != request.failed_version]
    version = choose_version(untried, request.call.key.id)
    if version is None:
        version = choose_version(shares, request.call.key.id)
    return [server for server in usable if server.version == version]


def _filter_most_common(
    state: states.State, pool: str, usable: list[servers.Server]
) -> list[servers.Server]:
    """Return the servers of the version that most servers run.

    That is the old version during the early steps of a move that this node
    does not know yet, when the choice matters. Servers that are not usable
    count as well; of two equally common versions the older one is chosen.
    """
    staying = state.servers.staying(pool)
    if len({server.version for server in staying}) < 2:
        return usable
    staying.sort(key=lambda server: server.row.born)
    running = collections.Counter(
        server.version for server in staying if server.version
    )
    ((common, _),) = running.most_common(1)
    return [server for server in usable if server.version == common]


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
    point = _hash_request(request) * total
    for item in shares:
        point -= item.weight
        if point < 0:
            return item.name
    return shares[-1].name


def _hash_request(request: str) -> float:
    """Return a number from 0 to 1 that is the same for each attempt.

    :param request: id of the request.
    """
    return placement.hash_text('version', request) / HASH_SPAN


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
