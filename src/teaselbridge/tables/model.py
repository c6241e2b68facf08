"""Rows of the operators' tables, and the configuration that holds them.

Nodes send these types to each other, so that they hold any name that an
operator may write; :mod:`teaselbridge.tables.check` checks those of the
project's own tables.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec

Name: typing.TypeAlias = str
Millis = typing.Annotated[int, msgspec.Meta(ge=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]


class Kind(enum.Enum):
    """Protocol of the backend servers of a pool.

    Requests to a relayed pool are forwarded unchanged. Each submission of
    such a request has an id of its own, so that the ledger holds no claim
    for it.
    """

    ENGINE = 'engine'
    SERVICE = 'service'
    RELAYED = 'relayed'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Match:
    """Criteria for the requests of a route.

    :param model: model name in a completion request, for engines.
    :param path: path prefix, for plain services and relayed pools.
    :param host: host name that the caller must request, empty for any.
    """

    model: str = ''
    path: str = ''
    host: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolShare:
    """A pool's share of the traffic of a route.

    :param pool: name of the pool.
    :param weight: weight relative to the other pools.
    """

    pool: str
    weight: Count


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Assignment of matching requests to pools, with their limits.

    :param name: unique name of the route.
    :param match: criteria for its requests.
    :param pool: name of the pool that serves it.
    :param priority: priority of its requests, 0 for the highest, 9 for the
        lowest.
    :param deadline_ms: longest time until a request's deadline, also the
        default.
    :param idempotent: whether a request may run more than once.
    :param first_token_ms: target time to the first token.
    :param between_tokens_ms: target time between two tokens.
    :param workspace_limit: concurrent requests of one workspace per node.
    :param retry_share: retries allowed as a share of first attempts.
    :param window_ms: how long the outcome of a non-idempotent request is
        kept.
    :param shares: pools that share the traffic by weight, empty if there is
        only one.
    :param attempts: largest number of backend servers that may run one
        request.
    :param public: whether requests need no workspace key.
    :param streaming: whether answers are streams of server-sent events.
    :param resumable: whether another server can resume a stream.
    :param goal_ms: time within which an answer has its full value, 0 if
        unknown.
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
    shares: tuple[PoolShare, ...] = ()
    attempts: Positive = 6
    public: bool = False
    streaming: bool = False
    resumable: bool = False
    goal_ms: Count = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """Sizes of the model engines of a pool.

    :param slots: requests that one engine runs concurrently.
    :param cache_tokens: capacity of one engine's KV cache, in tokens.
    :param copied_per_ms: cached tokens that an engine copies to another per
        millisecond, 0 if it copies none.
    """

    slots: Positive = 64
    cache_tokens: Positive = 500_000
    copied_per_ms: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZonePrice:
    """Price of one backend server in an availability zone.

    :param zone: name of the availability zone.
    :param price: price per second.
    """

    zone: str
    price: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scaling:
    """Autoscaling limits and prices of a pool.

    :param least: fewest backend servers in each availability zone.
    :param most: most backend servers in each availability zone.
    :param boot_ms: time from the order of a server until it serves.
    :param reclaimable_price: price of a reclaimable server, as a share of
        the price of an on-demand one.
    :param prices: price of an on-demand server in each availability zone.
    """

    least: Count = 0
    most: Positive = 1
    boot_ms: Count = 4_000
    reclaimable_price: float = 1.0
    prices: tuple[ZonePrice, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Version:
    """One version of a pool's model or service.

    :param name: name of the version.
    :param weight: desired share of traffic, relative to the other versions.
    """

    name: Name
    weight: Count = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """A named pool of backend servers.

    :param name: unique name of the pool.
    :param kind: protocol of its servers.
    :param versions: versions to serve, with their weights.
    :param zones: availability zones to use.
    :param least: fewest hosts.
    :param most: most hosts.
    :param on_demand: number of hosts that must not be reclaimable.
    :param classes: host classes to use.
    :param checks_fencing: whether its servers refuse old fencing tokens.
    :param move_by_ms: wall-clock milliseconds by which a rollout must be
        done, 0 for the default duration.
    :param engine: sizes of its model engines, none for plain services.
    :param scaling: autoscaling limits and prices, none if no servers may be
        ordered.
    :param cold_per_s: requests per second that one of its servers tolerates
        from all nodes together while it is cold, 0 for any number.
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
    engine: Engine | None = None
    scaling: Scaling | None = None
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rate:
    """Rate limit of a workspace over all nodes, as a token bucket.

    :param per_s: refill per second.
    :param burst: capacity of the bucket.
    :param in_tokens: whether model tokens are counted instead of requests.
    :param plain_tokens: cost of a request that states no token counts.
    """

    per_s: float
    burst: float
    in_tokens: bool = False
    plain_tokens: Count = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer that shares the system with others.

    :param name: unique name of the workspace.
    :param key: bearer key of its callers.
    :param weight: weight in fair sharing, relative to other workspaces.
    :param keys: additional bearer keys of its callers.
    :param priority: priority of its requests, none for that of the route.
    :param rate: rate limit, none for no limit.
    """

    name: Name
    key: str
    weight: Positive = 1
    keys: tuple[str, ...] = ()
    priority: Priority | None = None
    rate: Rate | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits of the requests and connections of callers.

    :param header_bytes: largest request line and headers.
    :param body_bytes: largest request body.
    :param idle_ms: longest time that a connection may be idle.
    """

    header_bytes: Positive = 16_384
    body_bytes: Positive = 4_194_304
    idle_ms: Millis = 15_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tables:
    """The tables that an operator writes.

    :param routes: assignment of requests to pools.
    :param pools: pools of backend servers.
    :param workspaces: customers that may call; if empty, anyone may.
    :param limits: limits of callers' requests and connections.
    """

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()


MAX_WRITERS = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """The configuration document in the key-value store.

    :param generation: number that grows by one with each accepted change.
    :param writer: token of the latest write.
    :param writers: tokens of the latest writes, newest first; a writer that
        got no response finds out by them whether its write succeeded.
    :param tables: active tables.
    """

    generation: int = 0
    writer: str = ''
    writers: tuple[str, ...] = ()
    tables: Tables = Tables()
