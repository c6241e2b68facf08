"""Frozen data classes of the settings file."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
# The platform chooses the names; they are sent in headers.
Name = typing.Annotated[str, msgspec.Meta(pattern=r'\A[^\x00-\x1f\x7f]+\Z')]
Millis = typing.Annotated[int, msgspec.Meta(ge=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """Identity and location of this node.

    :param name: unique name of the node.
    :param zone: availability zone of the node.
    :param region: region of the zone.
    """

    name: Name
    zone: Name
    region: Name


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """Addresses that this node listens on, as ``ip:port``.

    :param callers: HTTP interface for callers.
    :param admin: HTTP interface for operators.
    :param peers: zmq socket for other nodes.
    :param forwarding: HTTP interface for requests that other nodes forward,
        empty for none.
    """

    callers: str
    admin: str
    peers: str
    forwarding: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """Base URLs of the simulated platform's services, ``http://ip:port``.

    :param keyvalue: key-value store.
    :param hosts: host list service.
    :param cloud: cloud API.
    :param weights: weight store.
    """

    keyvalue: str
    hosts: str
    cloud: str
    weights: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Guarantees and requirements of the deployment platform.

    The defaults are the values of the first two deployments.

    :param grace_s: time from the stop signal until the process is killed.
    :param strict_keys: whether revoked keys must be refused even while the
        platform's store is unreachable.
    :param revoke_ms: time from the revocation of a key until all nodes must
        refuse it.
    :param retry_share: retries allowed over all nodes, as a share of the
        requests.
    :param retry_extra: number of retries allowed in addition.
    :param rate_window_s: time window that a workspace's rate applies to.
    :param rate_excess: fraction by which the rate may be exceeded in a
        window.
    :param rate_slack: tokens by which the rate may be exceeded in addition.
    :param usage_window_s: time window of one usage report.
    :param duties: duties that the platform accepts calls for, by the
        platform's names.
    :param cold_excess: factor by which requests to a cold backend server may
        exceed the rate that it tolerates, in any one second.
    :param cold_slack: requests by which they may exceed it in addition.
    :param first_start: whether the whole deployment starts for the first
        time, so that there is no earlier state that could have been lost.
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
    cold_excess: float = 1.5
    cold_slack: float = 5
    first_start: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """Addresses of a node that runs on the deployment platform.

    :param ready: ``ip:port`` to serve the platform's readiness probes on.
    :param store: ``ip:port`` of the platform's store.
    :param directory: ``ip:port`` to serve callers' address lookups on,
        empty if this node serves none.
    :param cloud: ``ip:port`` of the platform's duty API, empty for none.
    :param bounds: guarantees and requirements of the platform.
    """

    ready: str
    store: str
    directory: str = ''
    cloud: str = ''
    bounds: Bounds = Bounds()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tls:
    """Certificate files for TLS.

    :param certificate: path of the PEM file with the certificate chain.
    :param key: path of the PEM file with the private key.
    """

    certificate: str
    key: str


Z85Key = typing.Annotated[str, msgspec.Meta(min_length=40, max_length=40)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerKeys:
    """CURVE key pair that all nodes of a deployment share.

    Both keys must be kept secret: a process that has the public key can
    join the deployment.

    :param public: public key in Z85, 40 characters.
    :param secret: secret key in Z85, 40 characters.
    """

    public: Z85Key
    secret: Z85Key


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Resource limits of one node.

    :param queue: largest number of requests that wait for a backend server.
    :param body_bytes: largest request body.
    :param request_ms: longest time for a request to arrive completely.
    :param address_ttl_ms: how long callers may cache the address list.
    :param drain_ms: longest duration of a graceful shutdown.
    :param timeline_events: number of events that the timeline keeps.
    :param cores: processor cores that the node may use, 0 for unknown.
    """

    queue: Count = 512
    body_bytes: Count = 1_048_576
    request_ms: Millis = 30_000
    address_ttl_ms: Millis = 2_000
    drain_ms: Millis = 10_000
    timeline_events: Count = 20_000
    cores: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Contents of a node's settings file.

    :param node: identity and location of this node.
    :param listen: addresses to listen on.
    :param platform: base URLs of the simulated platform's services, none
        where ``site`` is given.
    :param site: addresses of the node on the deployment platform, none
        where the node uses the simulated services.
    :param seeds: ``ip:port`` of the peers to join through.
    :param operator_key: shared key that the admin interface requires.
    :param tls: certificate for callers and operators, none for plain HTTP.
    :param peer_keys: key pair of the messages between nodes, none for
        unencrypted messages.
    :param limits: resource limits of the node.
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
