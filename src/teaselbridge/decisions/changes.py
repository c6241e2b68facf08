"""Operators' changes of the tables, from request to outcome.

The whole configuration is one value that is written by compare-and-swap. Each
written value lists the writers of the last generations. If the answer to a
write is lost after the write took effect, a read therefore finds the outcome,
even where another change was written on top.
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

CHANGE_TIMEOUT_MS = 8_000
RETRY_DELAY_MS = 250


@dataclasses.dataclass(slots=True)
class _PendingChange:
    """Change whose outcome is not known yet.

    :param request: event that requested it.
    :param until: monotonic milliseconds at which it is given up.
    :param retry_at: monotonic milliseconds before which no call is made.
    :param busy: whether a call for it is in flight.
    :param in_doubt: whether a write may have taken effect unnoticed.
    :param wanted: configuration that was last written, none before.
    """

    request: events.ApplyRequested
    until: int
    retry_at: int = 0
    busy: bool = False
    in_doubt: bool = False
    wanted: model.Configuration | None = None


class PendingChanges:
    """Changes whose outcome is not known yet."""

    def __init__(self) -> None:
        self._open: dict[int, _PendingChange] = {}

    def add(self, change: _PendingChange) -> None:
        """Add a change."""
        self._open[change.request.ticket] = change

    def get(self, ticket: tickets.Ticket) -> _PendingChange | None:
        """Return the change that a call was made for, if it is open."""
        if isinstance(ticket, tickets.ChangeTicket):
            return self._open.get(ticket.number)
        return None

    def close(self, change: _PendingChange) -> None:
        """Remove a change."""
        del self._open[change.request.ticket]

    def all(self) -> list[_PendingChange]:
        """Return the open changes."""
        return list(self._open.values())


def handle_apply_requested(
    state: states.State, event: events.ApplyRequested, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an operator's change: read the stored configuration first."""
    change = _PendingChange(event, now.mono + CHANGE_TIMEOUT_MS)
    state.changes.add(change)
    return _start_read(change)


def handle_key_read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of reading the stored configuration.

    The change is finished if it was written or lost the race; otherwise it
    is written.
    """
    change = state.changes.get(event.ticket)
    if change is None:
        return []
    change.busy = False
    current = configurations.decode(event.value)
    accepted = _find_generation(current, change.request.writer)
    if accepted is not None:
        return _finish(state, change, effects.Applied(accepted))
    if current.generation != change.request.base:
        return _finish(state, change, _describe_lost_race(current, change))
    return _start_write(change, current, event.revision)


def handle_key_swapped(
    state: states.State, event: events.KeySwapped, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of a write.

    If another change was written first, the stored configuration is read to
    tell the operator which one.
    """
    change = state.changes.get(event.ticket)
    if change is None or change.wanted is None:
        return []
    change.busy = False
    if not event.swapped:
        return _start_read(change)
    wanted = change.wanted
    out = _finish(state, change, effects.Applied(wanted.generation))
    return out + configurations.adopt(state, wanted, 'applied here', now)


def failed(
    state: states.State, event: events.KeyFailed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a call without an answer: read again after a delay."""
    change = state.changes.get(event.ticket)
    if change is None:
        return []
    change.busy = False
    change.in_doubt = change.in_doubt or event.in_doubt
    change.retry_at = now.mono + RETRY_DELAY_MS
    return []


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Retry the changes whose delay is over and fail those out of time."""
    out: list[effects.Effect] = []
    for change in state.changes.all():
        if change.until <= now.mono:
            outcome = effects.ApplyFailed(change.in_doubt)
            out += _finish(state, change, outcome)
        elif not change.busy and change.retry_at <= now.mono:
            out += _start_read(change)
    return out


def _start_read(change: _PendingChange) -> list[effects.Effect]:
    change.busy = True
    ticket = tickets.ChangeTicket(change.request.ticket)
    return [effects.ReadKey(ticket, configurations.CONFIGURATION_KEY)]


def _start_write(
    change: _PendingChange, current: model.Configuration, revision: int
) -> list[effects.Effect]:
    change.busy = True
    change.wanted = model.Configuration(
        generation=current.generation + 1,
        writer=change.request.writer,
        writers=(change.request.writer, *current.writers)[: model.MAX_WRITERS],
        tables=change.request.tables,
    )
    return [
        effects.SwapKey(
            ticket=tickets.ChangeTicket(change.request.ticket),
            key=configurations.CONFIGURATION_KEY,
            value=msgspec.json.encode(change.wanted),
            revision=revision,
        )
    ]


def _finish(
    state: states.State, change: _PendingChange, outcome: effects.ApplyOutcome
) -> list[effects.Effect]:
    state.changes.close(change)
    mark = effects.Mark.CHANGE_LOST
    if isinstance(outcome, effects.Applied):
        mark = effects.Mark.CHANGE_APPLIED
    detail = f'writer {change.request.writer}: {outcome}'
    return [
        effects.RecordEntry(mark=mark, detail=detail),
        effects.SendApplyResult(change.request.ticket, outcome),
    ]


def _find_generation(current: model.Configuration, writer: str) -> int | None:
    """Return the generation that a writer wrote, if it is listed."""
    if writer not in current.writers:
        return None
    return current.generation - current.writers.index(writer)


def _describe_lost_race(
    current: model.Configuration, change: _PendingChange
) -> effects.LostRace:
    """Return the outcome of a change that another one preceded."""
    return effects.LostRace(
        generation=current.generation,
        writer=current.writer,
        changes=diff.diff(current.tables, change.request.tables),
    )
