"""Entries of the ledger and the operations on them.

The ledger records the claims that make a non-idempotent request run at most
once.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge.decisions import calls


class Stage(enum.Enum):
    """Progress of a claimed request."""

    RUNNING = 'running'
    DONE = 'done'
    NOT_RUN = 'not-run'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Entry of one request in a bucket of the ledger.

    :param token: unique token of the operation that claimed the request.
    :param node: node that wrote the entry.
    :param stage: progress of the request.
    :param answer: complete answer, once the request is done.
    """

    token: str
    node: str
    stage: Stage
    answer: calls.Answer | None = None


Claims: typing.TypeAlias = dict[str, Claim]


class OperationKind(enum.Enum):
    """Kind of an operation on a bucket."""

    CLAIM = 'claim'
    FINISH = 'finish'
    CLOSE = 'close'
    READ = 'look'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """Operation on the ledger entry of one request.

    :param wish: kind of the operation.
    :param handle: handle of the request that waits for the result.
    :param key: identity of the request.
    :param id_time: wall-clock milliseconds in the id.
    :param token: unique token of the claim.
    :param node: node that claims the request.
    :param until: deadline of the operation in monotonic milliseconds.
    :param keep_ms: retention time of the outcome in milliseconds.
    :param answer: complete answer, for FINISH.
    :param reply_to: ``ip:port`` of the node that sent the operation, empty
        for this node.
    """

    wish: OperationKind
    handle: int
    key: calls.RequestKey
    id_time: int
    token: str
    node: str
    until: int
    keep_ms: int
    answer: calls.Answer | None = None
    reply_to: str = ''
