"""HTTP interface for operators.

It serves health checks, metrics, the status of the node, the timeline,
rollouts and explanations of choices, and takes new tables and orders to drain.
"""

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
from teaselbridge.decisions.spreading import explanation
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.gateway import headers as names
from teaselbridge.tables import check
from teaselbridge.tables import model
from teaselbridge.telemetry import timeline

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops
    from teaselbridge.telemetry import metrics

# Paths that need no operator key.
UNAUTHENTICATED_PATHS = frozenset({'/livez', '/readyz', '/metrics'})
# Largest request body.
MAX_BODY_BYTES = 1_048_576
METRICS_MEDIA_TYPE = 'text/plain; version=0.0.4'

Request: typing.TypeAlias = litestar.Request[
    typing.Any, typing.Any, typing.Any
]
Reply: typing.TypeAlias = litestar.Response[typing.Any]

# HTTP status for each outcome of new tables.
APPLY_STATUS_CODES: dict[type, int] = {
    effects.Applied: 200,
    effects.LostRace: 409,
    effects.ApplyFailed: 503,
}


class AdminApplication:
    """Web application that serves operators.

    :param loop: event loop of the reducer.
    :param meter: metrics of the process.
    :param operator_key: bearer key that operators must send, empty to
        serve everyone.
    :param drain_ms: time limit of a graceful shutdown.
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
        self._operator_key = operator_key
        self._drain_ms = drain_ms
        self._tickets = itertools.count(1)
        self._pending: dict[int, asyncio.Future[effects.ApplyOutcome]] = {}
        loop.handle(effects.SendApplyResult, self._complete_apply)

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
                self._meter.export(), media_type=METRICS_MEDIA_TYPE
            )

        @litestar.get('/v1/status')
        async def show_status() -> models.NodeStatus:
            return status.describe_node(self._loop.state, self._loop.now())

        @litestar.get('/v1/config')
        async def show_config() -> model.Configuration:
            return self._loop.state.index.configuration

        @litestar.post('/v1/config', status_code=200)
        async def apply_config(request: Request) -> Reply:
            return await self._apply_tables(await request.body())

        @litestar.get('/v1/timeline')
        async def show_timeline(
            request: Request,
        ) -> models.TimelineReply:
            return self._select_timeline(dict(request.query_params))

        @litestar.get('/v1/moves')
        async def show_moves() -> models.MovesReply:
            known = self._loop.state.moves
            return models.MovesReply(moves=known.all, verdicts=known.verdicts)

        @litestar.get('/v1/explain')
        async def explain(request: Request) -> explanation.Explanation:
            text = request.query_params.get('request', '')
            return explanation.explain(
                self._loop.state,
                explanation.parse_question(text.encode()),
                self._loop.now(),
            )

        @litestar.post('/v1/drain', status_code=202)
        async def drain() -> models.NodeStatus:
            now = self._loop.now()
            self._loop.post(events.DrainRequested(now.mono + self._drain_ms))
            return status.describe_node(self._loop.state, now)

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
                explain,
                drain,
            ],
            guards=[self._check_operator_key],
            exception_handlers={errors.TeaselbridgeError: _handle_error},
            request_max_body_size=MAX_BODY_BYTES,
            openapi_config=None,
            logging_config=None,
        )

    def _check_operator_key(
        self,
        connection: litestar.connection.ASGIConnection[
            typing.Any, typing.Any, typing.Any, typing.Any
        ],
        _: litestar.handlers.BaseRouteHandler,
    ) -> None:
        """Check the operator key of a request.

        :raises litestar.exceptions.NotAuthorizedException: the key is
            missing or wrong.
        """
        if (
            not self._operator_key
            or connection.url.path in UNAUTHENTICATED_PATHS
        ):
            return
        key = names.parse_bearer_key(dict(connection.headers))
        if not hmac.compare_digest(key.encode(), self._operator_key.encode()):
            raise litestar.exceptions.NotAuthorizedException(
                "the operators' key is missing or wrong"
            )

    async def _apply_tables(self, body: bytes) -> Reply:
        """Check new tables, post them to the reducer and await the outcome.

        :raises errors.TeaselbridgeError: the body or the tables are invalid.
        """
        document = documents.decode(body, dict[str, object], 'request')
        wanted = documents.convert(document, models.ApplyRequest, 'request')
        check.check(wanted.tables)
        ticket = next(self._tickets)
        writer = f'{self._loop.state.options.me.name}/{uuid_utils.uuid7()}'
        future = asyncio.get_running_loop().create_future()
        self._pending[ticket] = future
        self._loop.post(
            events.ApplyRequested(ticket, wanted.base, wanted.tables, writer)
        )
        outcome = await future
        return litestar.Response(
            msgspec.json.encode(_build_apply_reply(outcome)),
            status_code=APPLY_STATUS_CODES[type(outcome)],
            media_type='application/json',
        )

    def _complete_apply(self, effect: effects.SendApplyResult) -> None:
        """Pass the outcome to the request that waits for it."""
        future = self._pending.pop(effect.ticket)
        if not future.done():
            future.set_result(effect.outcome)

    def _select_timeline(
        self, query: dict[str, typing.Any]
    ) -> models.TimelineReply:
        """Return the timeline entries that match the query parameters."""
        try:
            wanted = msgspec.convert(query, timeline.Filter, strict=False)
        except msgspec.ValidationError as error:
            raise errors.DocumentError('query', '$', str(error)) from error
        return models.TimelineReply(entries=self._loop.timeline.select(wanted))


def _build_apply_reply(outcome: effects.ApplyOutcome) -> models.ApplyReply:
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


def _handle_error(
    request: Request, error: errors.TeaselbridgeError
) -> litestar.Response[bytes]:
    reply = models.ErrorReply(error=type(error).__name__, detail=str(error))
    return litestar.Response(
        msgspec.json.encode(reply),
        status_code=400,
        media_type='application/json',
    )
