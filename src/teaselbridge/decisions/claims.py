"""Entries of the ledger, and what can be wished of it."""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge.decisions import calls


class Stage(enum.Enum):
    """How far a claimed request has come."""

    RUNNING = 'running'
    DONE = 'done'
    NOT_RUN = 'not-run'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One request's entry in a bucket.

    :param token: unique token of the attempt to claim.
    :param node: node that wrote it.
    :param stage: how far it has come.
    :param answer: whole answer, once done.
    """

    token: str
    node: str
    stage: Stage
    answer: calls.Answer | None = None


Claims: typing.TypeAlias = dict[str, Claim]


class Wish(enum.Enum):
    """What is wanted of a bucket."""

    CLAIM = 'claim'
    FINISH = 'finish'
    CLOSE = 'close'
    LOOK = 'look'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One wish for one request.

    :param handle: request that waits for the result.
    :param key: identity of the request.
    :param id_time: wall milliseconds in the id.
    :param token: unique token of the claim.
    :param node: node that claims.
    :param answer: whole answer, to finish.
    :param until: monotonic milliseconds after which to give up.
    :param keep_ms: how long the outcome must be kept.
    :param reply_to: ``ip:port`` of the node that asked, empty for this one.
    """

    wish: Wish
    handle: int
    key: calls.RequestKey
    id_time: int
    token: str
    node: str
    until: int
    keep_ms: int
    answer: calls.Answer | None = None
    reply_to: str = ''
