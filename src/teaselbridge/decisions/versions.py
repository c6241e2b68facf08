"""Which version of a pool serves a request."""

from __future__ import annotations

import typing

from teaselbridge.decisions import placement

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

HASH_SPAN = 1 << 63


def narrow(
    state: states.State,
    call: calls.Call,
    usable: list[servers.Server],
) -> list[servers.Server]:
    """Keep the servers of the version that a request goes to.

    A version without a usable server gives its share to the others.

    :param usable: servers that may get new work.
    :return: servers of one version.
    """
    pool = state.index.pool(call.route.pool)
    if pool is None:
        return usable
    running = {server.version for server in usable}
    shares = [item for item in pool.versions if item.name in running]
    version = pick(shares, call.key.id)
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
