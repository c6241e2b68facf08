"""Which version of a pool serves a request."""

from __future__ import annotations

import collections
import typing

from teaselbridge.decisions import placement
from teaselbridge.peers import messages
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

HASH_SPAN = 1 << 63
PARTS = 10_000
TRIED_BELOW = 0.2
TRIAL_NODES = 2
TRIAL_MOST = 0.5


def narrow(
    state: states.State,
    request: requests.Request,
    usable: list[servers.Server],
) -> list[servers.Server]:
    """Keep the servers of the version that a request goes to.

    A version without a usable server gives its share to the others, but a
    version that is being tried or was taken back never gets more. What
    failed on a version that is being tried goes back to the old one.

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
        item for item in _shares(state, pool, running) if item.name in running
    ]
    others = [item for item in shares if item.name != request.failed_on]
    version = pick(others, request.call.key.id)
    if version is None:
        version = pick(shares, request.call.key.id)
    if version is None:
        return []
    return [server for server in usable if server.version == version]


def pick(shares: list[model.Version], request: str) -> str | None:
    """Choose a version by weight, the same one for each try of a request.

    :param shares: versions with their weights.
    :param request: id of the request.
    :return: name of the version, none where no weight is above 0.
    """
    total = sum(item.weight for item in shares)
    if not total:
        return None
    point = placement.hash_of('version', request) / HASH_SPAN * total
    for item in shares:
        point -= item.weight
        if point < 0:
            return item.name
    return shares[-1].name


def _shares(
    state: states.State,
    pool: model.Pool,
    running: collections.Counter[str],
) -> list[model.Version]:
    """Give each version's share at this moment.

    A node that does not know yet how far a move has come keeps to the
    version that most servers run, which is the old one while it matters.
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
    new = round(PARTS * _local_share(state, move))
    return [
        model.Version(name=move.old, weight=PARTS - new),
        model.Version(name=move.new, weight=new),
    ]


def _local_share(state: states.State, move: messages.Move) -> float:
    """Give this node's own share for the new version.

    Small shares are tried at two nodes instead of all: evidence that is
    gathered in few places suffices after fewer requests.
    """
    share = state.moves.share(move)
    if not 0 < share < TRIED_BELOW:
        return share
    me = state.options.me.name
    names = state.membership.workers
    if me not in placement.first(names, TRIAL_NODES, 'trial', move.pool):
        return 0.0
    return min(TRIAL_MOST, share * len(names) / TRIAL_NODES)
