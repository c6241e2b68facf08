"""Scenarios of experiments: load, deployment and injected faults."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import fleetplan
from teaselbridge.decisions import placement
from teaselbridge.standins import behaviour
from teaselbridge.tables import model
from teaselbridge.workload import trace

if typing.TYPE_CHECKING:
    import collections.abc

DEFAULT_TRACE_S = 60.0
ZONES = ('kariakoo', 'msasani', 'ubungo', 'kigamboni')
# Requests that a backend server runs at a time.
SLOTS_PER_SERVER = 8
# Requests per second at the capacity of nine engines.
CAPACITY_RATE = 200.0
WORK_BY_USER = {
    'blazej': (trace.WorkType.ASSISTANT, trace.WorkType.ORDER),
    'pamoja': (
        trace.WorkType.REVIEW,
        trace.WorkType.REWRITE,
        trace.WorkType.CAPTION,
        trace.WorkType.LOOKUP,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault or operator's action that is injected at a given time.

    :param at_s: seconds after the start of the trace.
    :param kind: ``reclaim-zone``, ``kill-half``, ``silence-half``,
        ``kill-node``, ``drain-node``, ``keyvalue-down``, ``keyvalue-up``,
        ``refuse-zone``, ``move``.
    :param target: availability zone or version, if the kind has one.
    :param notice_s: seconds of notice; for ``move``, seconds until the
        rollout has to be complete.
    """

    at_s: float
    kind: str
    target: str = ''
    notice_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Parameters of one experiment.

    :param about: description in lists of scenarios.
    :param rate: requests per second.
    :param seconds: length of the trace.
    :param mix: kinds of work.
    :param nodes: number of nodes.
    :param engines: number of model engines at the start.
    :param services: number of plain services.
    :param least: minimum number of engines for the autoscaler.
    :param most: maximum number of engines for the autoscaler.
    :param cache_blocks: capacity of an engine's prefix cache in blocks.
    :param faults: faults to inject.
    :param bad_versions: behaviour of faulty versions, by version.
    :param policy: name of the placement policy.
    :param planner: name of the capacity planner.
    :param seed: seed of the trace and of all random choices.
    """

    name: str
    about: str
    rate: float = 30.0
    seconds: float = DEFAULT_TRACE_S
    mix: tuple[trace.WorkProfile, ...] = trace.DEFAULT_MIX
    nodes: int = 6
    engines: int = 9
    services: int = 4
    least: int = 9
    most: int = 16
    cache_blocks: int = 1_200
    faults: tuple[Fault, ...] = ()
    bad_versions: dict[str, behaviour.Behaviour] = dataclasses.field(
        default_factory=dict
    )
    policy: str = 'prefix-aware'
    planner: str = 'survivor'
    seed: int = 1

    @property
    def policy_function(self) -> placement.Policy:
        """Placement policy that `policy` names."""
        return placement.POLICIES[self.policy]

    @property
    def planner_function(self) -> fleetplan.Planner:
        """Capacity planner that `planner` names."""
        return fleetplan.PLANNERS[self.planner]


def tables(
    scenario: Scenario, version: str = 'v1', rollout_deadline: int = 0
) -> model.Tables:
    """Build the routes and pools that a scenario needs.

    :param version: target version of the engines.
    :param rollout_deadline: wall-clock milliseconds by which a rollout has to
        be complete, 0 for the default.
    """
    routes = [route(kind) for kind in scenario.mix]
    engines = model.Pool(
        name='engines',
        kind=model.Kind.ENGINE,
        versions=(model.Version(name=version),),
        zones=ZONES,
        least=scenario.least,
        most=scenario.most,
        checks_fencing=True,
        move_by_ms=rollout_deadline,
    )
    services = model.Pool(
        name='services',
        kind=model.Kind.SERVICE,
        versions=(model.Version(name='s1'),),
        zones=ZONES,
        least=scenario.services,
        most=scenario.services,
    )
    return model.Tables(routes=tuple(routes), pools=(engines, services))


# Lower numbers are served first.
PRIORITY_BY_WORK = {
    trace.WorkType.ORDER: 0,
    trace.WorkType.CAPTION: 1,
    trace.WorkType.REWRITE: 2,
    trace.WorkType.ASSISTANT: 2,
    trace.WorkType.REVIEW: 4,
    trace.WorkType.LOOKUP: 6,
}


def route(kind: trace.WorkProfile) -> model.Route:
    """Build the route of one kind of work."""
    return model.Route(
        name=kind.work.value,
        match=model.Match(model=kind.model, path=kind.path.rstrip('/')),
        pool='engines' if kind.model else 'services',
        priority=PRIORITY_BY_WORK[kind.work],
        deadline_ms=kind.deadline_ms,
        idempotent=kind.work is not trace.WorkType.ORDER,
        workspace_limit=10_000,
    )


def _build_load_scenario(name: str, about: str, factor: int) -> Scenario:
    """Build a scenario with a multiple of the full load on fixed capacity."""
    return Scenario(
        name=name,
        about=about,
        rate=CAPACITY_RATE * factor,
        seconds=45.0,
        least=9,
        most=9,
    )


def _build_orders_scenario(rate: int) -> Scenario:
    """Build a scenario with orders only.

    It shows how many ledger writes the claims and outcomes need.
    """
    orders = tuple(
        kind for kind in trace.DEFAULT_MIX if kind.work is trace.WorkType.ORDER
    )
    return Scenario(
        name=f'orders-{rate}',
        about=f'{rate} orders per second and no other work',
        rate=float(rate),
        seconds=10.0,
        mix=orders,
        nodes=9,
        engines=2,
        least=2,
        services=24,
    )


def restrict_to_user(scenario: Scenario, user: str) -> Scenario:
    """Return the scenario reduced to one user's kinds of work.

    :param user: ``blazej``, ``pamoja`` or ``both``.
    """
    if user not in WORK_BY_USER:
        return scenario
    mix = tuple(
        kind for kind in scenario.mix if kind.work in WORK_BY_USER[user]
    )
    share = sum(kind.share for kind in mix)
    whole = sum(kind.share for kind in scenario.mix)
    rate = scenario.rate * share / whole
    return dataclasses.replace(scenario, mix=mix, rate=rate)


def _build_rollout_scenario(
    name: str, about: str, **behaviour_options: typing.Any
) -> Scenario:
    """Build a scenario with a rollout of a new engine version.

    :param behaviour_options: faults of the new version.
    """
    versions = (
        {'v2': behaviour.Behaviour(**behaviour_options)}
        if behaviour_options
        else {}
    )
    return Scenario(
        name=name,
        about=about,
        rate=40.0,
        seconds=90.0,
        most=24,
        faults=(Fault(at_s=15.0, kind='move', target='v2', notice_s=60.0),),
        bad_versions=versions,
    )


SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario(name='steady', about='mixed work without faults'),
        Scenario(
            name='prefix',
            about='many long prompts that share few prefixes',
            rate=28.0,
            mix=tuple(kind for kind in trace.DEFAULT_MIX if kind.tokens),
            cache_blocks=500,
        ),
        _build_load_scenario('full', 'load at full capacity', 1),
        _build_load_scenario(
            'overload-2x', 'twice the load of full capacity', 2
        ),
        _build_load_scenario(
            'overload-5x', 'five times the load of full capacity', 5
        ),
        Scenario(
            name='half-dies',
            about='half of the engines crash at once',
            least=4,
            faults=(Fault(at_s=20.0, kind='kill-half'),),
        ),
        Scenario(
            name='half-silent',
            about='connections to half of the engines stop sending data',
            faults=(Fault(at_s=20.0, kind='silence-half'),),
        ),
        Scenario(
            name='zone-reclaimed',
            about='a zone is reclaimed and a node drained on 3 s of notice',
            faults=(
                Fault(
                    at_s=20.0,
                    kind='reclaim-zone',
                    target='kariakoo',
                    notice_s=3.0,
                ),
                Fault(at_s=20.0, kind='drain-node', notice_s=3.0),
            ),
        ),
        Scenario(
            name='cost',
            about='five minutes, two zones reclaimed, host starts refused',
            rate=12.0,
            seconds=300.0,
            engines=4,
            least=2,
            faults=(
                Fault(
                    at_s=80.0,
                    kind='reclaim-zone',
                    target='kariakoo',
                    notice_s=3.0,
                ),
                Fault(at_s=80.0, kind='refuse-zone', target='kariakoo'),
                Fault(
                    at_s=180.0,
                    kind='reclaim-zone',
                    target='kigamboni',
                    notice_s=3.0,
                ),
            ),
        ),
        dataclasses.replace(
            _build_rollout_scenario(
                'wave',
                'a zone is reclaimed and a node drained during a rollout',
            ),
            faults=(
                Fault(at_s=15.0, kind='move', target='v2', notice_s=60.0),
                Fault(
                    at_s=35.0,
                    kind='reclaim-zone',
                    target='msasani',
                    notice_s=3.0,
                ),
                Fault(at_s=35.0, kind='refuse-zone', target='msasani'),
                Fault(at_s=35.0, kind='drain-node', notice_s=3.0),
            ),
        ),
        *(_build_orders_scenario(rate) for rate in (100, 400, 1_600)),
        _build_rollout_scenario('move-good', 'rollout of a healthy version'),
        _build_rollout_scenario(
            'move-errors', 'rollout of a version with errors', error_share=0.5
        ),
        _build_rollout_scenario(
            'move-slow', 'rollout of a slow version', slow_factor=2.5
        ),
        _build_rollout_scenario(
            'move-late',
            'rollout of a version with errors after 30 s',
            error_share=0.5,
            after_ms=30_000,
        ),
        _build_rollout_scenario(
            'move-load',
            'rollout of a version that is slow under load only',
            slow_factor=3.0,
            from_load=0.4,
        ),
        _build_rollout_scenario(
            'move-route',
            'rollout of a version with errors on one route',
            error_share=0.6,
            only_model='story-caption',
        ),
    )
}


def get_comparisons() -> dict[str, collections.abc.Sequence[Scenario]]:
    """Return the scenarios of each comparison, by its name."""
    prefix = SCENARIOS['prefix']
    cost = SCENARIOS['cost']
    return {
        'placement': [
            dataclasses.replace(prefix, policy=name)
            for name in placement.POLICIES
        ],
        'overload': [
            SCENARIOS[name] for name in ('full', 'overload-2x', 'overload-5x')
        ],
        'cost': [
            dataclasses.replace(cost, planner=name)
            for name in fleetplan.PLANNERS
        ],
        'moves': [
            scenario
            for name, scenario in SCENARIOS.items()
            if name.startswith('move-')
        ],
        'losses': [
            SCENARIOS[name]
            for name in (
                'steady',
                'half-dies',
                'half-silent',
                'zone-reclaimed',
                'wave',
            )
        ],
        'orders': [
            scenario
            for name, scenario in SCENARIOS.items()
            if name.startswith('orders-')
        ],
    }
