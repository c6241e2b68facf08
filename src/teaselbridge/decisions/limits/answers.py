"""Handling of the terms in the answers of backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions.limits import terms as terms_module

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states


def handle_terms_stated(
    state: states.State, event: events.TermsStated, now: clock.Instant
) -> list[effects.Effect]:
    """Handle what an answer says about the terms of its server."""
    statement = terms_module.Statement(
        terms=event.terms, asked_at=event.asked_at, heard_at=now.mono
    )
    state.terms.invalid_hosts.discard(event.host)
    return merge_statement(state, event.host, statement, 'answer')


def handle_terms_invalid(
    state: states.State, event: events.TermsInvalid
) -> list[effects.Effect]:
    """Handle terms that cannot be used: the terms known before remain.

    They are recorded once until an answer of the server is valid again.
    """
    if event.host in state.terms.invalid_hosts:
        return []
    state.terms.invalid_hosts.add(event.host)
    return [_build_record(state, event.host, event.detail)]


def merge_statement(
    state: states.State,
    host: str,
    statement: terms_module.Statement,
    source: str,
) -> list[effects.Effect]:
    """Merge a statement of a server, and record a change of its terms.

    :param source: who passed the statement on, for the timeline.
    """
    if not state.terms.merge(host, statement):
        return []
    detail = f'{describe(state.terms.get(host))}, by {source}'
    return [_build_record(state, host, detail)]


def count_attempt(state: states.State, host: str) -> list[effects.Effect]:
    """Count an attempt if its server has named a rate."""
    if state.terms.get(host).rate is None:
        return []
    server = state.servers.get(host)
    pool = '' if server is None else server.row.pool
    return [effects.Count(effects.Counter.LIMITED_ATTEMPTS, pool)]


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
