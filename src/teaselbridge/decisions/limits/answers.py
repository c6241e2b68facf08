"""Handling of the terms in the answers of backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions.limits import room
from teaselbridge.decisions.limits import sending
from teaselbridge.decisions.limits import terms as terms_module

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# A server may change its terms with each answer.
RECORD_INTERVAL_MS = 1_000


def handle_terms_stated(
    state: states.State, event: events.TermsStated, now: clock.Instant
) -> list[effects.Effect]:
    """Handle what an answer says about the terms of its server."""
    statement = terms_module.Statement(
        terms=event.terms, asked_at=event.asked_at, heard_at=now.mono
    )
    state.limits.terms.invalid_hosts.discard(event.host)
    return merge_statement(state, event.host, statement, 'answer', now)


def handle_terms_invalid(
    state: states.State, event: events.TermsInvalid
) -> list[effects.Effect]:
    """Handle terms that cannot be used: the terms known before remain.

    They are recorded once until an answer of the server is valid again.
    """
    if event.host in state.limits.terms.invalid_hosts:
        return []
    state.limits.terms.invalid_hosts.add(event.host)
    return [_build_record(state, event.host, event.detail)]


def merge_statement(
    state: states.State,
    host: str,
    statement: terms_module.Statement,
    source: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Merge a statement of a server, and apply a change of its terms.

    The nodes that are to share a rate learn at once that it is named.

    :param source: who passed the statement on, for the timeline.
    """
    known = state.limits.terms
    before = known.get(host)
    if not known.merge(host, statement):
        return []
    sending.update_rate(state, host, now)
    room.learn_pool(state, host)
    if not before.is_restrictive:
        state.loads.next_update_at = now.mono
    has_begun_or_ended = (
        before.is_restrictive is not known.get(host).is_restrictive
    )
    if not known.try_record(host, RECORD_INTERVAL_MS, now) and not (
        has_begun_or_ended
    ):
        return []
    detail = f'{describe(state.limits.terms.get(host))}, by {source}'
    return [_build_record(state, host, detail)]


def describe(terms: terms_module.Terms) -> str:
    """Describe terms for the timeline."""
    if not terms.is_restrictive:
        return 'no limits'
    parts = []
    if terms.rate is not None:
        parts.append(f'{terms.rate:g} requests/s')
    if terms.refusals is not None:
        parts.append(f'{terms.refusals:g} refusals/s')
    return ', '.join(parts)


def _build_record(
    state: states.State, host: str, detail: str
) -> effects.RecordEntry:
    server = state.servers.get(host)
    return effects.RecordEntry(
        mark=effects.Mark.SERVER_TERMS,
        pool='' if server is None else server.row.pool,
        host=host,
        detail=detail,
    )
