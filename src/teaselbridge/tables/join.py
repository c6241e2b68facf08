"""Look-ups in the joined tables."""

from __future__ import annotations

import typing

from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc


class Index:
    """The tables of one generation, joined by name for look-ups.

    :param configuration: the document in force.
    """

    def __init__(self, *, configuration: model.Configuration) -> None:
        tables = configuration.tables
        self._configuration = configuration
        self._routes = {route.name: route for route in tables.routes}
        self._pools = {pool.name: pool for pool in tables.pools}
        self._models = {
            route.match.model: route
            for route in tables.routes
            if route.match.model
        }
        self._paths = sorted(
            (route for route in tables.routes if route.match.path),
            key=lambda route: len(route.match.path),
            reverse=True,
        )
        self._by_host: dict[str, list[model.Route]] = {}
        for route in self._paths:
            self._by_host.setdefault(route.match.host, []).append(route)
        self._keys = {
            key: row
            for row in tables.workspaces
            for key in (row.key, *row.keys)
            if key
        }
        self._workspaces = {row.name: row for row in tables.workspaces}

    @property
    def configuration(self) -> model.Configuration:
        """The document that this index was built from."""
        return self._configuration

    @property
    def generation(self) -> int:
        """Generation of the document."""
        return self._configuration.generation

    @property
    def pools(self) -> collections.abc.Iterable[model.Pool]:
        """All pools."""
        return self._pools.values()

    def route(self, name: str) -> model.Route | None:
        """Find a route by name."""
        return self._routes.get(name)

    def pool(self, name: str) -> model.Pool | None:
        """Find a pool by name."""
        return self._pools.get(name)

    def route_of_model(self, name: str) -> model.Route | None:
        """Find the route that serves a model."""
        return self._models.get(name)

    def route_of_path(self, path: str) -> model.Route | None:
        """Find the route with the longest prefix of whole path segments."""
        for route in self._paths:
            prefix = route.match.path.rstrip('/')
            if path == prefix or path.startswith(prefix + '/'):
                return route
        return None

    def route_of_host(self, host: str, path: str) -> model.Route | None:
        """Find the route of a host with the longest prefix of a path.

        :param host: host name that the caller asked for.
        :param path: path as it was sent; prefixes end with a slash.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.match.path):
                return route
        return None

    def workspace(self, name: str) -> model.Workspace | None:
        """Find a workspace by name."""
        return self._workspaces.get(name)

    def workspace_of_key(self, key: str) -> model.Workspace | None:
        """Find who a bearer key belongs to.

        :param key: key that the caller sent.
        :return: the workspace, none for a wrong key. Without a table of
            workspaces anyone may call, in one common workspace.
        """
        if not self._workspaces:
            return model.Workspace(name='common', key='')
        return self._keys.get(key)

    def weight_of(self, workspace: str) -> int:
        """Weight of a workspace in fair shares."""
        row = self._workspaces.get(workspace)
        return 1 if row is None else row.weight
