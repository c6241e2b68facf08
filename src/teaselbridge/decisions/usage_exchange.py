"""Exchange of usage counts with the nodes that may have to report them.

Each node pushes its counts to the candidates for the duties lease, to the
nodes that would be the next candidates, and to the holder that asked last. It
does so a few times a second while they rise, so that little is lost with a
host, and once more when the counts of a window are final.

A holder asks for what it lacks: all nodes when it has taken over, and those
whose counts of an ended window are not final when that window is due. The
answer to a holder also contains the counts of nodes that are gone.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import leases
from teaselbridge.decisions import usage
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Nodes that have the counts: the two candidates for the lease and as many that
# succeed them. If half of all hosts are lost at once, all four are lost in one
# of sixteen cases.
RECEIVERS = 4
# Each node sends at this interval for each node of the fleet, within bounds,
# so that a receiver gets about a hundred messages a second in a fleet of 64.
INTERVAL_PER_NODE_MS = 8
MIN_INTERVAL_MS = 250
MAX_INTERVAL_MS = 1_000
# A start that is counted a moment later belongs to the earlier window.
FINAL_DELAY_MS = 250
ASK_INTERVAL_MS = 500
# A holder that is no candidate any more asks again for each window.
ASKER_TTL_MS = 15_000


class UsageExchange:
    """What this node has sent, and whom it has asked."""

    def __init__(self) -> None:
        self.next_at = 0
        self.sent_changes = 0
        self.sent_settled = 0
        self.receivers: frozenset[str] = frozenset()
        # Counts that all receivers were sent, by window and workspace.
        self.sent: dict[tuple[int, str], int] = {}
        # Nodes that asked, and the monotonic milliseconds of their last time.
        self.askers: dict[str, int] = {}
        self.fence = 0
        self.next_ask_at = 0


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Send counts that have changed, and ask for those that are missing."""
    bounds = state.options.bounds
    if bounds is None or usage.DUTY not in bounds.duties:
        return []
    return [*_push_counts(state, now), *_ask_missing(state, now)]


def handle_usage_counts(
    state: states.State, message: messages.UsageCounts, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the counts of another node; its own are the first source."""
    known = state.usage
    known.merge_clock(message.node, message.wall, now)
    for item in message.sources:
        known.merge_source(item.source, item.usage)
    for item in message.sources[:1]:
        if known.latest.get(message.node) != item.source:
            known.settled.pop(message.node, None)
        known.latest[message.node] = item.source
        # Otherwise a message that made earlier windows final was lost.
        if item.since <= known.settled.get(message.node, 0):
            known.settled[message.node] = item.settled
    if message.answers:
        known.awaited.discard(message.node)
    return []


def handle_usage_asked(
    state: states.State, message: messages.UsageAsked, now: clock.Instant
) -> list[effects.Effect]:
    """Answer a holder with all own counts and those of lost nodes."""
    if state.options.bounds is None:
        return []
    state.usage_exchange.askers[message.node] = now.mono
    source = usage.get_source(state)
    window = usage.get_window(state, now)
    live = {
        state.usage.latest.get(member.name, '')
        for member in state.membership.alive
        if member.status is messages.Status.ALIVE
    }
    others = [
        messages.UsageSource(
            source=name, usage=state.usage.list_counts(name, window)
        )
        for name in state.usage.sources
        if name != source and name not in live
    ]
    own = messages.UsageSource(
        source=source,
        usage=state.usage.list_counts(source, window),
        settled=find_settled_window(state, now),
    )
    answer = messages.UsageCounts(
        node=state.options.me.name,
        wall=now.wall,
        sources=(own, *others),
        answers=True,
    )
    return [effects.SendPeer(message.reply_to, answer)]


def find_settled_window(state: states.State, now: clock.Instant) -> int:
    """Return the first window whose counts at this node may still rise.

    A request that does not stream is counted at its answer for the time of
    its start, so that it keeps the window of its start open.
    """
    earliest = min(
        (
            request.started_at
            for request in state.requests.values()
            if not request.began
            and request.started_at
            and not request.call.route.streaming
        ),
        default=now.mono,
    )
    earliest = min(earliest, now.mono - FINAL_DELAY_MS)
    return usage.get_window(state, now.plus(earliest - now.mono))


def _push_counts(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Send counts to their receivers, at once while this node drains."""
    known = state.usage_exchange
    if now.mono < known.next_at and state.drain is None:
        return []
    nodes = 1 + len(state.membership.alive)
    known.next_at = now.mono + min(
        MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, INTERVAL_PER_NODE_MS * nodes)
    )
    settled = find_settled_window(state, now)
    receivers = _list_receivers(state, now)
    names = frozenset(member.name for member in receivers)
    added = names - known.receivers
    has_news = (
        state.usage.own_changes != known.sent_changes
        or settled > known.sent_settled
    )
    if not has_news and not added:
        return []
    window = usage.get_window(state, now)
    counts = state.usage.list_counts(usage.get_source(state), window)
    since = known.sent_settled
    # A window that becomes final is repeated as a whole, since any of the
    # earlier messages may have been lost.
    changed = tuple(
        item
        for item in counts
        if known.sent.get((item.window, item.workspace)) != item.count
        or since <= item.window < settled
    )
    known.sent = {(item.window, item.workspace): item.count for item in counts}
    known.sent_changes = state.usage.own_changes
    known.sent_settled = max(settled, known.sent_settled)
    known.receivers = names
    whole = _make_message(state, counts, settled, 0, now)
    part = _make_message(state, changed, settled, since, now)
    return [
        effects.SendPeer(member.peers, whole if member.name in added else part)
        for member in receivers
        if has_news or member.name in added
    ]


def _make_message(
    state: states.State,
    counts: tuple[messages.Usage, ...],
    settled: int,
    since: int,
    now: clock.Instant,
) -> messages.UsageCounts:
    source = messages.UsageSource(
        source=usage.get_source(state),
        usage=counts,
        settled=settled,
        since=since,
    )
    return messages.UsageCounts(
        node=state.options.me.name, wall=now.wall, sources=(source,)
    )


def _list_receivers(
    state: states.State, now: clock.Instant
) -> list[messages.Member]:
    """Return the nodes that may have to report this node's counts."""
    askers = state.usage_exchange.askers
    for name, asked_at in list(askers.items()):
        if now.mono - asked_at > ASKER_TTL_MS:
            del askers[name]
    names = {
        *leases.list_candidates(state, leases.DUTIES_LEASE, RECEIVERS),
        *askers,
    }
    return [
        member
        for member in state.membership.alive
        if member.takes_usage_counts and member.name in names
    ]


def _ask_missing(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Ask for counts that this node lacks, if it holds the duties lease."""
    lease = leases.held(state, leases.DUTIES_LEASE, now)
    if lease is None:
        return []
    known = state.usage_exchange
    if lease.fence != known.fence:
        known.fence = lease.fence
        known.next_ask_at = 0
        state.usage.asked_from = now.mono
        state.usage.awaited = {
            member.name for member in state.membership.alive
        }
    if now.mono < known.next_ask_at:
        return []
    missing = usage.list_missing(state, _find_due_window(state, now))
    if not missing:
        return []
    known.next_ask_at = now.mono + ASK_INTERVAL_MS
    me = state.options.me
    asked = messages.UsageAsked(node=me.name, reply_to=me.peers)
    return [effects.SendPeer(member.peers, asked) for member in missing]


def _find_due_window(state: states.State, now: clock.Instant) -> int:
    """Return the last window that is due for its report."""
    settled = now.plus(-usage.SETTLE_DELAY_MS)
    return usage.get_window(state, settled) - 1
