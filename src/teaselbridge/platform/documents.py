"""Decoding of the store's entries into rows of the tables and servers.

Field names in this module are the wire's. Entries of other writers may lack
fields or hold anything; they raise :class:`DocumentError` and name nothing.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge import errors
from teaselbridge.tables import model

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'
ROLLOUT_PREFIX = 'op/rollout/'
ROLLOUT_STATUS_PREFIX = 'status/rollout/'
ROUTE_KINDS = frozenset({'idempotent', 'non_idempotent', 'streaming'})
STATES = {
    'ready': events.HostState.LIVE,
    'draining': events.HostState.LEAVING,
}
SOURCE = 'store'


class _Backend(msgspec.Struct, frozen=True, rename='kebab'):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    goal_ms: float = 0
    priority: int = 0
    service: str = ''
    backends: tuple[_Backend, ...] = ()
    attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, frozen=True, rename='kebab'):
    slots: int = 64
    kv_capacity: int = 500_000
    kv_token_bytes: float = 0
    # Between two servers, not that of a host.
    link_mbps: float = 0


class _Scaling(msgspec.Struct, frozen=True, rename='kebab'):
    min_replicas: int = 0
    max_replicas: int = 1
    boot_s: float = 4
    spot_price: float = 1
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Tenant(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = ''
    plain_tokens: int = 0
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct, frozen=True, rename='kebab'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct, frozen=True, rename='kebab'):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Rollout(msgspec.Struct, frozen=True, rename='kebab'):
    service: str
    # Version that the service's servers shall have, not a server.
    target: str
    duration_s: float


class _RolloutStatus(msgspec.Struct, frozen=True, rename='kebab'):
    state: str
    target: str


class _Server(msgspec.Struct, frozen=True, rename='kebab'):
    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: int = 0
    # Unix milliseconds of the server's start: tells one life from the next.
    born: int = 0
    # Whether the platform may take it back.
    spot: bool = False
    # The wire spells this one with an underscore.
    leaves_ms: float | None = msgspec.field(default=None, name='leaves_ms')


# Of one megabit a second.
BYTES_PER_MS = 125.0

T = typing.TypeVar('T')


def configuration(data: bytes) -> model.Configuration:
    """Decode the operators' configuration.

    :raises errors.DocumentError: it cannot be decoded.
    """
    found = _decode(data, _Configuration)
    return model.Configuration(
        generation=found.version,
        tables=model.Tables(
            routes=tuple(_route(item) for item in found.routes),
            pools=tuple(_pool(item) for item in found.services),
            workspaces=tuple(_workspace(item) for item in found.tenants),
            limits=model.CallerLimits(
                header_bytes=max(1, found.limits.max_header_bytes),
                body_bytes=max(1, found.limits.max_body_bytes),
                idle_ms=max(1, round(found.limits.idle_timeout_ms)),
            ),
        ),
    )


def server(key: str, data: bytes) -> events.HostRow:
    """Decode the entry of a backend server.

    :param key: key of the entry, which ends with the server's id.
    :raises errors.DocumentError: it names no server to use.
    """
    found = _decode(data, _Server)
    state = STATES.get(found.state)
    if state is None:
        raise _error(f'no such state: `{found.state}`')
    host, _, port = found.address.rpartition(':')
    if not host or not port.isdigit() or not found.service:
        raise _error(f'no address: `{found.address}`')
    instance = key.removeprefix(SERVERS_PREFIX)
    return events.HostRow(
        host=f'{instance}@{found.born}',
        address=found.address,
        zone=found.zone,
        pool=found.service,
        version=found.version,
        reclaimable=found.spot,
        state=state,
        instance=instance,
        slots=max(0, found.slots),
        left_ms=round(found.leaves_ms or 0),
    )


def rollout(data: bytes, revision: int) -> events.RolloutSeen:
    """Decode the order to move a pool to another version.

    :param revision: revision of the entry, which numbers the move.
    :raises errors.DocumentError: it cannot be decoded.
    """
    found = _decode(data, _Rollout)
    return events.RolloutSeen(
        pool=found.service,
        version=found.target,
        duration_ms=max(0, round(1000 * found.duration_s)),
        number=revision,
    )


def rollout_status(key: str, data: bytes) -> events.RolloutEnded | None:
    """Decode what was told of a move.

    :param key: key of the entry, which ends with the pool's name.
    :return: none where the move goes on.
    :raises errors.DocumentError: it cannot be decoded.
    """
    found = _decode(data, _RolloutStatus)
    if found.state not in ('complete', 'reverted'):
        return None
    return events.RolloutEnded(
        pool=key.removeprefix(ROLLOUT_STATUS_PREFIX),
        version=found.target,
        done=found.state == 'complete',
    )


def rollout_status_key(pool: str) -> str:
    """Name the entry that tells operators of a pool's move."""
    return ROLLOUT_STATUS_PREFIX + pool


ROLLOUT_STATES = {
    effects.MoveState.RUNNING: 'running',
    effects.MoveState.DONE: 'complete',
    effects.MoveState.UNDONE: 'reverted',
}


def encode_rollout_status(state: effects.MoveState, version: str) -> bytes:
    """Encode what operators are told of a move."""
    return msgspec.json.encode(
        _RolloutStatus(state=ROLLOUT_STATES[state], target=version)
    )


def _route(found: _Route) -> model.Route:
    if found.route_kind not in ROUTE_KINDS:
        raise _error(f'no such kind of route: `{found.route_kind}`')
    streaming = found.route_kind == 'streaming'
    idempotent = found.route_kind == 'idempotent'
    shares = tuple(
        model.PoolShare(pool=item.service, weight=round(item.weight))
        for item in found.backends
    )
    pool = found.service
    if not pool and shares:
        pool = shares[0].pool
    return model.Route(
        name=found.name,
        match=model.Match(path=found.path_prefix, host=found.host.lower()),
        pool=pool,
        priority=min(9, max(0, found.priority)),
        deadline_ms=max(1, round(found.timeout_ms)),
        idempotent=idempotent or (streaming and found.resumable),
        shares=shares,
        attempts=max(1, found.attempts),
        public=found.public,
        streaming=streaming,
        resumable=streaming and found.resumable,
        goal_ms=max(0, round(found.goal_ms)),
    )


def _copied_per_ms(found: _Engine) -> float:
    """Give the cached tokens that go to another server in a millisecond."""
    if found.kv_token_bytes <= 0:
        return 0.0
    bytes_per_ms = max(0.0, found.link_mbps) * BYTES_PER_MS
    return bytes_per_ms / found.kv_token_bytes


def _pool(found: _Service) -> model.Pool:
    engine = None
    if found.engine is not None:
        engine = model.Engine(
            slots=max(1, found.engine.slots),
            cache_tokens=max(1, found.engine.kv_capacity),
            copied_per_ms=_copied_per_ms(found.engine),
        )
    scaling = None
    if found.scaling is not None:
        scaling = model.Scaling(
            least=max(0, found.scaling.min_replicas),
            most=max(1, found.scaling.max_replicas),
            boot_ms=round(found.scaling.boot_s * 1000),
            reclaimable_price=found.scaling.spot_price,
            prices=tuple(
                model.ZonePrice(zone=zone, price=price)
                for zone, price in found.scaling.zone_prices.items()
            ),
        )
    return model.Pool(
        name=found.name,
        kind=model.Kind.RELAYED,
        versions=(),
        zones=(),
        engine=engine,
        scaling=scaling,
    )


def _workspace(found: _Tenant) -> model.Workspace:
    rate = None
    if found.rate_per_s > 0:
        rate = model.Rate(
            per_s=found.rate_per_s,
            burst=found.burst,
            in_tokens=found.unit == 'tokens',
            plain_tokens=max(0, found.plain_tokens),
        )
    priority = found.priority
    if priority is not None:
        priority = min(9, max(0, priority))
    return model.Workspace(
        name=found.name,
        key='',
        keys=found.api_keys,
        priority=priority,
        rate=rate,
    )


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _error(str(error)) from error


def _error(reason: str) -> errors.DocumentError:
    return errors.DocumentError(SOURCE, '$', reason)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """What a node writes of itself into the store.

    :param peers: ``ip:port`` of its zmq socket.
    """

    peers: str


def encode_node(node: Node) -> bytes:
    """Encode a node's own entry."""
    return msgspec.json.encode(node)


def node(data: bytes) -> Node:
    """Decode a node's own entry.

    :raises errors.DocumentError: it cannot be decoded.
    """
    return _decode(data, Node)
