"""Exchange of load updates between nodes, a few times a second.

A load report of a backend server is outdated when it arrives, and producing
it costs the server work. Each node knows what it has sent, so the nodes send
each other this: the requests in flight on each server, the prompt tokens
that servers were sent to read, the rate-limited demand of workspaces, and
the usage counts.

Only participants take part: the active nodes, and those that may hold the
duties. The other nodes get a request now and then; they hold a small reserve
of each rate limit, and report their usage counts to those that may hold the
duties.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import effects
from teaselbridge.decisions import leases
from teaselbridge.decisions.limits import exchange
from teaselbridge.decisions.limits import room
from teaselbridge.decisions.room import reports
from teaselbridge.decisions.sharing import rotation
from teaselbridge.decisions import usage
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

UPDATE_INTERVAL_MS = rotation.UPDATE_INTERVAL_MS
# Every fourth message carries usage counts while nodes of an older build are
# alive, which take them in no other message.
USAGE_UPDATE_INTERVAL = 4
# Load of a node that sent no update for this long is ignored. Where the nodes
# get updates by turns, this is at least their period and a delay.
UPDATE_STALE_TIMEOUT_MS = 1_500
MAX_UPDATE_DELAY_MS = 500
# Interval of the reports of a node that does not take part.
IDLE_REPORT_INTERVAL_MS = 1_000
# Fraction of each rate limit that the nodes that are not active share.
IDLE_RATE_FRACTION = 0.05
# Window over which prompt tokens are summed.
READING_WINDOW_MS = 3_000
# Maximum number of pairs of server and prompt part that are remembered.
MAX_PARTS = 20_000
# Engines evict parts that were not used for about this long.
PART_TTL_MS = 40_000


@dataclasses.dataclass(slots=True)
class _PeerLoad:
    """Latest update of another node.

    :param received_at: monotonic milliseconds at which it arrived.
    :param servers: its requests in flight, by host.
    :param reading: prompt tokens that it sent recently, by pool.
    :param is_participant: whether it gets the updates of others.
    :param arrivals_per_s: requests that arrive at it per second, negative for
        unknown.
    """

    received_at: int
    servers: dict[str, messages.ServerLoad]
    reading: tuple[messages.Reading, ...]
    is_participant: bool
    arrivals_per_s: float


class Loads:
    """Load of other nodes, and prompt parts that servers have cached.

    ``age_ms`` is the mean age of what is known of the load of the other
    participants, as of the last tick, and 0 where no updates are exchanged.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _PeerLoad] = {}
        self._totals = reports.PeerTotals()
        self._part_sent_at: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._unannounced: dict[str, dict[str, None]] = {}
        self._announced: collections.deque[dict[str, dict[str, None]]] = (
            collections.deque()
        )
        self._recent_readings: collections.deque[
            tuple[int, messages.Reading]
        ] = collections.deque()
        self.age_ms = 0.0
        self.next_update_at = 0
        self.count = 0
        self.is_participant = False
        self.last_receiver = ''
        self.stale_timeout_ms = UPDATE_STALE_TIMEOUT_MS
        self.reported_usage: tuple[messages.Usage, ...] = ()
        self.duty_candidates: frozenset[str] = frozenset()

    def merge_update(
        self, message: messages.Loads, now: clock.Instant
    ) -> None:
        """Merge the load update of another node."""
        self.forget_stale(now)
        servers = {item.host: item for item in message.servers}
        previous = self._peers.get(message.node)
        if previous is not None:
            self._totals.remove(previous.servers.values())
        self._totals.add(servers.values())
        self._peers[message.node] = _PeerLoad(
            now.mono,
            servers,
            message.reading,
            message.takes_part,
            message.arrivals_per_s,
        )
        for item in message.cached:
            for part in item.parts:
                self._remember_part(item.host, part, now.mono)

    def get_arrivals(self, name: str, now: clock.Instant) -> float | None:
        """Return the requests per second that a node reported recently."""
        peer = self._peers.get(name)
        if (
            peer is None
            or peer.arrivals_per_s < 0
            or now.mono - peer.received_at >= UPDATE_STALE_TIMEOUT_MS
        ):
            return None
        return peer.arrivals_per_s

    def list_participants(self, now: clock.Instant) -> list[str]:
        """Return the participants whose updates came recently."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.is_participant
            and now.mono - peer.received_at < self.stale_timeout_ms
        ]

    def update_age(self, others: int, now: clock.Instant) -> None:
        """Update the mean age of what is known of other participants.

        Those that were not heard of recently count as long as an update
        does, since nothing is known of what they sent after that.

        :param others: number of other participants.
        """
        ages = [
            min(UPDATE_STALE_TIMEOUT_MS, now.mono - peer.received_at)
            for peer in self._peers.values()
            if peer.is_participant
        ]
        missing = max(0, others - len(ages))
        total = sum(ages) + missing * UPDATE_STALE_TIMEOUT_MS
        self.age_ms = total / max(1, missing + len(ages))

    def forget_stale(self, now: clock.Instant) -> None:
        """Remove the updates that are too old to count."""
        for name, peer in list(self._peers.items()):
            if now.mono - peer.received_at >= self.stale_timeout_ms:
                self._totals.remove(peer.servers.values())
                del self._peers[name]

    def record_part(self, host: str, part: str, now: clock.Instant) -> None:
        """Record that this node sends a part of a prompt to a server."""
        self._unannounced.setdefault(host, {})[part] = None
        self._remember_part(host, part, now.mono)

    def has_part(self, host: str, part: str, now: clock.Instant) -> bool:
        """Return whether a server was sent a part of a prompt recently."""
        sent_at = self._part_sent_at.get((host, part))
        return sent_at is not None and now.mono - sent_at < PART_TTL_MS

    def take_unannounced_parts(
        self, updates: int = 1
    ) -> tuple[messages.Cached, ...]:
        """Return the parts that some other node has not been told of yet.

        :param updates: number of updates by which each other node gets one.
        """
        self._announced.append(self._unannounced)
        self._unannounced = {}
        while len(self._announced) > updates:
            self._announced.popleft()
        parts_by_host: dict[str, dict[str, None]] = {}
        for announced in self._announced:
            for host, parts in announced.items():
                parts_by_host.setdefault(host, {}).update(parts)
        return tuple(
            messages.Cached(host=host, parts=tuple(parts))
            for host, parts in parts_by_host.items()
        )

    def record_reading(
        self, pool: str, tokens: int, prompt: int, now: clock.Instant
    ) -> None:
        """Record the tokens of a prompt that this node sent to a server.

        :param tokens: prompt tokens that the server has to read.
        :param prompt: all prompt tokens.
        """
        self._recent_readings.append(
            (
                now.mono,
                messages.Reading(pool=pool, tokens=tokens, prompts=prompt),
            )
        )

    def sum_own_readings(
        self, now: clock.Instant
    ) -> tuple[messages.Reading, ...]:
        """Return the tokens that this node sent in the window, by pool."""
        while (
            self._recent_readings
            and now.mono - self._recent_readings[0][0] > READING_WINDOW_MS
        ):
            self._recent_readings.popleft()
        readings = [item for _, item in self._recent_readings]
        pools = dict.fromkeys(item.pool for item in readings)
        return tuple(_sum_readings(pool, readings) for pool in pools)

    def reading(self, pool: str, now: clock.Instant) -> messages.Reading:
        """Return the prompt tokens per second that all nodes send a pool."""
        readings = list(self.sum_own_readings(now))
        for peer in self._peers.values():
            if now.mono - peer.received_at < self.stale_timeout_ms:
                readings += peer.reading
        total = _sum_readings(pool, readings)
        return messages.Reading(
            pool=pool,
            tokens=total.tokens * 1000 // READING_WINDOW_MS,
            prompts=total.prompts * 1000 // READING_WINDOW_MS,
        )

    def get_peers_load(self, host: str) -> tuple[messages.ServerLoad, int]:
        """Return the sum of the load of all other nodes on a server.

        Updates that became stale since `forget_stale` still count.

        :return: the sum, and how many of the requests report no held tokens.
        """
        return self._totals.get(host)

    def _remember_part(self, host: str, part: str, mono: int) -> None:
        """Remember a part as cached, and drop the oldest beyond the limit."""
        key = (host, part)
        self._part_sent_at[key] = mono
        self._part_sent_at.move_to_end(key)
        if len(self._part_sent_at) > MAX_PARTS:
            self._part_sent_at.popitem(last=False)


def _sum_readings(
    pool: str, readings: list[messages.Reading]
) -> messages.Reading:
    """Return the sum of the readings of a pool."""
    matching = [item for item in readings if item.pool == pool]
    return messages.Reading(
        pool=pool,
        tokens=sum(item.tokens for item in matching),
        prompts=sum(item.prompts for item in matching),
    )


def handle_loads(
    state: states.State, message: messages.Loads, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the load update of another node."""
    state.loads.merge_update(message, now)
    state.rates.merge_report(message, now, state.index.find_rate)
    state.usage.merge_counts(message, now)
    for item in message.servers:
        _refresh_others_load(state, item.host)
    reports.merge_reports(state, message, now)
    room.merge_full(state, message, now)
    return exchange.merge_updates(state, message, now)


def is_participant(state: states.State) -> bool:
    """Return whether this node takes part in the exchange."""
    return state.options.bounds is None or state.loads.is_participant


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Send a load update to the other participants if it is due."""
    loads = state.loads
    if state.options.bounds is None or now.mono < loads.next_update_at:
        return []
    _update_participation(state, now)
    loads.forget_stale(now)
    names = active.list_names(state) - {state.options.me.name}
    loads.update_age(len(names), now)
    receivers = _list_receivers(state, now)
    loads.next_update_at = now.mono + UPDATE_INTERVAL_MS
    others = _estimate_others(state, len(receivers))
    period_ms = rotation.get_period_ms(len(receivers))
    loads.stale_timeout_ms = max(
        UPDATE_STALE_TIMEOUT_MS, period_ms + MAX_UPDATE_DELAY_MS
    )
    state.rates.record_start(now, others, period_ms)
    state.rates.forget_peers(_list_gone(state))
    if not loads.is_participant:
        return _report_usage(state, now)
    loads.count += 1
    for server in state.servers.all:
        _refresh_others_load(state, server.host)
    message = _make_update(state, period_ms // UPDATE_INTERVAL_MS, now)
    return [
        effects.SendPeer(member.peers, message)
        for member in _choose_receivers(state, receivers)
    ]


def _choose_receivers(
    state: states.State, receivers: list[messages.Member]
) -> list[messages.Member]:
    """Choose the nodes that get this update, each of them once a period."""
    loads = state.loads
    by_name = {member.name: member for member in receivers}
    names = rotation.choose_window(
        sorted(by_name), loads.last_receiver or state.options.me.name
    )
    if names:
        loads.last_receiver = names[-1]
    return [by_name[name] for name in names]


def _list_gone(state: states.State) -> list[str]:
    """Return the nodes that certainly admit no more requests.

    A node that is only out of reach may admit requests, so that one that
    the membership takes for dead must have left the host list as well.
    """
    listed = {item.address for item in state.servers.entries}
    gone = []
    for name in state.rates.list_peers():
        member = state.membership.get_peer(name)
        if member is None:
            continue
        is_dead = member.status is messages.Status.DEAD
        if member.status is messages.Status.LEFT or (
            is_dead and listed and member.peers not in listed
        ):
            gone.append(name)
    return gone


def _update_participation(state: states.State, now: clock.Instant) -> None:
    """Determine whether this node takes part, and its share of the rates.

    A node that takes no callers for the moment, such as in an outage of the
    store, stays what it was.
    """
    loads = state.loads
    me = state.options.me.name
    names = active.list_names(state)
    loads.duty_candidates = frozenset(
        leases.list_candidates(state, leases.DUTIES_LEASE)
    )
    if not state.membership.me.draining or me in names:
        loads.is_participant = (
            me in names
            or me in loads.duty_candidates
            or leases.held(state, leases.DUTIES_LEASE, now) is not None
        )
    idle = 1 + len(state.membership.alive) - len(names | {me})
    if idle <= 0:
        state.rates.set_share(1.0)
    elif me in names:
        state.rates.set_share(1 - IDLE_RATE_FRACTION)
    else:
        state.rates.set_share(IDLE_RATE_FRACTION / idle)


def _report_usage(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Report new usage counts of a node that does not take part.

    Only nodes of an older build need this, see `usage_exchange`.
    """
    loads = state.loads
    loads.next_update_at = now.mono + IDLE_REPORT_INTERVAL_MS
    window = usage.get_window(state, now)
    counts = state.usage.list_counts(usage.get_source(state), window)
    if not counts or counts == loads.reported_usage:
        return []
    loads.reported_usage = counts
    message = messages.Loads(
        node=state.options.me.name,
        incarnation=state.options.me.incarnation,
        wall=now.wall,
        servers=(),
        usage=counts,
        takes_part=False,
    )
    return [
        effects.SendPeer(member.peers, message)
        for member in state.membership.alive
        if member.name in loads.duty_candidates
        and not member.takes_usage_counts
    ]


def _estimate_others(state: states.State, receivers: int) -> int:
    """Return how many other nodes may take part.

    Nodes that the store lists and that are not known yet may.
    """
    listed = {item.address for item in state.servers.entries}
    listed.discard(state.options.me.peers)
    known_idle = len(state.membership.alive) - receivers
    return max(receivers, len(listed) - known_idle)


def _list_receivers(
    state: states.State, now: clock.Instant
) -> list[messages.Member]:
    """Return the other nodes that take part, as far as is known."""
    names = {
        *active.list_names(state),
        *state.loads.duty_candidates,
        *state.loads.list_participants(now),
    }
    return [
        member for member in state.membership.alive if member.name in names
    ]


def _make_update(
    state: states.State, updates: int, now: clock.Instant
) -> messages.Loads:
    """Return the load update of this node.

    :param updates: number of updates by which each other node gets one.
    """
    usage_counts: tuple[messages.Usage, ...] = ()
    is_due = state.loads.count % USAGE_UPDATE_INTERVAL == 0
    if (is_due or state.drain is not None) and any(
        not member.takes_usage_counts for member in state.membership.alive
    ):
        window = usage.get_window(state, now)
        usage_counts = state.usage.list_counts(usage.get_source(state), window)
    me = state.options.me
    return messages.Loads(
        node=me.name,
        incarnation=me.incarnation,
        wall=now.wall,
        servers=reports.build_reports(state, now),
        cached=state.loads.take_unannounced_parts(updates),
        demand=state.rates.get_demand(now),
        usage=usage_counts,
        reading=state.loads.sum_own_readings(now),
        terms=exchange.take_updates(state, now),
        full=room.list_full(state, now),
        arrivals_per_s=round(state.arrivals.get_per_s(now), 1),
    )


def _refresh_others_load(state: states.State, host: str) -> None:
    """Set the load of other nodes on a server from their updates."""
    server = state.servers.get(host)
    if server is None:
        return
    others, uncounted = state.loads.get_peers_load(host)
    server.other_requests = others.running
    server.other_prefill_tokens = others.prefill
    guessed = uncounted * state.usual.get_held(server.row.pool)
    server.profile.other_tokens = others.tokens + round(guessed)
