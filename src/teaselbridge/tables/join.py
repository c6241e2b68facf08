"""Index of the tables of a configuration, for lookups."""

from __future__ import annotations

import typing

from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc


class Index:
    """Index of the tables of one configuration generation.

    :param configuration: configuration to index.
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
        """The configuration that this index was built from."""
        return self._configuration

    @property
    def generation(self) -> int:
        """Generation of the configuration."""
        return self._configuration.generation

    @property
    def pools(self) -> collections.abc.Iterable[model.Pool]:
        """All pools."""
        return self._pools.values()

    def route(self, name: str) -> model.Route | None:
        """Return the route with a name, if any."""
        return self._routes.get(name)

    def pool(self, name: str) -> model.Pool | None:
        """Return the pool with a name, if any."""
        return self._pools.get(name)

    def find_route_by_model(self, name: str) -> model.Route | None:
        """Return the route of a model, if any."""
        return self._models.get(name)

    def find_route_by_path(self, path: str) -> model.Route | None:
        """Return the route with the longest matching path prefix, if any.

        A prefix matches whole path segments only.
        """
        for route in self._paths:
            prefix = route.match.path.rstrip('/')
            if path == prefix or path.startswith(prefix + '/'):
                return route
        return None

    def find_route_by_host(self, host: str, path: str) -> model.Route | None:
        """Return the route of a host name with the longest matching prefix.

        :param host: host name that the caller requested.
        :param path: path as the caller sent it; the prefixes of routes end
            with a slash.
        :return: the route, or none if no route matches.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.match.path):
                return route
        return None

    def workspace(self, name: str) -> model.Workspace | None:
        """Return the workspace with a name, if any."""
        return self._workspaces.get(name)

    def find_rate(self, workspace: str) -> model.Rate | None:
        """Return the rate limit of a workspace, none where it has none."""
        row = self._workspaces.get(workspace)
        return None if row is None else row.rate

    def find_workspace_by_key(self, key: str) -> model.Workspace | None:
        """Return the workspace that a bearer key belongs to.

        :param key: key that the caller sent.
        :return: the workspace, or none for an unknown key. If no workspaces
            are configured, every caller belongs to one common workspace.
        """
        if not self._workspaces:
            return model.Workspace(name='common', key='')
        return self._keys.get(key)

    def get_workspace_weight(self, workspace: str) -> int:
        """Return the weight of a workspace in fair sharing.

        :return: the weight, 1 for an unknown workspace.
        """
        row = self._workspaces.get(workspace)
        return 1 if row is None else row.weight
