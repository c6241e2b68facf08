"""Nodes of an experiment."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states
    from teaselbridge.experiment import servers


class Node:
    """One node and what it performs.

    :param name: name of the node.
    :param state: what it knows.
    """

    def __init__(self, *, name: str, state: states.State) -> None:
        self.name = name
        self.state = state
        self.alive = True
        self.watching = False
        self.running: dict[int, tuple[servers.Server, servers.Running]] = {}
