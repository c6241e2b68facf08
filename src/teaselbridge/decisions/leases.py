"""Per-pool leases that elect one controlling node at a time.

A lease is a key that the key-value service deletes when its TTL expires.
The revision at which the key was created increases with each holder. With the
era of the store, which rises when revisions are given out again, it makes the
fencing token of the holder's orders. The holder counts the TTL from
before it sent the grant or the renewal, less a margin for the longest
delivery time of an order, so that its last order has arrived before the
lease can expire.

A fault of the service may end a lease early. Backend servers that reject
old fencing tokens are protected from the previous holder even then. Before
a new holder sends orders to other servers, it waits for the whole time that
the previous holder may still consider its lease valid. A node that does not
know whether it holds the lease sends no orders.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec

from teaselbridge.decisions import active
from teaselbridge.decisions import effects
from teaselbridge.decisions import eras
from teaselbridge.decisions import events
from teaselbridge.decisions import placement
from teaselbridge.decisions import tickets

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

TTL_MS = 9_000
RENEW_INTERVAL_MS = 3_000
RETRY_DELAY_MS = 500
CHECK_INTERVAL_MS = 3_000
CANDIDATE_COUNT = 2
MAX_ORDER_DELAY_MS = 2_000
MARGIN_MS = MAX_ORDER_DELAY_MS + 500
DUTIES_LEASE = 'duties'


class Phase(enum.Enum):
    """States of acquiring and keeping a lease."""

    IDLE = 'idle'
    READING = 'reading'
    GRANTING = 'granting'
    CREATING = 'creating'
    HELD = 'held'
    RENEWING = 'keeping'


HELD_PHASES = frozenset({Phase.HELD, Phase.RENEWING})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Timing of a lease, in milliseconds.

    :param ttl_ms: TTL of the lease.
    :param renew_interval_ms: interval between renewals.
    :param margin_ms: longest delivery time of an order, plus a reserve; the
        holder stops sending orders this long before the TTL expires.
    :param check_interval_ms: interval at which other candidates check whether
        the lease is free.
    """

    ttl_ms: int = TTL_MS
    renew_interval_ms: int = RENEW_INTERVAL_MS
    margin_ms: int = MARGIN_MS
    check_interval_ms: int = CHECK_INTERVAL_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """Value of a lease's key in the key-value service.

    :param node: node that holds it.
    :param token: unique token of the attempt to acquire it.
    """

    node: str
    token: str


@dataclasses.dataclass(slots=True)
class Lease:
    """State of one pool's lease at this node.

    :param next_action_at: monotonic milliseconds of the next check or renewal.
    :param number: id of the lease in the key-value service.
    :param sent: monotonic milliseconds at which the last grant or renewal
        was sent.
    :param until: monotonic milliseconds; orders may be sent before.
    :param orders_from: monotonic milliseconds; servers that do not check
        fencing tokens get no orders before.
    :param fence: fencing token of the holder's orders.
    :param token: token of this node's last attempt to acquire the lease.
    :param holder: node that was last seen to hold it.
    :param attempt_count: attempts of this node to acquire the lease.
    """

    pool: str
    phase: Phase = Phase.IDLE
    next_action_at: int = 0
    number: int = 0
    sent: int = 0
    until: int = 0
    orders_from: int = 0
    fence: int = 0
    token: str = ''
    holder: str = ''
    attempt_count: int = 0


class Leases:
    """State of all leases at this node."""

    def __init__(self) -> None:
        self._by_pool: dict[str, Lease] = {}

    @property
    def all(self) -> list[Lease]:
        """Every lease that this node has checked so far."""
        return list(self._by_pool.values())

    def get(self, pool: str) -> Lease:
        """Return the lease of a pool, created on first use."""
        return self._by_pool.setdefault(pool, Lease(pool))

    def held(self, pool: str, now: clock.Instant) -> Lease | None:
        """Return the lease of a pool if this node may send orders now."""
        lease = self._by_pool.get(pool)
        if lease is None or lease.phase not in HELD_PHASES:
            return None
        return lease if now.mono < lease.until else None


def held(
    state: states.State, subject: str, now: clock.Instant
) -> Lease | None:
    """Return a lease if this node may send orders under it now."""
    return state.leases.held(subject, now)


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Check, renew and expire leases that are due."""
    out: list[effects.Effect] = []
    for subject in _list_subjects(state):
        lease = state.leases.get(subject)
        if lease.phase in HELD_PHASES:
            out += _renew_lease(state, lease, now)
        elif lease.phase is Phase.IDLE and lease.next_action_at <= now.mono:
            out += _read_key(state, lease, now)
    return out


def revoke_all(state: states.State) -> list[effects.Effect]:
    """Revoke all held leases at once, before a shutdown."""
    out: list[effects.Effect] = []
    for lease in state.leases.all:
        if lease.phase in HELD_PHASES:
            ticket = tickets.LeaseTicket(lease.pool)
            out.append(effects.RevokeLease(ticket, lease.number))
            lease.phase = Phase.IDLE
            lease.until = 0
    return out


def void_all(
    state: states.State, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    """Treat all leases as lost, since the store may not have them any more.

    They are not revoked: their numbers may belong to other leases now.
    """
    out: list[effects.Effect] = []
    for lease in state.leases.all:
        if lease.phase in HELD_PHASES:
            out += _mark_lost(state, lease, cause, now)
        lease.token = ''
        lease.number = 0
        _schedule_check(state, lease, now)
    return out


def handle_key_read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the value of a lease's key.

    A free lease is requested. A key with the token of this node's own
    attempt means that the creation succeeded although its answer was lost.
    """
    lease = _find_lease(state, event.ticket)
    if lease is None or lease.phase is not Phase.READING:
        return []
    if event.value is None:
        return _request_grant(state, lease, now)
    stored = msgspec.json.decode(event.value, type=Holder)
    lease.holder = stored.node
    if lease.token and stored.token == lease.token:
        return _mark_held(state, lease, event.revision, now)
    return _schedule_check(state, lease, now)


def handle_lease_granted(
    state: states.State, event: events.LeaseGranted, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a granted lease by creating its key under it."""
    lease = _find_lease(state, event.ticket)
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


def handle_key_swapped(
    state: states.State, event: events.KeySwapped, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of creating the key."""
    lease = _find_lease(state, event.ticket)
    if lease is None or lease.phase is not Phase.CREATING:
        return []
    if not event.swapped:
        return _schedule_check(state, lease, now)
    lease.holder = state.options.me.name
    return _mark_held(state, lease, event.revision, now)


def handle_lease_renewed(
    state: states.State, event: events.LeaseRenewed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the answer to a renewal."""
    lease = _find_lease(state, event.ticket)
    if lease is None or lease.phase is not Phase.RENEWING:
        return []
    if not event.is_valid:
        return _mark_lost(state, lease, 'the lease had expired', now)
    lease.phase = Phase.HELD
    lease.until = lease.sent + _usable_ms(state)
    lease.next_action_at = lease.sent + state.options.lease.renew_interval_ms
    return []


def failed(
    state: states.State, event: events.KeyFailed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an unanswered call.

    A holder renews again, other nodes read the key again.
    """
    lease = _find_lease(state, event.ticket)
    if lease is None:
        return []
    lease.phase = Phase.HELD if lease.phase is Phase.RENEWING else Phase.IDLE
    lease.next_action_at = now.mono + RETRY_DELAY_MS
    return []


def key_of(pool: str) -> str:
    """Return the key of a pool's lease."""
    return f'/teaselbridge/lease/{pool}'


def list_candidates(
    state: states.State, pool: str, count: int = CANDIDATE_COUNT
) -> list[str]:
    """Return the few nodes that may acquire a lease.

    They follow from this node's view of the membership. Nodes that callers
    are not sent to come first: they have time, and their loss costs least.

    :param count: number of nodes. With a higher one, those that become
        candidates when others are lost follow the present ones.
    """
    workers = state.membership.serving_nodes
    names = active.list_names(state)
    idle = [name for name in workers if name not in names]
    if len(idle) >= CANDIDATE_COUNT:
        workers = idle
    return placement.first(workers, count, 'lease', pool)


def is_candidate(state: states.State, pool: str) -> bool:
    """Return whether this node is a candidate for a lease."""
    return state.options.me.name in list_candidates(state, pool)


def _list_subjects(state: states.State) -> list[str]:
    """List the leases that this node may acquire.

    There is one lease for each pool, or a single one for all duties where
    the users' platform assigns duties.
    """
    if state.options.bounds is None:
        return [pool.name for pool in state.index.pools]
    return [DUTIES_LEASE] if state.options.bounds.duties else []


def _read_key(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    if state.drain is not None or not is_candidate(state, lease.pool):
        return _schedule_check(state, lease, now)
    lease.phase = Phase.READING
    ticket = tickets.LeaseTicket(lease.pool)
    return [effects.ReadKey(ticket, key_of(lease.pool))]


def _request_grant(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    me = state.options.me
    lease.attempt_count += 1
    lease.token = f'{me.name}/{me.incarnation}/{lease.attempt_count}'
    lease.phase = Phase.GRANTING
    lease.sent = now.mono
    ticket = tickets.LeaseTicket(lease.pool)
    return [effects.GrantLease(ticket, state.options.lease.ttl_ms)]


def _renew_lease(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    if now.mono >= lease.until:
        return _mark_lost(
            state, lease, 'the lease could not be renewed in time', now
        )
    if lease.phase is Phase.RENEWING or lease.next_action_at > now.mono:
        return []
    lease.phase = Phase.RENEWING
    lease.sent = now.mono
    ticket = tickets.LeaseTicket(lease.pool)
    return [effects.RenewLease(ticket, lease.number)]


def _mark_held(
    state: states.State, lease: Lease, revision: int, now: clock.Instant
) -> list[effects.Effect]:
    lease.phase = Phase.HELD
    lease.orders_from = now.mono
    if not _is_first_holder(state, now):
        lease.orders_from += state.options.lease.ttl_ms
    lease.fence = eras.compute_number(state.store_view.era, revision)
    lease.until = lease.sent + _usable_ms(state)
    lease.next_action_at = lease.sent + state.options.lease.renew_interval_ms
    return [
        effects.RecordEntry(
            mark=effects.Mark.LEASE_TAKEN,
            pool=lease.pool,
            detail=f'fencing token {lease.fence}',
        )
    ]


def _is_first_holder(state: states.State, now: clock.Instant) -> bool:
    """Return whether no previous holder can have orders in flight.

    This holds during the first start of the deployment: a lease that another
    node acquired since then cannot have expired yet.
    """
    bounds = state.options.bounds
    if bounds is None or not bounds.first_start:
        return False
    if state.store_view.restored_at is not None:
        return False
    age = now.wall - state.options.me.incarnation
    return 0 <= age < state.options.lease.ttl_ms


def _mark_lost(
    state: states.State, lease: Lease, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    lease.until = 0
    lease.token = ''
    _schedule_check(state, lease, now)
    return [
        effects.RecordEntry(
            mark=effects.Mark.LEASE_LOST, pool=lease.pool, detail=cause
        )
    ]


def _schedule_check(
    state: states.State, lease: Lease, now: clock.Instant
) -> list[effects.Effect]:
    lease.phase = Phase.IDLE
    lease.next_action_at = now.mono + state.options.lease.check_interval_ms
    return []


def _usable_ms(state: states.State) -> int:
    times = state.options.lease
    return times.ttl_ms - times.margin_ms


def _find_lease(state: states.State, ticket: tickets.Ticket) -> Lease | None:
    if isinstance(ticket, tickets.LeaseTicket):
        return state.leases.get(ticket.pool)
    return None
