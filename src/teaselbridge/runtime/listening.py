"""Listening sockets.

They are opened before the rest of the program is imported: callers who come
to a node that is just starting then wait for it, instead of being refused.
"""

from __future__ import annotations

import socket
import typing

from teaselbridge.settings import load

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model

BACKLOG = 1_024
# Unacknowledged data may be on its way for so long.
USER_TIMEOUT_MS = 20_000


def listen(address: str) -> socket.socket:
    """Listen on an address.

    :param address: ``ip:port``.
    :raises OSError: the address is not free.
    """
    host, port = load.split(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener


def entrances(settings: model.Settings, site: model.Site) -> tuple[str, ...]:
    """List where others than callers with work come to, each address once."""
    found = (site.ready, site.directory, settings.listen.admin)
    return tuple(dict.fromkeys(address for address in found if address))


def listen_all(
    addresses: collections.abc.Iterable[str],
) -> dict[str, socket.socket]:
    """Listen on several addresses, once on each; empty ones are left out.

    :raises OSError: an address is not free.
    """
    wanted = dict.fromkeys(address for address in addresses if address)
    return {address: listen(address) for address in wanted}
