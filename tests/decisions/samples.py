"""Sample values for tests of decisions."""

from __future__ import annotations

import dataclasses

from teaselbridge import clock
from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions import state as states
from teaselbridge.peers import messages
from teaselbridge.tables import model

VERSION = 'v'
ROUTE = model.Route(
    name='r', match=model.Match(model='m'), pool='p', deadline_ms=1_000
)


def state(platform_bounds: bounds.Bounds | None = None) -> states.State:
    """Return the state of a node.

    :param platform_bounds: requirements of the deployment platform, none
        without one.
    """
    me = messages.Member(
        name='n',
        incarnation=1,
        status=messages.Status.ALIVE,
        peers='',
        callers='',
        admin='',
        zone='z',
        region='r',
    )
    return states.State(options=states.Options(me=me, bounds=platform_bounds))


def row(host: str) -> events.HostRow:
    """Return a row of the host list."""
    return events.HostRow(
        host=host, address=host, zone='z', pool='p', version=VERSION
    )


def call(prefix: int, size: int = 5_000) -> calls.Call:
    """Return a request to an engine.

    :param prefix: hash of the start of the prompt.
    :param size: characters of the prompt.
    """
    return calls.Call(
        handle=1,
        key=calls.RequestKey('w', 'x'),
        route=ROUTE,
        kind=model.Kind.ENGINE,
        deadline=1_000,
        id_time=0,
        path='/x',
        prefix=prefix,
        prompt_size=size,
    )


def instant(mono: int) -> clock.Instant:
    """Return a moment whose wall clock is ahead of its monotonic clock."""
    return clock.Instant(mono, 1_000_000 + mono)


def relayed(
    handle: int = 1,
    *,
    parts: tuple[calls.PromptPart, ...] = (),
    workspace: str = 'w',
    tokens_in: int = 0,
    deadline: int = 10_000,
    **route: object,
) -> calls.Call:
    """Return a relayed request.

    :param route: fields of its route.
    """
    full_route = dataclasses.replace(
        model.Route(
            name='r',
            match=model.Match(path='/r/', host='h'),
            pool='p',
            goal_ms=400,
        ),
        **route,  # type: ignore[arg-type]
    )
    return calls.Call(
        handle=handle,
        key=calls.RequestKey(workspace, f'attempt-{handle}'),
        route=full_route,
        kind=model.Kind.RELAYED,
        deadline=deadline,
        path='/r/x',
        parts=parts,
        tokens_in=tokens_in,
    )
