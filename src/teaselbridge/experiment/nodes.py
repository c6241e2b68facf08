"""Simulated nodes."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states
    from teaselbridge.experiment import servers


class SimulatedNode:
    """A simulated node: state of its reducer and attempts in progress.

    :param name: name of the node.
    :param state: state of the reducer.
    """

    def __init__(self, *, name: str, state: states.State) -> None:
        self.name = name
        self.state = state
        self.alive = True
        # Whether the node watches the configuration.
        self.is_watching = False
        # Latest attempt of each request, by handle of the request.
        self.running: dict[
            int, tuple[servers.SimulatedServer, servers.Attempt]
        ] = {}
