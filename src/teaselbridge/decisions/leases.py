"""Leases: at most one node controls a pool, and knows until when.

A lease is a key that the key-value service deletes when its time is over.
The revision at which the key was created grows with each holder and fences
its orders. The holder counts its time from before it sent the grant or the
renewal, less a margin for the longest way of an order, so that its last
order has arrived before its lease can end by itself.

A lease may also end early, by a fault of the service. Backend servers that
refuse old fencing numbers are safe from that. Before a new holder orders
others, it waits out all the time that the one before may count on.
Whoever is in doubt holds still.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import placement
from teaselbridge.decisions import tickets

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

TTL_MS = 9_000
RENEW_MS = 3_000
RETRY_MS = 500
LOOK_MS = 3_000
CANDIDATES = 2
ORDER_WAY_MS = 2_000
MARGIN_MS = ORDER_WAY_MS + 500
DUTIES = 'duties'


class Phase(enum.Enum):
    """Where the way to a lease stands."""

    IDLE = 'idle'
    READING = 'reading'
    GRANTING = 'granting'
    CREATING = 'creating'
    HELD = 'held'
    KEEPING = 'keeping'


HOLDING = frozenset({Phase.HELD, Phase.KEEPING})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Times:
    """Times of a lease, in milliseconds.

    :param ttl_ms: how long it lasts.
    :param renew_ms: how often it is renewed.
    :param margin_ms: longest way of an order, with a little more.
    :param look_ms: how often the others look whether it is free.
    """

    ttl_ms: int = TTL_MS
    renew_ms: int = RENEW_MS
    margin_ms: int = MARGIN_MS
    look_ms: int = LOOK_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """Content of a lease's key.

    :param node: node that holds it.
    :param token: unique token of the attempt to take it.
    """

    node: str
    token: str


@dataclasses.dataclass(slots=True)
class Lease:
    """The lease of one pool, as this node sees it.

    :param until: monotonic milliseconds; orders may be sent before.
    :param orders_from: monotonic milliseconds; servers that do not check
        fencing numbers get no orders before.
    :param fence: number that orders carry.
    :param holder: node that was last seen to hold it.
    """

    pool: str
    phase: Phase = Phase.IDLE
    due: int = 0
    number: int = 0
    sent: int = 0
    until: int = 0
    orders_from: int = 0
    fence: int = 0
    token: str = ''
    holder: str = ''
    tries: int = 0


class Leases:
    """Leases of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, Lease] = {}

    @property
    def all(self) -> list[Lease]:
        """Every lease that was looked at."""
        return list(self._by_pool.values())

    def get(self, pool: str) -> Lease:
        """Give the lease of a pool."""
        return self._by_pool.setdefault(pool, Lease(pool))

    def held(self, pool: str, now: clock.Instant) -> Lease | None:
        """Give the lease of a pool if this node may act on it now."""
        lease = self._by_pool.get(pool)
        if lease is None or lease.phase not in HOLDING:
            return None
        return lease if now.mono < lease.until else None


def held(
    state: states.State, subject: str, now: clock.Instant
) -> Lease | None:
    """Give a lease if this node may act on it now."""
    return state.leases.held(subject, now)


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Take, renew and give up leases, as far as due."""
    out: list[effects.Effect] = []
    for subject in _subjects(state):
        lease = state.leases.get(subject)
        if lease.phase in HOLDING:
            out += _renew(state, lease, now)
        elif lease.phase is Phase.IDLE and lease.due <= now.mono:
            out += _look(state, lease, now)
    return out


def give_up(state: states.State) -> list[effects.Effect]:
    """Let go of all leases at once, before a stop."""
    out: list[effects.Effect] = []
    for lease in state.leases.all:
        if lease.phase in HOLDING:
            ticket = tickets.LeaseTicket(lease.pool)
            out.append(effects.RevokeLease(ticket, lease.number))
            lease.phase = Phase.IDLE
            lease.until = 0
    return out


def read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """The key of a lease was read."""
    lease = _find(state, event.ticket)
    if lease is None or lease.phase is not Phase.READING:
        return []
    if event.value is None:
        return _grant(state, lease, now)
    found = msgspec.json.decode(event.value, type=Holder)
    lease.holder = found.node
    if lease.token and found.token == lease.token:
        return _hold(state, lease, event.revision, now)
    return _rest(state, lease, now)


def granted(
    state: states.State, event: events.LeaseGranted, now: clock.Instant
) -> list[effects.Effect]:
    """The platform granted a lease: create the key under it."""
    lease = _find(state, event.ticket)
    if lease is None or lease.phase is not Phase.GRANTING:
        return []
    lease.phase = Phase.CREATING
    lease.number = event.number
    me = state.options.me
    holder = Holder(node=me.name, token=lease.token)
    return [
        effects.SwapKey(
            ticket=tickets.LeaseTicket(lease.pool),
            key=key_of(lease.pool),
            value=msgspec.json.encode(holder),
            revision=0,
            lease=lease.number,
        )
    ]


def swapped(
    state: states.State, event: events.KeySwapped, now: clock.Instant
) -> list[effects.Effect]:
    """The creation of the key was decided."""
    lease = _find(state, event.ticket)
    if lease is None or lease.phase is not Phase.CREATING:
        return []
    if not event.swapped:
        return _rest(state, lease, now)
    lease.holder = state.options.me.name
    return _hold(state, lease, event.revision, now)


def kept(
    state: states.State, event: events.LeaseKept, now: clock.Instant
) -> list[effects.Effect]:
    """A renewal was answered."""
    lease = _find(state, event.ticket)
    if lease is None or lease.phase is not Phase.KEEPING:
        return []
    if not event.stands:
        return _lose(state, lease, 'it had lapsed', now)
    lease.phase = Phase.HELD
    lease.until = lease.sent + _usable_ms(state)
    lease.due = lease.sent + state.options.lease.renew_ms
    return []


def failed(
    state: states.State, event: events.KeyFailed, now: clock.Instant
) -> list[effects.Effect]:
    """A call got no answer: a holder renews again, others look again."""
    lease = _find(state, event.ticket)
    if lease is None:
        return []
    lease.phase = Phase.HELD if lease.phase is Phase.KEEPING else Phase.IDLE
    lease.due = now.mono + RETRY_MS
    return []


def key_of(pool: str) -> str:
    """Name the key of a pool's lease."""
    return f'/teaselbridge/lease/{pool}'


def candidates(state: states.State, pool: str) -> list[str]:
    """Name the few nodes that may take a lease, as this node sees it."""
    workers = state.membership.workers
    return placement.first(workers, CANDIDATES, 'lease', pool)


def is_candidate(state: states.State, pool: str) -> bool:
    """Tell whether this node is one of the few that may take a lease."""
    return state.options.me.name in candidates(state, pool)


def _subjects(state: states.State) -> list[str]:
    """List what this node may take leases of: each pool, or all duties."""
    if state.options.bounds is None:
        return [pool.name for pool in state.index.pools]
    return [DUTIES] if state.options.bounds.duties else []


def _look(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    if state.drain is not None or not is_candidate(state, lease.pool):
        return _rest(state, lease, now)
    lease.phase = Phase.READING
    ticket = tickets.LeaseTicket(lease.pool)
    return [effects.ReadKey(ticket, key_of(lease.pool))]


def _grant(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    me = state.options.me
    lease.tries += 1
    lease.token = f'{me.name}/{me.incarnation}/{lease.tries}'
    lease.phase = Phase.GRANTING
    lease.sent = now.mono
    ticket = tickets.LeaseTicket(lease.pool)
    return [effects.GrantLease(ticket, state.options.lease.ttl_ms)]


def _renew(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    if now.mono >= lease.until:
        return _lose(state, lease, 'it could not be renewed in time', now)
    if lease.phase is Phase.KEEPING or lease.due > now.mono:
        return []
    lease.phase = Phase.KEEPING
    lease.sent = now.mono
    ticket = tickets.LeaseTicket(lease.pool)
    return [effects.KeepLease(ticket, lease.number)]


def _hold(
    state: states.State, lease: Lease, revision: int, now: clock.Instant
) -> list[effects.Effect]:
    lease.phase = Phase.HELD
    lease.orders_from = now.mono
    if not _is_first_holder(state, now):
        lease.orders_from += state.options.lease.ttl_ms
    lease.fence = revision
    lease.until = lease.sent + _usable_ms(state)
    lease.due = lease.sent + state.options.lease.renew_ms
    return [
        effects.Record(
            mark=effects.Mark.LEASE_TAKEN,
            pool=lease.pool,
            detail=f'fencing number {revision}',
        )
    ]


def _is_first_holder(state: states.State, now: clock.Instant) -> bool:
    """Tell whether no holder before can have orders on their way.

    That is so while the deployment starts for the first time: a lease that
    another node took then has not ended yet.
    """
    bounds = state.options.bounds
    if bounds is None or not bounds.first_start:
        return False
    age = now.wall - state.options.me.incarnation
    return 0 <= age < state.options.lease.ttl_ms


def _lose(
    state: states.State, lease: Lease, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    lease.until = 0
    lease.token = ''
    _rest(state, lease, now)
    return [
        effects.Record(
            mark=effects.Mark.LEASE_LOST, pool=lease.pool, detail=cause
        )
    ]


def _rest(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    lease.phase = Phase.IDLE
    lease.due = now.mono + state.options.lease.look_ms
    return []


def _usable_ms(state: states.State) -> int:
    times = state.options.lease
    return times.ttl_ms - times.margin_ms


def _find(state: states.State, ticket: tickets.Ticket) -> Lease | None:
    if isinstance(ticket, tickets.LeaseTicket):
        return state.leases.get(ticket.pool)
    return None
