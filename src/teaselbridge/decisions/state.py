"""State of one node, owned and changed by the reducer alone."""

from __future__ import annotations

import dataclasses
import random
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import admission
from teaselbridge.decisions import bounds as bounds_module
from teaselbridge.decisions import capacity
from teaselbridge.decisions import carrying
from teaselbridge.decisions import changes
from teaselbridge.decisions import demand
from teaselbridge.decisions.evacuation import zones
from teaselbridge.decisions.forwarding import links
from teaselbridge.decisions import freshness
from teaselbridge.decisions import knowledge
from teaselbridge.decisions import leases
from teaselbridge.decisions import ledger
from teaselbridge.decisions.limits import known
from teaselbridge.decisions import loads
from teaselbridge.decisions import members
from teaselbridge.decisions import moves
from teaselbridge.decisions import placement
from teaselbridge.decisions import poison
from teaselbridge.decisions import prefill
from teaselbridge.decisions import prompts
from teaselbridge.decisions import retry
from teaselbridge.decisions import rollouts
from teaselbridge.decisions.room import memory
from teaselbridge.decisions.room import speeds
from teaselbridge.decisions import scaling
from teaselbridge.decisions import servers
from teaselbridge.decisions.sharing import rates
from teaselbridge.decisions import suspects
from teaselbridge.decisions import usage
from teaselbridge.decisions import usage_exchange
from teaselbridge.tables import join
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import drain
    from teaselbridge.decisions import requests
    from teaselbridge.peers import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Settings that the decision logic uses.

    :param me: this node, as its peers see it.
    :param seeds: ``ip:port`` of peers to join through.
    :param queue: most requests that may wait for a backend server.
    :param address_ttl_ms: time to live that callers are told for the
        address list.
    :param address_list_max_age_ms: longest time for which any caller keeps the
        address list.
    :param seed: seed of the random generator.
    :param policy: placement policy, which chooses the backend server.
    :param lease: timing of leases.
    :param bounds: requirements of the deployment platform, none where the
        node runs on the simulated services of ``standins``.
    """

    me: messages.Member
    seeds: tuple[str, ...] = ()
    queue: int = 512
    address_ttl_ms: int = 2_000
    address_list_max_age_ms: int = 2_000
    seed: int = 0
    policy: placement.Policy = placement.prefix_aware
    lease: leases.LeaseTimes = leases.LeaseTimes()
    bounds: bounds_module.Bounds | None = None


class State:
    """State of one node.

    ``previous_configurations`` holds earlier configurations, newest first,
    from which deltas for peers are made. ``held`` maps the key of a request to
    its handle, and ``attached_handles`` the handle of a call that was sent
    again to the handle of the request that it was attached to.
    ``status_queries`` holds the handles of status queries that wait for the
    ledger. ``last_adopted_handle`` is the last handle given to a request that
    a peer handed over; these handles count down from -1.
    ``heard_until`` is the moment, in monotonic milliseconds, before which all
    that came from servers and peers was handled at the last tick.
    ``ticked_at`` is when that was, likewise, ``tick_gap_ms`` the time between
    the last two ticks, and ``longest_tick_gap_ms`` the longest recent one,
    which ended at ``longest_tick_gap_at``.
    ``keyvalue_answered_at`` is when the key-value service last answered, in
    monotonic milliseconds.

    :param options: settings of the node.
    """

    def __init__(self, *, options: Options) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.index = join.Index(configuration=model.Configuration())
        self.previous_configurations: tuple[model.Configuration, ...] = ()
        self.requests: dict[int, requests.Request] = {}
        self.held: dict[calls.RequestKey, int] = {}
        self.attached_handles: dict[int, int] = {}
        self.status_queries: set[int] = set()
        self.last_adopted_handle = 0
        self.queue = admission.RequestQueue()
        self.latency_estimator = admission.LatencyEstimator()
        self.servers = servers.ServerRegistry()
        self.limits = known.Limits()
        self.evacuations = zones.Evacuations()
        self.links = links.Links()
        self.rotation = placement.Rotation()
        self.head_orders = placement.HeadOrders()
        self.prompts = prompts.SentPrompts()
        self.budgets = retry.RetryBudgets(bounds=options.bounds)
        self.poison = poison.CrashRecords()
        self.parts = suspects.PartRecords()
        self.ledger = ledger.Ledger()
        self.membership = members.Membership(me=options.me)
        self.changes = changes.PendingChanges()
        self.leases = leases.Leases()
        self.moves = moves.Moves()
        self.capacity = capacity.Capacity()
        self.freshness = freshness.Freshness()
        self.store_view = knowledge.StoreView()
        self.active = active.ActiveNodes()
        self.loads = loads.Loads()
        self.arrivals = carrying.Arrivals()
        self.prefill_speeds = prefill.PrefillSpeeds()
        self.speeds = speeds.Speeds()
        self.usual = memory.Usual()
        effective_bounds = options.bounds or bounds_module.Bounds()
        self.rates = rates.RateLimiter(
            first_start=effective_bounds.first_start,
            tolerance=effective_bounds.tolerance,
        )
        self.usage = usage.Usage()
        self.usage_exchange = usage_exchange.UsageExchange()
        self.demands = demand.Demands()
        self.scaling = scaling.Scaling()
        self.rollouts = rollouts.Rollouts()
        self.configured = False
        self.heard_until = 0
        self.ticked_at = 0
        self.tick_gap_ms = 0
        self.longest_tick_gap_ms = 0
        self.longest_tick_gap_at = 0
        self.keyvalue_answered_at = 0
        self.keyvalue_up = True
        self.drain: drain.Drain | None = None
