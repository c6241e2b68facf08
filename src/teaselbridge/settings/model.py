"""Frozen data classes of the settings file."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]*$')]
Millis = typing.Annotated[int, msgspec.Meta(ge=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """Who this node is.

    :param name: unique name of the node.
    :param zone: its availability zone.
    :param region: the region that the zone lies in.
    """

    name: Name
    zone: Name
    region: Name


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """Addresses that this node listens on, as ``ip:port``.

    :param callers: HTTP interface of callers.
    :param admin: HTTP interface of operators.
    :param peers: zmq socket for other nodes.
    """

    callers: str
    admin: str
    peers: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """Base addresses of the platform's services, as ``http://ip:port``.

    :param keyvalue: key-value service.
    :param hosts: host list.
    :param cloud: cloud API.
    :param weights: weight store.
    """

    keyvalue: str
    hosts: str
    cloud: str
    weights: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """What the users' platform promises and demands.

    The defaults are those of the first two deployments.

    :param grace_s: from the signal to stop until the process is killed.
    :param strict_keys: whether revoked keys must not be used even while
        the platform's store cannot be asked.
    :param revoke_ms: after this time no revoked key may be used.
    :param retry_share: further attempts allowed as a share of requests,
        over all nodes.
    :param retry_extra: further attempts allowed besides.
    :param rate_window_s: span that a workspace's rate holds for.
    :param rate_excess: part over it that is allowed in that span.
    :param rate_slack: tokens over it that are allowed besides.
    :param usage_window_s: span of one usage report.
    :param duties: duties that are accepted, by the platform's names.
    :param first_start: whether the whole deployment starts for the first
        time, so that nothing was done before that could be forgotten.
    """

    grace_s: float = 8
    strict_keys: bool = True
    revoke_ms: int = 5_000
    retry_share: float = 0.2
    retry_extra: float = 50
    rate_window_s: float = 8
    rate_excess: float = 0
    rate_slack: float = 0
    usage_window_s: float = 5
    duties: tuple[str, ...] = ()
    first_start: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """A deployment on the users' platform.

    :param ready: ``ip:port`` where the platform asks for readiness.
    :param directory: ``ip:port`` where callers ask for addresses, empty
        where this node is not asked.
    :param store: ``ip:port`` of the platform's store.
    :param cloud: ``ip:port`` of the platform's duty API, empty for none.
    :param bounds: what the platform promises and demands.
    """

    ready: str
    store: str
    directory: str = ''
    cloud: str = ''
    bounds: Bounds = Bounds()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tls:
    """Certificate files of one listener.

    :param certificate: PEM file with the chain.
    :param key: PEM file with the private key.
    """

    certificate: str
    key: str


Z85Key = typing.Annotated[str, msgspec.Meta(min_length=40, max_length=40)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerKeys:
    """Key pair that all nodes of a deployment share, for CURVE.

    Both halves are secret: who knows the public one may join.

    :param public: public half in Z85, 40 characters.
    :param secret: secret half in Z85, 40 characters.
    """

    public: Z85Key
    secret: Z85Key


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds of what one node holds.

    :param queue: requests that may wait for a backend server.
    :param body_bytes: largest request body.
    :param request_ms: longest time that a request may take to arrive.
    :param address_ttl_ms: how long callers may keep the address list.
    :param drain_ms: longest graceful stop.
    :param timeline_events: events that the time line keeps.
    """

    queue: Count = 512
    body_bytes: Count = 1_048_576
    request_ms: Millis = 30_000
    address_ttl_ms: Millis = 2_000
    drain_ms: Millis = 10_000
    timeline_events: Count = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Everything that a node reads from its file.

    :param node: who this node is.
    :param listen: addresses to listen on.
    :param platform: addresses of the platform's services, none where
        ``site`` is given.
    :param site: the deployment on the users' platform, none for one on the
        project's own stand-ins.
    :param seeds: ``ip:port`` of peers to join through.
    :param operator_key: shared key that the admin interface asks for.
    :param tls: certificate for callers and operators, none for plain HTTP.
    :param peer_keys: key pair of the messages between nodes, none for
        plain ones.
    :param limits: bounds of what the node holds.
    """

    node: Node
    listen: Listen
    platform: Platform | None = None
    site: Site | None = None
    seeds: tuple[str, ...] = ()
    operator_key: str = ''
    tls: Tls | None = None
    peer_keys: PeerKeys | None = None
    limits: Limits = Limits()
