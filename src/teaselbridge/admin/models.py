"""Request and response bodies of the HTTP interface for operators."""

from __future__ import annotations

import dataclasses

from teaselbridge.peers import messages
from teaselbridge.tables import diff
from teaselbridge.tables import model
from teaselbridge.telemetry import timeline


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyRequest:
    """Request to replace the tables.

    :param base: configuration generation on which the new tables are based.
    :param tables: both tables, complete.
    """

    base: int
    tables: model.Tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyReply:
    """Outcome of a request to replace the tables.

    :param state: ``applied``, ``lost-race``, ``failed`` or ``in-doubt``.
    :param generation: current configuration generation, 0 if unknown.
    :param writer: token of the writer that won, after a lost race.
    :param changes: differences between the requested and the current
        tables, after a lost race.
    """

    state: str
    generation: int = 0
    writer: str = ''
    changes: tuple[diff.Change, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorReply:
    """Reason why an operator's request is refused.

    :param error: name of the error's type.
    :param detail: position of the error and what was expected there.
    """

    error: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """One node, as the reporting node sees it.

    :param status: membership status in lower case.
    :param draining: whether the node takes no new work.
    :param callers: ``ip:port`` of its HTTP interface for callers.
    :param admin: ``ip:port`` of its HTTP interface for operators.
    """

    name: str
    zone: str
    region: str
    status: str
    draining: bool
    callers: str
    admin: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerStatus:
    """One backend server, as the reporting node sees it.

    :param inflight: requests in flight on the server.
    :param slots: requests that the server can run at once.
    :param leaving: whether the server is being removed.
    :param ejected: whether the server gets no requests for a while because
        of failures.
    """

    host: str
    pool: str
    version: str
    zone: str
    inflight: int
    slots: int
    leaving: bool
    ejected: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseStatus:
    """Lease on the control of a pool.

    :param holder: node that was last seen to hold the lease.
    :param fence: fencing token, 0 if another node holds the lease.
    """

    pool: str
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MovesReply:
    """Latest rollout of each pool.

    :param moves: latest rollout of each pool.
    :param verdicts: decisions that a new version is bad.
    """

    moves: tuple[messages.Move, ...]
    verdicts: tuple[messages.Verdict, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """Status of a node and its view of the cluster.

    :param generation: configuration generation in force.
    :param ready: whether the node takes new work.
    :param withdrawn: whether the node is isolated and takes no work.
    :param keyvalue_up: whether the key-value store answers.
    :param held: requests in progress at this node.
    :param queued: requests that wait for a backend server.
    :param leases: leases on pools that the node has seen.
    :param moves: latest rollout of each pool.
    :param refused_bodies: request bodies that crashed backend servers.
    """

    node: str
    zone: str
    generation: int
    ready: bool
    draining: bool
    withdrawn: bool
    keyvalue_up: bool
    held: int
    queued: int
    members: tuple[MemberStatus, ...]
    servers: tuple[ServerStatus, ...]
    leases: tuple[LeaseStatus, ...] = ()
    moves: tuple[messages.Move, ...] = ()
    refused_bodies: tuple[messages.Crashes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimelineReply:
    """Selected entries of one node's timeline."""

    entries: tuple[timeline.Entry, ...]
