"""Client of plain services, which return one complete response."""

from __future__ import annotations

import asyncio
import typing

import httpx

from teaselbridge.backends import faults
from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects

UNFORWARDED_HEADERS = frozenset(
    {
        'connection',
        'content-encoding',
        'content-length',
        'date',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


async def run(
    client: httpx.AsyncClient,
    effect: effects.StartAttempt,
    post: collections.abc.Callable[[events.Event], None],
) -> None:
    """Run an attempt and post its answer or its fault.

    :param client: client with pooled connections to the services. If
        ``effect.fresh`` is set, the connection is closed after the request.
    :param effect: attempt to run.
    :param post: callback that receives the events.
    """
    handle = effect.call.handle
    try:
        async with asyncio.timeout(clock.seconds(effect.first_ms)):
            response = await _send(client, effect)
        answer = _convert_response(response)
    except (httpx.HTTPError, TimeoutError, faults.BackendError) as error:
        fault = await faults.classify_error(error, effect.address)
        post(events.AttemptFailed(handle, effect.attempt, fault))
        return
    post(events.AnswerReceived(handle, effect.attempt, answer))


async def _send(
    client: httpx.AsyncClient, effect: effects.StartAttempt
) -> httpx.Response:
    call = effect.call
    headers = [(header.name, header.value) for header in call.headers]
    headers.append(('x-request-id', call.key.id))
    if not call.route.idempotent:
        headers.append(('idempotency-key', call.key.id))
    url = f'http://{effect.address}{call.path}'
    if effect.new_connection:
        headers.append(('connection', 'close'))
    return await client.request(
        call.method, url, content=call.body, headers=headers
    )


def _convert_response(response: httpx.Response) -> calls.Answer:
    """Convert a response to an answer.

    :raises faults.StatusError: the service is busy and did not run the
        request.
    """
    ran = faults.read_ran_header(response)
    if (
        response.status_code in faults.BUSY_STATUSES
        and ran is calls.RunStatus.NOT_RUN
    ):
        raise faults.StatusError(response.status_code, ran)
    headers = tuple(
        calls.Header(name, value)
        for name, value in response.headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    )
    return calls.Answer(response.status_code, headers, response.content)
