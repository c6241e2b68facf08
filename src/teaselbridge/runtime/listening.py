"""Opens listening sockets.

The sockets are opened before the rest of the program is imported, so that
connections to a starting node wait in the backlog instead of being refused.
"""

from __future__ import annotations

import socket
import typing

from teaselbridge.settings import load

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model

LISTEN_BACKLOG = 2_048
# The kernel closes a connection whose data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 20_000


def listen(address: str) -> socket.socket:
    """Open a socket that listens on an address.

    :param address: ``ip:port``.
    :raises OSError: the address is in use or not available.
    """
    host, port = load.split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


def list_auxiliary_addresses(
    settings: model.Settings, site: model.Site
) -> tuple[str, ...]:
    """List the addresses for readiness, address lists and operators.

    Empty and repeated addresses are left out.
    """
    candidates = (site.ready, site.directory, settings.listen.admin)
    return tuple(dict.fromkeys(address for address in candidates if address))


def listen_all(
    addresses: collections.abc.Iterable[str],
) -> dict[str, socket.socket]:
    """Open one socket for each distinct address.

    :param addresses: ``ip:port`` each; empty ones are left out.
    :return: the sockets by address.
    :raises OSError: an address is in use or not available.
    """
    wanted = dict.fromkeys(address for address in addresses if address)
    return {address: listen(address) for address in wanted}
