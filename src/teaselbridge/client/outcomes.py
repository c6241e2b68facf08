"""Results and errors of requests in the client library."""

from __future__ import annotations

import dataclasses

from teaselbridge import errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completion:
    """Complete answer of an engine.

    :param request: id of the request.
    :param tokens: all tokens in order.
    :param finish: finish reason.
    :param first_ms: time to the first token.
    :param gaps_ms: times between successive tokens.
    :param total_ms: time to the end of the answer.
    :param resumed: how often the stream was resumed after tokens had
        arrived.
    """

    request: str
    tokens: tuple[str, ...]
    finish: str
    first_ms: float
    gaps_ms: tuple[float, ...]
    total_ms: float
    resumed: int

    @property
    def text(self) -> str:
        """Text of the answer."""
        return ''.join(self.tokens)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Complete answer of a plain service.

    :param request: id of the request.
    :param status: HTTP status.
    :param body: response body.
    :param stored: whether it is the stored answer of an earlier attempt.
    :param total_ms: time to the end of the answer.
    """

    request: str
    status: int
    body: bytes
    stored: bool
    total_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Problem document (RFC 9457) that the system sends for a refusal.

    :param ran: whether the request was run, ``no`` or ``unknown``.
    """

    type: str = ''
    title: str = ''
    status: int = 0
    detail: str = ''
    instance: str = ''
    ran: str = 'unknown'

    @property
    def reason(self) -> str:
        """Reason of the refusal, the last part of the type."""
        return self.type.rpartition(':')[2]


@dataclasses.dataclass(eq=False)
class RefusedError(errors.TeaselbridgeError):
    """The system refused the request.

    :param problem: problem document of the refusal.
    :param retry_after_ms: time after which to retry, 0 for never.
    """

    problem: Problem
    retry_after_ms: int = 0

    def __str__(self) -> str:
        problem = self.problem
        return f'{problem.reason}, ran {problem.ran}: {problem.detail}'


@dataclasses.dataclass(eq=False)
class LateError(errors.TeaselbridgeError):
    """The deadline passed before the answer was complete.

    :param request: id of the request.
    """

    request: str


@dataclasses.dataclass(eq=False)
class UnreachableError(errors.TeaselbridgeError):
    """No node returned a list of addresses.

    :param tried: addresses of the nodes that were asked.
    """

    tried: tuple[str, ...]
