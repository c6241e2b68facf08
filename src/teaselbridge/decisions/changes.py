"""An operator's change of the tables, from question to outcome.

The whole configuration is one value under compare-and-swap. Each accepted
value lists the writers of the last generations, so that an answer lost
after the write took effect is settled by reading, even where another change
has come on top.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from teaselbridge.decisions import configuration as configurations
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import tickets
from teaselbridge.tables import diff
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

GIVE_UP_MS = 8_000
RETRY_MS = 250


@dataclasses.dataclass(slots=True)
class _Change:
    ask: events.ApplyAsked
    until: int
    due: int = 0
    busy: bool = False
    in_doubt: bool = False
    wanted: model.Configuration | None = None


class Changes:
    """Changes whose outcome is not known yet."""

    def __init__(self) -> None:
        self._open: dict[int, _Change] = {}

    def add(self, change: _Change) -> None:
        """Remember a change."""
        self._open[change.ask.ticket] = change

    def get(self, ticket: tickets.Ticket) -> _Change | None:
        """Find the change that a call was made for."""
        if isinstance(ticket, tickets.ApplyTicket):
            return self._open.get(ticket.number)
        return None

    def close(self, change: _Change) -> None:
        """Forget a change."""
        del self._open[change.ask.ticket]

    def all(self) -> list[_Change]:
        """List the open changes."""
        return list(self._open.values())


def ask(
    state: states.State, event: events.ApplyAsked, now: clock.Instant
) -> list[effects.Effect]:
    """An operator wants new tables: read what stands first."""
    change = _Change(event, now.mono + GIVE_UP_MS)
    state.changes.add(change)
    return _read(change)


def read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """What stands was read: settle, lose or write."""
    change = state.changes.get(event.ticket)
    if change is None:
        return []
    change.busy = False
    standing = configurations.decode(event.value)
    accepted = _accepted_as(standing, change.ask.writer)
    if accepted is not None:
        return _finish(state, change, effects.Applied(accepted))
    if standing.generation != change.ask.base:
        return _finish(state, change, _lost(standing, change))
    return _write(change, standing, event.revision)


def swapped(
    state: states.State, event: events.KeySwapped, now: clock.Instant
) -> list[effects.Effect]:
    """The write was decided; a lost one is read to say who won."""
    change = state.changes.get(event.ticket)
    if change is None or change.wanted is None:
        return []
    change.busy = False
    if not event.swapped:
        return _read(change)
    wanted = change.wanted
    out = _finish(state, change, effects.Applied(wanted.generation))
    return out + configurations.adopt(state, wanted, 'applied here', now)


def failed(
    state: states.State, event: events.KeyFailed, now: clock.Instant
) -> list[effects.Effect]:
    """A call got no answer: read again after a while."""
    change = state.changes.get(event.ticket)
    if change is None:
        return []
    change.busy = False
    change.in_doubt = change.in_doubt or event.in_doubt
    change.due = now.mono + RETRY_MS
    return []


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Go on where a wait is over; answer what is out of time."""
    out: list[effects.Effect] = []
    for change in state.changes.all():
        if change.until <= now.mono:
            outcome = effects.ApplyFailed(change.in_doubt)
            out += _finish(state, change, outcome)
        elif not change.busy and change.due <= now.mono:
            out += _read(change)
    return out


def _read(change: _Change) -> list[effects.Effect]:
    change.busy = True
    ticket = tickets.ApplyTicket(change.ask.ticket)
    return [effects.ReadKey(ticket, configurations.KEY)]


def _write(
    change: _Change, standing: model.Configuration, revision: int
) -> list[effects.Effect]:
    change.busy = True
    change.wanted = model.Configuration(
        generation=standing.generation + 1,
        writer=change.ask.writer,
        writers=(change.ask.writer, *standing.writers)[: model.WRITERS],
        tables=change.ask.tables,
    )
    return [
        effects.SwapKey(
            ticket=tickets.ApplyTicket(change.ask.ticket),
            key=configurations.KEY,
            value=msgspec.json.encode(change.wanted),
            revision=revision,
        )
    ]


def _finish(
    state: states.State, change: _Change, outcome: effects.ApplyOutcome
) -> list[effects.Effect]:
    state.changes.close(change)
    mark = effects.Mark.CHANGE_LOST
    if isinstance(outcome, effects.Applied):
        mark = effects.Mark.CHANGE_APPLIED
    detail = f'writer {change.ask.writer}: {outcome}'
    return [
        effects.Record(mark=mark, detail=detail),
        effects.AnswerApply(change.ask.ticket, outcome),
    ]


def _accepted_as(standing: model.Configuration, writer: str) -> int | None:
    if writer not in standing.writers:
        return None
    return standing.generation - standing.writers.index(writer)


def _lost(standing: model.Configuration, change: _Change) -> effects.LostRace:
    return effects.LostRace(
        generation=standing.generation,
        writer=standing.writer,
        changes=diff.diff(standing.tables, change.ask.tables),
    )
