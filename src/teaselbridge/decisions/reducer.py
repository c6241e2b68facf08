"""The reducer over all events of a node."""

from __future__ import annotations

import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import arrival
from teaselbridge.decisions import attempts
from teaselbridge.decisions import capacity
from teaselbridge.decisions import changes
from teaselbridge.decisions.cold import rates as cold_rates
from teaselbridge.decisions import configuration
from teaselbridge.decisions import confirmation
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions.evacuation import zones
from teaselbridge.decisions import events
from teaselbridge.decisions.forwarding import links
from teaselbridge.decisions import knowledge
from teaselbridge.decisions import leases
from teaselbridge.decisions.limits import answers
from teaselbridge.decisions.limits import sending
from teaselbridge.decisions import loads
from teaselbridge.decisions import membership
from teaselbridge.decisions import notices
from teaselbridge.decisions import orders
from teaselbridge.decisions import poison
from teaselbridge.decisions import prompts
from teaselbridge.decisions import reports
from teaselbridge.decisions import requests
from teaselbridge.decisions import restores
from teaselbridge.decisions import rollouts
from teaselbridge.decisions.room import statements
from teaselbridge.decisions import scaling
from teaselbridge.decisions import servers
from teaselbridge.decisions import steps
from teaselbridge.decisions import suspects
from teaselbridge.decisions import switching
from teaselbridge.decisions import tickets
from teaselbridge.decisions import usage
from teaselbridge.decisions import usage_exchange
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states


# A long gap between ticks tells that further ones may follow for so long.
TICK_GAP_MEMORY_MS = 1_000


class KeyCallHandler(typing.Protocol):
    """Handler for the results of a module's calls to the key-value service."""

    def handle_key_read(
        self, state: states.State, event: events.KeyRead, now: clock.Instant
    ) -> list[effects.Effect]:
        """Handle the result of a read."""

    def handle_key_swapped(
        self,
        state: states.State,
        event: events.KeySwapped,
        now: clock.Instant,
    ) -> list[effects.Effect]:
        """Handle the result of a compare-and-swap."""

    def failed(
        self,
        state: states.State,
        event: events.KeyFailed,
        now: clock.Instant,
    ) -> list[effects.Effect]:
        """Handle a call that got no usable answer."""


class ReduceError(Exception):
    """Unexpected error after some effects of an event were decided.

    These have to be carried out, as the state is already changed.

    :param decided: the effects.
    """

    def __init__(self, decided: list[effects.Effect]) -> None:
        super().__init__('the dispatch of waiting requests failed')
        self.decided = decided


def reduce(
    state: states.State, event: events.Event, now: clock.Instant
) -> list[effects.Effect]:
    """Apply one event to the state.

    It performs no I/O and reads no clock, and the only random numbers come
    from the seeded generator in the state. The state is changed in place.

    :param state: state of the node.
    :param event: what happened.
    :param now: when it happened.
    :return: effects for the runtime to carry out, in order.
    :raises ReduceError: the event was handled, and the dispatch failed.
    """
    out = _dispatch_event(state, event, now)
    if len(state.queue) and not isinstance(event, events.TokenReceived):
        waiting = dispatch.dispatch_waiting_requests(state, now)
        try:
            # Keeps what was dispatched before an error.
            for effect in waiting:
                out.append(effect)
        except Exception as error:
            raise ReduceError(out) from error
    return out


def _dispatch_event(
    state: states.State, event: events.Event, now: clock.Instant
) -> list[effects.Effect]:
    """Dispatch an event to its handler, the frequent kinds first."""
    match event:
        case events.TokenReceived():
            return attempts.token(state, event, now)
        case (
            events.StreamEventsReceived()
            | events.HeadReceived()
            | events.RelayEnded()
        ):
            return attempts.handle_relay_progress(state, event, now)
        case events.Ticked():
            _record_tick_gap(state, now)
            state.heard_until = now.mono
            if event.heard_until is not None:
                state.heard_until = event.heard_until
            return _tick(state, now)
        case events.DelayElapsed():
            out = orders.apply_step(state, state.ledger.tick(now), now)
            return out + switching.end_overlaps(state, now)
        case events.CallArrived():
            state.arrivals.record(now)
            return arrival.handle_call_arrived(state, event, now)
        case events.CallerDisconnected():
            return requests.handle_caller_disconnected(state, event, now)
        case events.StreamEnded():
            return attempts.handle_stream_ended(state, event, now)
        case events.AnswerReceived():
            return attempts.answer(state, event, now)
        case events.AttemptFailed():
            return attempts.handle_attempt_failed(state, event, now)
        case events.PeerMessageReceived():
            return _handle_message(state, event, now)
        case events.KeyRead() | events.KeySwapped() | events.KeyFailed():
            return _handle_key_result(state, event, now)
        case _:
            return _dispatch_infrequent(state, event, now)


def _dispatch_infrequent(
    state: states.State, event: events.Event, now: clock.Instant
) -> list[effects.Effect]:
    """Dispatch an event of the less frequent kinds."""
    match event:
        case events.LeaseGranted():
            return leases.handle_lease_granted(state, event, now)
        case events.LeaseRenewed():
            return leases.handle_lease_renewed(state, event, now)
        case events.PricesRead():
            return capacity.handle_prices_read(state, event)
        case events.HostStarted():
            return capacity.handle_host_started(state, event, now)
        case events.HostsRead():
            return servers.handle_hosts_read(state, event, now)
        case events.ReclaimAnnounced():
            return servers.handle_reclaim_announced(state, event, now)
        case events.AttemptSent():
            return switching.handle_attempt_sent(state, event, now)
        case events.LoadReported():
            return servers.handle_load_reported(state, event, now)
        case events.LoadMissing():
            return servers.handle_load_missing(state, event, now)
        case events.ApplyRequested():
            return changes.handle_apply_requested(state, event, now)
        case events.StatusRequested():
            return orders.look(state, event, now)
        case events.CacheCopied():
            return [prompts.count(event)]
        case events.DrainRequested():
            return drain.handle_drain_requested(state, event, now)
        case _:
            return _dispatch_platform_event(state, event, now)


def _dispatch_platform_event(
    state: states.State, event: events.Event, now: clock.Instant
) -> list[effects.Effect]:
    """Dispatch an event that comes from the deployment platform."""
    match event:
        case events.AnswerLoadReceived():
            return statements.handle_answer_load_received(state, event, now)
        case events.AnswerLoadInvalid():
            return statements.handle_answer_load_invalid(state, event, now)
        case events.PartRead():
            return suspects.handle_part_read(state, event, now)
        case events.ServerChecked():
            return poison.handle_server_checked(state, event, now)
        case events.LinkProbed():
            return links.handle_link_probed(state, event, now)
        case events.ServerNoticed():
            return notices.handle_server_noticed(state, event, now)
        case events.TermsStated():
            return answers.handle_terms_stated(state, event, now)
        case events.TermsInvalid():
            return answers.handle_terms_invalid(state, event)
        case events.ConfigurationRead():
            return knowledge.handle_configuration_read(state, event, now)
        case events.ServersListed():
            return knowledge.handle_servers_listed(state, event, now)
        case events.ServersChanged():
            return knowledge.handle_servers_changed(state, event, now)
        case events.NodesListed():
            return knowledge.nodes(state, event, now)
        case events.EvacuationsListed():
            return zones.handle_evacuations_listed(state, event, now)
        case events.EvacuationsChanged():
            return zones.handle_evacuations_changed(state, event)
        case events.StoreCallEnded():
            return knowledge.handle_store_call_ended(state, event, now)
        case events.StoreEraSeen():
            return restores.handle_store_era_seen(state, event, now)
        case events.EntryUndecodable():
            return knowledge.handle_entry_undecodable(state, event)
        case events.ServerOrderAnswered():
            return scaling.handle_server_order_answered(state, event, now)
        case events.UsageReportAnswered():
            return usage.handle_usage_report_answered(state, event, now)
        case events.RolloutOrdered():
            return rollouts.handle_rollout_ordered(state, event, now)
        case events.RolloutEnded():
            return rollouts.handle_rollout_ended(state, event, now)
        case events.MoveStatusWritten():
            return rollouts.handle_move_status_written(state, event, now)
    return []


def _record_tick_gap(state: states.State, now: clock.Instant) -> None:
    """Measure the time between ticks, and the longest recent one."""
    if state.ticked_at:
        state.tick_gap_ms = now.mono - state.ticked_at
        age_ms = now.mono - state.longest_tick_gap_at
        if (
            state.tick_gap_ms >= state.longest_tick_gap_ms
            or age_ms > TICK_GAP_MEMORY_MS
        ):
            state.longest_tick_gap_ms = state.tick_gap_ms
            state.longest_tick_gap_at = now.mono
    state.ticked_at = now.mono


def _tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Do all work that is due."""
    out = membership.tick(state, now)
    if state.options.bounds is None:
        out += _tick_standalone(state, now)
    else:
        out += _tick_platform(state, now)
    state.poison.expire(now.wall)
    for request in list(state.requests.values()):
        out += attempts.tick(state, request, now)
        if request.handle in state.requests:
            out += dispatch.refuse_if_too_late(state, request, now)
        if request.uses_claim and request.handle in state.requests:
            out += orders.tick(state, request, now)
    out += drain.tick(state, now)
    return out


def _tick_platform(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Do the work that is due only on the deployment platform."""
    out = active.tick(state, now)
    out += knowledge.tick(state, now)
    out += confirmation.tick(state, now)
    out += leases.tick(state, now)
    out += loads.tick(state, now)
    out += cold_rates.tick(state, now)
    out += zones.tick(state, now)
    out += sending.tick(state, now)
    out += links.tick(state, now)
    out += usage_exchange.tick(state, now)
    out += usage.tick(state, now)
    out += scaling.tick(state, now)
    out += rollouts.tick(state, now)
    out += reports.tick(state, now)
    out += suspects.tick(state, now)
    return out


def _tick_standalone(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Do the work that is due only with the services of ``standins``."""
    out = servers.request_load_reports(state, now)
    out += orders.apply_step(state, state.ledger.tick(now), now)
    out += changes.tick(state, now)
    out += leases.tick(state, now)
    out += steps.tick(state, now)
    out += reports.tick(state, now)
    out += capacity.tick(state, now)
    return out


def _handle_key_result(
    state: states.State,
    event: events.KeyRead | events.KeySwapped | events.KeyFailed,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Dispatch the result of a key-value call by its ticket."""
    out = _track_keyvalue(state, event, now)
    match event.ticket:
        case tickets.BucketTicket():
            return out + _handle_bucket_result(state, event, now)
        case tickets.ChangeTicket():
            return out + _forward_result(changes, state, event, now)
        case tickets.LeaseTicket():
            return out + _forward_result(leases, state, event, now)
        case tickets.MoveTicket():
            return out + _forward_result(steps, state, event, now)
        case tickets.UsageTicket():
            return out + _forward_result(usage, state, event, now)
    if isinstance(event, events.KeyRead):
        out += configuration.handle_key_read(state, event, now)
    return out


def _handle_bucket_result(
    state: states.State,
    event: events.KeyRead | events.KeySwapped | events.KeyFailed,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Apply the result of a key-value call of the ledger."""
    match event:
        case events.KeyRead():
            step = state.ledger.handle_key_read(event, now)
        case events.KeySwapped():
            step = state.ledger.handle_key_swapped(event, now)
        case events.KeyFailed():
            step = state.ledger.failed(event, now)
    return orders.apply_step(state, step, now)


def _forward_result(
    module: KeyCallHandler,
    state: states.State,
    event: events.KeyRead | events.KeySwapped | events.KeyFailed,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Pass the result of a key-value call to the module that made it."""
    match event:
        case events.KeyRead():
            return module.handle_key_read(state, event, now)
        case events.KeySwapped():
            return module.handle_key_swapped(state, event, now)
        case events.KeyFailed():
            return module.failed(state, event, now)


def _track_keyvalue(
    state: states.State,
    event: events.KeyRead | events.KeySwapped | events.KeyFailed,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Track whether the key-value service answers."""
    answered = not isinstance(event, events.KeyFailed)
    if answered:
        state.keyvalue_answered_at = now.mono
    if answered is state.keyvalue_up:
        return []
    state.keyvalue_up = answered
    mark = effects.Mark.KEYVALUE_DOWN
    if answered:
        mark = effects.Mark.KEYVALUE_UP
    return [effects.RecordEntry(mark=mark)]


def _handle_message(
    state: states.State, event: events.PeerMessageReceived, now: clock.Instant
) -> list[effects.Effect]:
    """Dispatch a message of a peer to its handler."""
    membership.record_message(state, event.sender, now)
    match event.message:
        case messages.ConfigurationAsked() as message:
            return configuration.handle_configuration_asked(state, message)
        case messages.ConfigurationSent() as message:
            found = message.configuration
            return configuration.adopt(state, found, event.sender, now)
        case messages.ConfigurationChanged() as message:
            return configuration.change(state, message, event.sender, now)
        case messages.Loads() as message:
            return loads.handle_loads(state, message, now)
        case messages.UsageCounts() as message:
            return usage_exchange.handle_usage_counts(state, message, now)
        case messages.UsageAsked() as message:
            return usage_exchange.handle_usage_asked(state, message, now)
        case messages.ChangesAsked() as message:
            return confirmation.handle_changes_asked(state, message, now)
        case messages.ChangesSent() as message:
            return confirmation.handle_changes_sent(
                state, message, event.sender, now
            )
        case messages.Scores() as message:
            return reports.handle_scores(state, message, now)
        case messages.LedgerAsked() as message:
            return orders.handle_ledger_asked(state, message, now)
        case messages.LedgerTold() as message:
            return orders.handle_ledger_told(state, message, now)
        case messages.HandOver() as message:
            return drain.handle_hand_over(state, message, now)
        case messages.HandOverTaken() as message:
            return drain.taken(state, message, now)
        case _:
            return membership.handle_message(
                state, event.sender, event.message, now
            )
