"""Documents of the operators' interface."""

from __future__ import annotations

import dataclasses

from teaselbridge.peers import messages
from teaselbridge.tables import diff
from teaselbridge.tables import model
from teaselbridge.telemetry import timeline


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyRequest:
    """New tables.

    :param base: generation that the operator has read.
    :param tables: both tables, whole.
    """

    base: int
    tables: model.Tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyReply:
    """What became of new tables.

    :param state: ``applied``, ``lost-race``, ``failed`` or ``in-doubt``.
    :param generation: generation that stands, 0 where it is not known.
    :param writer: token of who won, after a lost race.
    :param changes: how what stands differs, after a lost race.
    """

    state: str
    generation: int = 0
    writer: str = ''
    changes: tuple[diff.Change, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorReply:
    """Why a request of an operator is refused.

    :param error: name of the error's type.
    :param detail: where it is and what was expected.
    """

    error: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """One node, as another sees it.

    :param admin: ``ip:port`` of its operators' interface.
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
    """One backend server, as a node sees it."""

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
    """Who controls a pool.

    :param holder: node that was last seen to hold the lease.
    :param fence: fencing number, 0 where another node holds it.
    """

    pool: str
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MovesReply:
    """Newest move of each pool, with verdicts."""

    moves: tuple[messages.Move, ...]
    verdicts: tuple[messages.Verdict, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """What a node says of itself and of its surroundings.

    :param generation: generation of the configuration in force.
    :param keyvalue_up: whether the key-value service answers.
    :param held: requests that it holds.
    :param queued: requests that wait for a backend server.
    :param leases: pools and who controls them, as far as the node saw.
    :param moves: newest move of each pool.
    :param refused_bodies: request bodies that servers died of.
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
    """Part of the time line that one node keeps."""

    entries: tuple[timeline.Entry, ...]
