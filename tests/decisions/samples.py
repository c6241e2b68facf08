"""Sample values for tests of decisions."""

from __future__ import annotations

from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions import state as states
from teaselbridge.peers import messages
from teaselbridge.tables import model

VERSION = 'v'
ROUTE = model.Route(
    name='r', match=model.Match(model='m'), pool='p', deadline_ms=1_000
)


def state() -> states.State:
    """Make the state of a node."""
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
    return states.State(options=states.Options(me=me))


def row(host: str) -> events.HostRow:
    """Make a row of the host list."""
    return events.HostRow(
        host=host, address=host, zone='z', pool='p', version=VERSION
    )


def call(prefix: int, size: int = 5_000) -> calls.Call:
    """Make a request to an engine.

    :param prefix: hash of the prompt's head.
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
