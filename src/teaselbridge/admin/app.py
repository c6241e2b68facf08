"""Operators' HTTP interface."""

from __future__ import annotations

import asyncio
import hmac
import itertools
import typing

import litestar
import litestar.connection
import litestar.exceptions
import litestar.handlers
import msgspec
import uuid_utils

from teaselbridge.admin import models
from teaselbridge.admin import status
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.gateway import headers as names
from teaselbridge.tables import check
from teaselbridge.tables import model
from teaselbridge.telemetry import timeline

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops
    from teaselbridge.telemetry import metrics

OPEN_PATHS = frozenset({'/livez', '/readyz', '/metrics'})
BODY_BYTES = 1_048_576
METRICS_TYPE = 'text/plain; version=0.0.4'

Request: typing.TypeAlias = litestar.Request[
    typing.Any, typing.Any, typing.Any
]
Reply: typing.TypeAlias = litestar.Response[typing.Any]

STATES: dict[type, int] = {
    effects.Applied: 200,
    effects.LostRace: 409,
    effects.ApplyFailed: 503,
}


class Admin:
    """Answers operators.

    :param loop: runs the decisions.
    :param meter: figures of the process.
    :param operator_key: key that operators must send, empty for none.
    :param drain_ms: longest graceful stop.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        meter: metrics.Meter,
        operator_key: str,
        drain_ms: int,
    ) -> None:
        self._loop = loop
        self._meter = meter
        self._key = operator_key
        self._drain_ms = drain_ms
        self._tickets = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[effects.ApplyOutcome]] = {}
        loop.handle(effects.AnswerApply, self._answer)

    def build(self) -> litestar.Litestar:
        """Build the web application."""

        @litestar.get('/livez')
        async def live() -> str:
            return 'live'

        @litestar.get('/readyz')
        async def ready() -> Reply:
            if status.is_ready(self._loop.state):
                return litestar.Response('ready')
            return litestar.Response('not ready', status_code=503)

        @litestar.get('/metrics')
        async def export() -> Reply:
            return litestar.Response(
                self._meter.export(), media_type=METRICS_TYPE
            )

        @litestar.get('/v1/status')
        async def show_status() -> models.NodeStatus:
            return status.describe(self._loop.state, self._loop.now())

        @litestar.get('/v1/config')
        async def show_config() -> model.Configuration:
            return self._loop.state.index.configuration

        @litestar.post('/v1/config', status_code=200)
        async def apply_config(request: Request) -> Reply:
            return await self._apply(await request.body())

        @litestar.get('/v1/timeline')
        async def show_timeline(
            request: Request,
        ) -> models.TimelineReply:
            return self._select(dict(request.query_params))

        @litestar.get('/v1/moves')
        async def show_moves() -> models.MovesReply:
            known = self._loop.state.moves
            return models.MovesReply(moves=known.all, verdicts=known.verdicts)

        @litestar.post('/v1/drain', status_code=202)
        async def drain() -> models.NodeStatus:
            now = self._loop.now()
            self._loop.post(events.DrainAsked(now.mono + self._drain_ms))
            return status.describe(self._loop.state, now)

        return litestar.Litestar(
            route_handlers=[
                live,
                ready,
                export,
                show_status,
                show_config,
                apply_config,
                show_timeline,
                show_moves,
                drain,
            ],
            guards=[self._guard],
            exception_handlers={errors.TeaselbridgeError: _refuse},
            request_max_body_size=BODY_BYTES,
            openapi_config=None,
            logging_config=None,
        )

    def _guard(
        self,
        connection: litestar.connection.ASGIConnection[
            typing.Any, typing.Any, typing.Any, typing.Any
        ],
        _: litestar.handlers.BaseRouteHandler,
    ) -> None:
        """Refuse who does not have the operators' key."""
        if not self._key or connection.url.path in OPEN_PATHS:
            return
        key = names.bearer(dict(connection.headers))
        if not hmac.compare_digest(key.encode(), self._key.encode()):
            raise litestar.exceptions.NotAuthorizedException(
                "the operators' key is missing or wrong"
            )

    async def _apply(self, body: bytes) -> Reply:
        document = documents.decode(body, dict[str, object], 'request')
        wanted = documents.convert(document, models.ApplyRequest, 'request')
        check.check(wanted.tables)
        ticket = next(self._tickets)
        writer = f'{self._loop.state.options.me.name}/{uuid_utils.uuid7()}'
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._loop.post(
            events.ApplyAsked(ticket, wanted.base, wanted.tables, writer)
        )
        outcome = await future
        return litestar.Response(
            msgspec.json.encode(_describe(outcome)),
            status_code=STATES[type(outcome)],
            media_type='application/json',
        )

    def _answer(self, effect: effects.AnswerApply) -> None:
        future = self._waiting.pop(effect.ticket)
        if not future.done():
            future.set_result(effect.outcome)

    def _select(self, query: dict[str, typing.Any]) -> models.TimelineReply:
        try:
            wanted = msgspec.convert(query, timeline.Filter, strict=False)
        except msgspec.ValidationError as error:
            raise errors.DocumentError('query', '$', str(error)) from error
        return models.TimelineReply(entries=self._loop.timeline.select(wanted))


def _describe(outcome: effects.ApplyOutcome) -> models.ApplyReply:
    match outcome:
        case effects.Applied():
            return models.ApplyReply(
                state='applied', generation=outcome.generation
            )
        case effects.LostRace():
            return models.ApplyReply(
                state='lost-race',
                generation=outcome.generation,
                writer=outcome.writer,
                changes=outcome.changes,
            )
        case effects.ApplyFailed():
            state = 'in-doubt' if outcome.in_doubt else 'failed'
            return models.ApplyReply(state=state)


def _refuse(
    request: Request, error: errors.TeaselbridgeError
) -> litestar.Response[bytes]:
    reply = models.ErrorReply(error=type(error).__name__, detail=str(error))
    return litestar.Response(
        msgspec.json.encode(reply),
        status_code=400,
        media_type='application/json',
    )
