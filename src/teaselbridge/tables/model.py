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
    """What the backend servers of a pool speak.

    Requests to a relayed pool are passed on as they came, and each of their
    sendings has an id of its own, so that no claim is kept for them.
    """

    ENGINE = 'engine'
    SERVICE = 'service'
    RELAYED = 'relayed'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Match:
    """Which requests a route takes.

    :param model: model name in a completion request, for engines.
    :param path: path prefix, for plain services and relayed pools.
    :param host: host name that the caller must ask for, empty for any.
    """

    model: str = ''
    path: str = ''
    host: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolShare:
    """A pool's part in the traffic of a route.

    :param pool: name of the pool.
    :param weight: share relative to the others.
    """

    pool: str
    weight: Count


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
    :param shares: pools that share its traffic by weight, none for one.
    :param attempts: most backend servers that may run one request.
    :param public: whether no workspace key is asked for.
    :param streaming: whether answers are streams of events.
    :param resumable: whether another server can go on with a stream.
    :param goal_ms: time within which an answer has its full worth, 0 for
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

    :param slots: requests that one runs at a time.
    :param cache_tokens: tokens that the KV cache of one holds.
    :param copied_per_ms: cached tokens that one gives to another in a
        millisecond, 0 where none does.
    """

    slots: Positive = 64
    cache_tokens: Positive = 500_000
    copied_per_ms: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZonePrice:
    """Price of one backend server in an availability zone, per second."""

    zone: str
    price: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scaling:
    """How many backend servers of a pool may be ordered.

    :param least: fewest in each availability zone.
    :param most: most in each availability zone.
    :param boot_ms: time from an order until a server serves.
    :param reclaimable_price: price of a reclaimable server as a share of
        the price of the others.
    :param prices: price in each availability zone.
    """

    least: Count = 0
    most: Positive = 1
    boot_ms: Count = 4_000
    reclaimable_price: float = 1.0
    prices: tuple[ZonePrice, ...] = ()


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
    :param engine: sizes of its model engines, none for plain services.
    :param scaling: how many servers may be ordered, none for none.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rate:
    """What a workspace may ask for, over all nodes together.

    :param per_s: refill a second.
    :param burst: most that may be saved up.
    :param in_tokens: whether tokens are counted instead of requests.
    :param plain_tokens: cost of a request that tells no token counts.
    """

    per_s: float
    burst: float
    in_tokens: bool = False
    plain_tokens: Count = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer that shares the system.

    :param name: unique name.
    :param key: bearer key of its callers.
    :param weight: share of a contended route, relative to the others.
    :param keys: further keys of its callers.
    :param priority: rank of its requests, none for that of the route.
    :param rate: what it may ask for, none for no limit.
    """

    name: Name
    key: str
    weight: Positive = 1
    keys: tuple[str, ...] = ()
    priority: Priority | None = None
    rate: Rate | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may stay idle.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param idle_ms: how long a connection may stay idle.
    """

    header_bytes: Positive = 16_384
    body_bytes: Positive = 4_194_304
    idle_ms: Millis = 15_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tables:
    """What an operator writes: both tables, and who may call.

    :param routes: which work goes where.
    :param pools: backend servers.
    :param workspaces: who may call; none means that anyone may.
    :param limits: what callers may send.
    """

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()


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
