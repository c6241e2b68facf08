"""Decoding and encoding of the entries of the platform's store.

The private structures have the field names of the stored documents. Other
programs write to the store too, so that an entry may lack fields or hold
arbitrary data; decoding such an entry raises
:class:`~teaselbridge.errors.DocumentError`.
"""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec
import xxhash

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.peers import messages
from teaselbridge.tables import model

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'
EVACUATION_PREFIX = 'op/evacuate/'
ROLLOUT_PREFIX = 'op/rollout/'
ROLLOUT_STATUS_PREFIX = 'status/rollout/'
PARTS_PREFIX = 'teaselbridge/parts/'
ROUTE_KINDS = frozenset({'idempotent', 'non_idempotent', 'streaming'})
HOST_STATES = {
    'ready': events.HostState.LIVE,
    'draining': events.HostState.LEAVING,
}
DOCUMENT_SOURCE = 'store'
# Requests never wait for the memory of engines whose capacity is not stated.
UNSTATED_CACHE_TOKENS = 1 << 40
# Larger numbers are of no use, and those beyond 64 bits cannot be sent to
# other nodes.
MAX_NUMBER = 1 << 53
# Bounds of what a usable entry of a backend server or of a node states.
MAX_TEXT_CHARS = 1_000
MAX_SLOTS = 1 << 20
MAX_SPAN_MS = 24 * 3_600_000
MAX_PORT = 65_535
# Bounds what an unusable value adds to a log line.
MAX_SHOWN_CHARS = 80

_ADDRESS = re.compile(r'(?:[0-9A-Za-z._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})')
_CONTROL = re.compile(r'[\x00-\x1f\x7f]')


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
    kv_capacity: int = UNSTATED_CACHE_TOKENS
    kv_token_bytes: float = 0
    # Rate between two backend servers, not that of a host's network link.
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
    # Requests a second that a cold backend server tolerates; 0 for any.
    cold_per_s: float = 0


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
    # Version that the service's backend servers are to run.
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
    # Start of the server in Unix milliseconds; it distinguishes the
    # incarnations of one server id.
    born: int = 0
    cold_left_ms: float = 0
    # Whether the server runs on a host that the cloud can take back.
    spot: bool = False
    # Unlike the other fields, this one has an underscore in the document.
    leaves_ms: float | None = msgspec.field(default=None, name='leaves_ms')


# Bytes per millisecond in one megabit per second.
BYTES_PER_MS_PER_MBPS = 125.0

T = typing.TypeVar('T')


def configuration(data: bytes) -> model.Configuration:
    """Decode the operators' configuration.

    :raises errors.DocumentError: the document cannot be decoded.
    """
    document = _decode(data, _Configuration)
    if not 0 <= document.version <= MAX_NUMBER:
        raise _document_error('the version is out of range')
    return model.Configuration(
        generation=document.version,
        tables=model.Tables(
            routes=tuple(_convert_route(item) for item in document.routes),
            pools=tuple(_convert_pool(item) for item in document.services),
            workspaces=tuple(
                _convert_workspace(item) for item in document.tenants
            ),
            limits=model.CallerLimits(
                header_bytes=_limit(document.limits.max_header_bytes, 1),
                body_bytes=_limit(document.limits.max_body_bytes, 1),
                idle_ms=_limit(document.limits.idle_timeout_ms, 1),
            ),
        ),
    )


def decode_server(key: str, data: bytes) -> events.HostRow:
    """Decode the entry of a backend server.

    The ``host`` of the row is the server's id with its start time, so that a
    server that restarts under the same id counts as another host.

    :param key: key of the entry, which ends with the server's id.
    :raises errors.DocumentError: the entry cannot be decoded, or one of its
        fields has no usable value.
    """
    document = _decode(data, _Server)
    state = HOST_STATES.get(document.state)
    if state is None:
        raise _field_error('state', document.state)
    instance = key.removeprefix(SERVERS_PREFIX)
    _check_text('id', instance, least=1)
    _check_text('service', document.service, least=1)
    _check_text('zone', document.zone)
    _check_text('version', document.version)
    _check_address('address', document.address)
    _check_number('slots', document.slots, MAX_SLOTS)
    _check_number('born', document.born, MAX_NUMBER)
    # Times that are left may have passed.
    cold_ms = max(0, document.cold_left_ms)
    left_ms = max(0, document.leaves_ms or 0)
    _check_number('cold-left-ms', cold_ms, MAX_SPAN_MS)
    _check_number('leaves_ms', left_ms, MAX_SPAN_MS)
    return events.HostRow(
        host=f'{instance}@{document.born}',
        address=document.address,
        zone=document.zone,
        pool=document.service,
        version=document.version,
        reclaimable=document.spot,
        state=state,
        instance=instance,
        slots=document.slots,
        left_ms=round(left_ms),
        born=document.born,
        cold_ms=round(cold_ms),
    )


def decode_rollout(data: bytes, number: int) -> events.RolloutOrdered:
    """Decode the order of a rollout, which moves a pool to a version.

    :param number: number of the rollout, which grows with each write.
    :raises errors.DocumentError: the entry cannot be decoded, or its
        duration is out of range.
    """
    document = _decode(data, _Rollout)
    duration_ms = clock.SECOND_MS * max(0, document.duration_s)
    _check_number('duration-s', duration_ms, MAX_SPAN_MS)
    return events.RolloutOrdered(
        pool=document.service,
        version=document.target,
        duration_ms=round(duration_ms),
        number=number,
    )


def decode_rollout_status(key: str, data: bytes) -> events.RolloutEnded | None:
    """Decode the status entry of a rollout.

    :param key: key of the entry, which ends with the pool's name.
    :return: the end of the rollout, none while it is running.
    :raises errors.DocumentError: the entry cannot be decoded.
    """
    document = _decode(data, _RolloutStatus)
    if document.state not in ('complete', 'reverted'):
        return None
    return events.RolloutEnded(
        pool=key.removeprefix(ROLLOUT_STATUS_PREFIX),
        version=document.target,
        done=document.state == 'complete',
    )


def decode_evacuated_zone(key: str) -> str:
    """Return the availability zone that an entry evacuates.

    :param key: key of the entry, which ends with the name of the zone.
    :return: empty where the key belongs to another kind of entry.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return ''
    return key.removeprefix(EVACUATION_PREFIX)


def build_rollout_status_key(pool: str) -> str:
    """Return the key of the status entry of a pool's rollout."""
    return ROLLOUT_STATUS_PREFIX + pool


ROLLOUT_STATE_NAMES = {
    effects.MoveStatus.RUNNING: 'running',
    effects.MoveStatus.DONE: 'complete',
    effects.MoveStatus.UNDONE: 'reverted',
}


def encode_rollout_status(state: effects.MoveStatus, version: str) -> bytes:
    """Encode the status entry of a rollout, which operators read."""
    return msgspec.json.encode(
        _RolloutStatus(state=ROLLOUT_STATE_NAMES[state], target=version)
    )


def _convert_route(document: _Route) -> model.Route:
    if document.route_kind not in ROUTE_KINDS:
        raise _document_error(
            f'no such kind of route: `{document.route_kind}`'
        )
    streaming = document.route_kind == 'streaming'
    idempotent = document.route_kind == 'idempotent'
    shares = tuple(
        model.PoolShare(pool=item.service, weight=_limit(item.weight))
        for item in document.backends
    )
    pool = document.service
    if not pool and shares:
        pool = shares[0].pool
    return model.Route(
        name=document.name,
        match=model.Match(
            path=document.path_prefix, host=document.host.lower()
        ),
        pool=pool,
        priority=min(9, max(0, document.priority)),
        deadline_ms=_limit(document.timeout_ms, 1),
        idempotent=idempotent or (streaming and document.resumable),
        shares=shares,
        attempts=_limit(document.attempts, 1),
        public=document.public,
        streaming=streaming,
        resumable=streaming and document.resumable,
        goal_ms=_limit(document.goal_ms),
    )


def _copied_tokens_per_ms(document: _Engine) -> float:
    """Return how many cached tokens are copied to another server per ms."""
    if document.kv_token_bytes <= 0:
        return 0.0
    bytes_per_ms = _limit_float(document.link_mbps) * BYTES_PER_MS_PER_MBPS
    return _limit_float(bytes_per_ms / document.kv_token_bytes)


def _convert_pool(document: _Service) -> model.Pool:
    engine = None
    if document.engine is not None:
        engine = model.Engine(
            slots=_limit(document.engine.slots, 1),
            cache_tokens=_limit(document.engine.kv_capacity, 1),
            copied_per_ms=_copied_tokens_per_ms(document.engine),
        )
    scaling = None
    if document.scaling is not None:
        scaling = model.Scaling(
            least=_limit(document.scaling.min_replicas),
            most=_limit(document.scaling.max_replicas, 1),
            boot_ms=_limit(document.scaling.boot_s * 1000),
            reclaimable_price=_limit_float(document.scaling.spot_price),
            prices=tuple(
                model.ZonePrice(zone=zone, price=_limit_float(price))
                for zone, price in document.scaling.zone_prices.items()
            ),
        )
    return model.Pool(
        name=document.name,
        kind=model.Kind.RELAYED,
        versions=(),
        zones=(),
        engine=engine,
        scaling=scaling,
        cold_per_s=_limit_float(document.cold_per_s),
    )


def _convert_workspace(document: _Tenant) -> model.Workspace:
    rate = None
    if document.rate_per_s > 0:
        rate = model.Rate(
            per_s=_limit_float(document.rate_per_s),
            burst=_limit_float(document.burst),
            in_tokens=document.unit == 'tokens',
            plain_tokens=_limit(document.plain_tokens),
        )
    priority = document.priority
    if priority is not None:
        priority = min(9, max(0, priority))
    return model.Workspace(
        name=document.name,
        key='',
        keys=document.api_keys,
        priority=priority,
        rate=rate,
    )


def _limit(value: float, least: int = 0) -> int:
    """Return the nearest whole number from a least one to `MAX_NUMBER`."""
    return round(min(MAX_NUMBER, max(least, value)))


def _limit_float(value: float) -> float:
    """Return the nearest number from 0 to `MAX_NUMBER`."""
    return min(float(MAX_NUMBER), max(0.0, value))


def _decode(data: bytes, kind: type[T]) -> T:
    return documents.decode(data, kind, DOCUMENT_SOURCE)


def _check_text(field: str, value: str, least: int = 0) -> None:
    """Check that a text can be sent in a header and to other nodes.

    :param least: least number of characters.
    :raises errors.DocumentError: it cannot.
    """
    if not least <= len(value) <= MAX_TEXT_CHARS or _CONTROL.search(value):
        raise _field_error(field, value)


def _check_address(field: str, value: str) -> None:
    """Check that a text is a host and a port.

    :raises errors.DocumentError: it is not.
    """
    found = _ADDRESS.fullmatch(value)
    if found is None or not 1 <= int(found[1]) <= MAX_PORT:
        raise _field_error(field, value)


def _check_number(field: str, value: float, most: float) -> None:
    """Check that a number is in the range from 0 on.

    :raises errors.DocumentError: it is not.
    """
    if not 0 <= value <= most:
        raise _field_error(field, value)


def _field_error(field: str, value: float | str) -> errors.DocumentError:
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARS:
        text = f'{text[:MAX_SHOWN_CHARS]}...'
    return errors.DocumentError(
        DOCUMENT_SOURCE, f'$.{field}', f'no usable value: {text}'
    )


def _document_error(reason: str) -> errors.DocumentError:
    return errors.DocumentError(DOCUMENT_SOURCE, '$', reason)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeEntry:
    """Entry that a node writes into the store for its peers.

    :param peers: ``ip:port`` of its ZeroMQ socket.
    """

    peers: str


def encode_node(node: NodeEntry) -> bytes:
    """Encode the entry of a node."""
    return msgspec.json.encode(node)


class _Part(msgspec.Struct, frozen=True):
    part: str
    hosts: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    until: int = 0
    lifted: bool = False


def build_part_key(part: str) -> str:
    """Build the key of a prompt part's record, whatever its id is."""
    return f'{PARTS_PREFIX}{xxhash.xxh3_64_hexdigest(part.encode())}'


def encode_part(record: messages.PartCrashes) -> bytes:
    """Encode the record of a prompt part."""
    return msgspec.json.encode(record)


def decode_part(data: bytes) -> events.PartRead:
    """Decode the record of a prompt part.

    :raises errors.DocumentError: the entry cannot be decoded.
    """
    document = _decode(data, _Part)
    _check_number('until', document.until, MAX_NUMBER)
    record = messages.PartCrashes(
        part=document.part,
        hosts=document.hosts,
        cleared=document.cleared,
        until=document.until,
    )
    return events.PartRead(record, document.lifted)


def node(data: bytes) -> NodeEntry:
    """Decode the entry of a node.

    :raises errors.DocumentError: the entry cannot be decoded, or names no
        address.
    """
    entry = _decode(data, NodeEntry)
    _check_address('peers', entry.peers)
    return entry
