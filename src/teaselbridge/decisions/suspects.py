"""Prompt parts that crash the engines that begin an answer to them.

No two of the requests that hold such a part need to be alike, so suspicion is
kept for the part. A crash accuses the parts of every prompt whose answer had
just begun at that engine, except the last part, which no other request
shares. A sound answer clears all parts of its prompt, since a part that
crashes engines never gets one; so a part that is in most prompts is not
blamed for its company.

A part is refused once it is accused of several crashes that no other part
explains as well. Until then each node tries one request with it at a time,
away from other suspects, so that the next crash leaves fewer of them.
Accusations and their withdrawals only grow and are gossiped, so that they may
arrive late, repeatedly or in any order. Records of refused parts are also kept
in the store, for the case that all nodes are lost.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import broadcasts
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import placement
from teaselbridge.decisions import requests
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

MIN_CRASHES = 2
# Parts with so many crashes are not tried any more.
MAX_TRIED_CRASHES = 4
# An engine crashes within a few steps of the first token, so an answer that
# lasts longer is sound, and one that began earlier is not the cause.
CRASH_DELAY_MS = 1_000
# A part with a sound answer this recently is not accused.
SOUND_MS = 5_000
# How long a part is refused after the last request with it.
RECORD_TTL_MS = 600_000
# Callers make up parts, so both are bounded.
MAX_RECORDS = 500
MAX_SOUND_PARTS = 20_000
REFUSED_RETRY_AFTER_MS = 30_000
# Nodes that write a record, so that one of them is there.
WRITERS = 2


class Standing(enum.IntEnum):
    """Standing of a part; a higher one overrides a lower one."""

    CLEAR = 0
    SUSPECT = 1
    REFUSED = 2


class PartRecords:
    """Accused prompt parts, and parts with a recent sound answer."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, messages.PartCrashes] = (
            collections.OrderedDict()
        )
        self._standings: dict[str, Standing] = {}
        self._sound_at: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._unsaved: set[str] = set()

    @property
    def records(self) -> tuple[messages.PartCrashes, ...]:
        """All records, those of cleared parts included."""
        return tuple(self._records.values())

    @property
    def has_accused(self) -> bool:
        """Whether any part is accused."""
        return bool(self._standings)

    @property
    def refused(self) -> list[str]:
        """Parts that are refused."""
        return [
            part
            for part, standing in self._standings.items()
            if standing is Standing.REFUSED
        ]

    def get(self, part: str) -> messages.PartCrashes:
        """Return the record of a part, which must be known."""
        return self._records[part]

    def get_standing(self, part: str) -> Standing:
        """Return the standing of a part."""
        return self._standings.get(part, Standing.CLEAR)

    def is_sound(self, part: str, mono: int) -> bool:
        """Return whether a part had a sound answer recently.

        :param mono: monotonic milliseconds.
        """
        sound_at = self._sound_at.get(part)
        return sound_at is not None and mono - sound_at < SOUND_MS

    def add_sound(self, part: str, mono: int) -> None:
        """Record a sound answer to a prompt with this part."""
        self._sound_at[part] = mono
        self._sound_at.move_to_end(part)
        if len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)

    def merge(self, record: messages.PartCrashes) -> bool:
        """Merge accusations and withdrawals.

        :return: whether any was not known before and is known now.
        """
        known = self._records.get(record.part)
        merged = record if known is None else known.merge(record)
        if merged == known:
            return False
        was_kept = self._is_kept(record.part)
        self._records[record.part] = merged
        self._update_standings()
        if len(self._records) > MAX_RECORDS:
            self._drop_least()
        if was_kept or self._is_kept(record.part):
            self._unsaved.add(record.part)
        return record.part in self._records

    def take_unsaved(self) -> list[messages.PartCrashes]:
        """Return and forget the records to keep in the store."""
        unsaved = [
            self._records[part]
            for part in sorted(self._unsaved)
            if part in self._records
        ]
        self._unsaved.clear()
        return unsaved

    def _is_kept(self, part: str) -> bool:
        """Return whether the record of a part is kept in the store."""
        record = self._records.get(part)
        return record is not None and (
            self.get_standing(part) is Standing.REFUSED
            or len(record.accused) >= MAX_TRIED_CRASHES
        )

    def _drop_least(self) -> None:
        """Drop the oldest record of the lowest standing."""
        least = min(self._records, key=self.get_standing)
        del self._records[least]
        self._update_standings()

    def expire(self, wall: int) -> None:
        """Remove expired records.

        :param wall: wall-clock milliseconds.
        """
        expired = [
            record.part
            for record in self._records.values()
            if record.until < wall
        ]
        for part in expired:
            del self._records[part]
        if expired:
            self._update_standings()

    def _update_standings(self) -> None:
        accused = {
            record.part: record.accused
            for record in self._records.values()
            if record.accused
        }
        self._standings = {
            part: _compute_standing(part, accused) for part in accused
        }


def _compute_standing(
    part: str, accused: dict[str, frozenset[str]]
) -> Standing:
    """Return the standing of an accused part.

    A crash is explained by another part that is accused of as many crashes
    or more.

    :param accused: hosts whose crashes each part is accused of.
    """
    hosts = accused[part]
    if len(hosts) < MIN_CRASHES:
        return Standing.SUSPECT
    explained = frozenset[str]().union(
        *(
            others
            for other, others in accused.items()
            if other != part and len(others) >= len(hosts)
        )
    )
    return Standing.SUSPECT if hosts <= explained else Standing.REFUSED


def list_shared_parts(call: calls.Call) -> list[str]:
    """Return the parts of a prompt that other requests may share."""
    return [part.id for part in call.parts[:-1]]


def accuse(
    state: states.State, call: calls.Call, host: str, now: clock.Instant
) -> list[effects.Effect]:
    """Accuse the parts of a prompt of the crash of a host.

    :param call: request whose answer had just begun there.
    """
    out: list[effects.Effect] = []
    for part in list_shared_parts(call):
        if state.parts.is_sound(part, now.mono):
            continue
        record = messages.PartCrashes(
            part=part, hosts=(host,), until=now.wall + RECORD_TTL_MS
        )
        out += _merge_and_broadcast(state, record, f'crash of {host}')
    return out


def record_sound_answer(
    state: states.State, call: calls.Call, now: clock.Instant
) -> list[effects.Effect]:
    """Clear the parts of a prompt that got a sound answer."""
    out: list[effects.Effect] = []
    for part in list_shared_parts(call):
        state.parts.add_sound(part, now.mono)
        if state.parts.get_standing(part) is not Standing.CLEAR:
            out += _clear(state, part, f'sound answer to {call.key.id}')
    return out


def merge_record(
    state: states.State, record: messages.PartCrashes, now: clock.Instant
) -> list[effects.Effect]:
    """Merge the record of another node."""
    return _merge_foreign(state, record, 'gossip', now)


def handle_part_read(
    state: states.State, event: events.PartRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a record that was read from the store."""
    if not event.is_lifted:
        return _merge_foreign(state, event.record, 'store', now)
    if state.parts.get_standing(event.record.part) is Standing.CLEAR:
        return []
    return _clear(state, event.record.part, 'lifted by an operator')


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Forget expired records, and keep new ones of refused parts."""
    state.parts.expire(now.wall)
    out: list[effects.Effect] = []
    for record in state.parts.take_unsaved():
        names = active.list_names(state)
        writers = placement.first(names, WRITERS, 'record', record.part)
        keep_ms = min(RECORD_TTL_MS, record.until - now.wall)
        if state.options.me.name in writers and keep_ms > 0:
            out.append(effects.StorePart(record, keep_ms))
    return out


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Check whether a request holds a part that is refused.

    While requests with the part still come, it stays refused.
    """
    if not state.parts.has_accused:
        return None
    accused = sorted(_list_accused(state, call))
    refused = [part for part in accused if _is_refused_here(state, part)]
    refused = refused or _find_refused_pair(state, accused)
    if not refused:
        return None
    for part in refused:
        _renew(state, part, now)
    return calls.Refusal(
        calls.Reason.POISON,
        calls.RunStatus.NOT_RUN,
        f'servers crashed as they answered prompts with {", ".join(refused)}',
        REFUSED_RETRY_AFTER_MS,
    )


def filter_for_trial(
    state: states.State,
    request: requests.Request,
    candidates: list[servers.Server],
) -> list[servers.Server]:
    """Return the servers on which a request may be tried.

    One request with a suspect part runs at a time, and no two suspects run on
    one server, so that a crash shows which part is its cause.

    :return: all candidates where the request holds no suspect part.
    """
    if not state.parts.has_accused:
        return candidates
    wanted = _list_accused(state, request.call)
    if not wanted:
        return candidates
    occupied = set()
    for other in state.requests.values():
        if other is request or other.phase is not requests.Phase.RUNNING:
            continue
        held = _list_accused(state, other.call)
        if held & wanted:
            return []
        if held:
            occupied.add(other.host)
            if other.silent is not None:
                occupied.add(other.silent.host)
    return [server for server in candidates if server.host not in occupied]


def _list_accused(state: states.State, call: calls.Call) -> set[str]:
    return {
        part
        for part in list_shared_parts(call)
        if state.parts.get_standing(part) is not Standing.CLEAR
    }


def _is_refused_here(state: states.State, part: str) -> bool:
    """Return whether this node refuses a part.

    One node goes on trying a part with few crashes, so that a part that is
    refused by mistake is cleared.
    """
    if state.parts.get_standing(part) is not Standing.REFUSED:
        return False
    if len(state.parts.get(part).accused) >= MAX_TRIED_CRASHES:
        return True
    names = active.list_names(state)
    return state.options.me.name not in placement.first(
        names, 1, 'trial', part
    )


def _find_refused_pair(state: states.State, parts: list[str]) -> list[str]:
    """Return two parts that were together in many crashes.

    Nothing may tell which of them is the cause. A prompt with both shows
    nothing more, whereas one with only one of them is tried.

    :param parts: accused parts of a prompt.
    :return: no parts where there are no such two.
    """
    for first, second in itertools.combinations(parts, 2):
        shared = (
            state.parts.get(first).accused & state.parts.get(second).accused
        )
        if len(shared) >= MAX_TRIED_CRASHES:
            return [first, second]
    return []


def _renew(state: states.State, part: str, now: clock.Instant) -> None:
    """Keep the record of a part while requests with it still come."""
    record = state.parts.get(part)
    if record.until - now.wall < RECORD_TTL_MS // 2:
        until = now.wall + RECORD_TTL_MS
        state.parts.merge(dataclasses.replace(record, until=until))
        state.membership.updates.add_part(part)


def _merge_foreign(
    state: states.State,
    record: messages.PartCrashes,
    cause: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Merge a record that this node has not made.

    A part that has had sound answers at this node is cleared at once.
    """
    out = _merge(state, record, cause)
    if state.parts.get_standing(record.part) is Standing.CLEAR:
        return out
    if state.parts.is_sound(record.part, now.mono):
        out += _clear(state, record.part, 'recent sound answers')
    return out


def _clear(state: states.State, part: str, cause: str) -> list[effects.Effect]:
    record = state.parts.get(part)
    cleared = dataclasses.replace(record, cleared=record.hosts)
    return _merge_and_broadcast(state, cleared, cause)


def _merge_and_broadcast(
    state: states.State, record: messages.PartCrashes, cause: str
) -> list[effects.Effect]:
    out = _merge(state, record, cause)
    if out:
        update = messages.Gossip(
            parts=(state.parts.get(record.part),),
            generation=state.index.generation,
        )
        out += broadcasts.broadcast(state, update)
    return out


def _merge(
    state: states.State, record: messages.PartCrashes, cause: str
) -> list[effects.Effect]:
    """Merge a record and gossip what was not known before.

    :return: an entry of the timeline, if anything was not known before.
    """
    if not state.parts.merge(record):
        return []
    state.membership.updates.add_part(record.part)
    accused = sorted(state.parts.get(record.part).accused)
    standing = state.parts.get_standing(record.part)
    detail = (
        f'part {record.part} after {cause}: {standing.name.lower()},'
        f' accused of {len(accused)} crashes {",".join(accused[:8])}'
    )
    return [effects.RecordEntry(mark=effects.Mark.PART_ACCUSED, detail=detail)]
