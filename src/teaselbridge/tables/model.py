"""Rows of the operators' two tables."""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec

Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]*$')]
Millis = typing.Annotated[int, msgspec.Meta(ge=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]


class Kind(enum.Enum):
    """What the backend servers of a pool speak."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Match:
    """Which requests a route takes.

    :param model: model name in a completion request, for engines.
    :param path: path prefix, for plain services.
    """

    model: str = ''
    path: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Which work goes where, and at what priority.

    :param name: unique name.
    :param match: which requests it takes.
    :param pool: name of the pool that serves it.
    :param priority: 0 goes first, 9 goes last.
    :param deadline_ms: longest deadline, also the default.
    :param idempotent: whether a request may run more than once.
    :param first_token_ms: target for the first token.
    :param between_tokens_ms: target between two tokens.
    :param workspace_limit: requests of one workspace at one node at a time.
    :param retry_share: retries allowed as a share of first attempts.
    :param window_ms: how long the outcome of an order is kept.
    """

    name: Name
    match: Match
    pool: Name
    priority: Priority = 5
    deadline_ms: Millis = 30_000
    idempotent: bool = True
    first_token_ms: Millis = 500
    between_tokens_ms: Millis = 26
    workspace_limit: Positive = 64
    retry_share: Share = 0.2
    window_ms: Millis = 600_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Version:
    """One version in a pool.

    :param name: version of the model or service.
    :param weight: wanted share of traffic, relative to the others.
    """

    name: Name
    weight: Count = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """A named pool of backend servers.

    :param name: unique name.
    :param kind: what its servers speak.
    :param versions: versions in service with their weights.
    :param zones: availability zones to use.
    :param least: fewest hosts.
    :param most: most hosts.
    :param on_demand: hosts that must not be reclaimable.
    :param classes: host classes to use.
    :param checks_fencing: whether its servers refuse old fencing numbers.
    :param move_by_ms: wall time by which a version move must be done.
    """

    name: Name
    kind: Kind
    versions: tuple[Version, ...]
    zones: tuple[Name, ...]
    least: Positive = 1
    most: Positive = 16
    on_demand: Count = 0
    classes: tuple[Name, ...] = ('standard',)
    checks_fencing: bool = False
    move_by_ms: Count = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer that shares the system.

    :param name: unique name.
    :param key: bearer key of its callers.
    :param weight: share of a contended route, relative to the others.
    """

    name: Name
    key: str
    weight: Positive = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tables:
    """What an operator writes: both tables, and who may call.

    :param routes: which work goes where.
    :param pools: backend servers.
    :param workspaces: who may call; none means that anyone may.
    """

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()


WRITERS = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """The single document in the key-value service.

    :param generation: grows by one with each accepted change.
    :param writer: token of the write.
    :param writers: tokens of the last writes, the newest first, to settle
        answers that were lost.
    :param tables: what is in force.
    """

    generation: int = 0
    writer: str = ''
    writers: tuple[str, ...] = ()
    tables: Tables = Tables()
