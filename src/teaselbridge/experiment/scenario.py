"""Scenarios: what is asked of the system, and what goes wrong."""

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

MINUTE_S = 60.0
ZONES = ('kariakoo', 'msasani', 'ubungo', 'kigamboni')
SLOTS = 8
FULL_RATE = 200.0
USERS = {
    'blazej': (trace.Work.ASSISTANT, trace.Work.ORDER),
    'pamoja': (
        trace.Work.REVIEW,
        trace.Work.REWRITE,
        trace.Work.CAPTION,
        trace.Work.LOOKUP,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Something that happens at a time.

    :param at_s: seconds after the start.
    :param kind: ``reclaim-zone``, ``kill-half``, ``silence-half``,
        ``kill-node``, ``drain-node``, ``keyvalue-down``, ``keyvalue-up``,
        ``refuse-zone``, ``move``.
    :param target: availability zone or version, where the kind has one.
    :param notice_s: seconds of notice.
    """

    at_s: float
    kind: str
    target: str = ''
    notice_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One experiment.

    :param rate: requests a second.
    :param seconds: length of the trace.
    :param mix: kinds of work.
    :param nodes: entry hosts.
    :param engines: model engines at the start.
    :param services: plain services.
    :param least: fewest engines that capacity may leave.
    :param most: most engines.
    :param cache_blocks: blocks of an engine's prefix cache.
    :param faults: what goes wrong, and when.
    :param bad_versions: faults by version.
    :param policy: name of the placement policy.
    :param planner: name of the capacity planner.
    :param seed: seed of the trace and of all chance.
    """

    name: str
    about: str
    rate: float = 30.0
    seconds: float = MINUTE_S
    mix: tuple[trace.Kind, ...] = trace.MIX
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
        """The placement policy."""
        return placement.POLICIES[self.policy]

    @property
    def planner_function(self) -> fleetplan.Planner:
        """The capacity planner."""
        return fleetplan.PLANNERS[self.planner]


def tables(
    scenario: Scenario, version: str = 'v1', move_by: int = 0
) -> model.Tables:
    """Make the tables that a scenario's work needs.

    :param version: version of the engines that is wanted.
    :param move_by: wall milliseconds.
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
        move_by_ms=move_by,
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


PRIORITIES = {
    trace.Work.ORDER: 0,
    trace.Work.CAPTION: 1,
    trace.Work.REWRITE: 2,
    trace.Work.ASSISTANT: 2,
    trace.Work.REVIEW: 4,
    trace.Work.LOOKUP: 6,
}


def route(kind: trace.Kind) -> model.Route:
    """Make the route of one kind of work."""
    return model.Route(
        name=kind.work.value,
        match=model.Match(model=kind.model, path=kind.path.rstrip('/')),
        pool='engines' if kind.model else 'services',
        priority=PRIORITIES[kind.work],
        deadline_ms=kind.deadline_ms,
        idempotent=kind.work is not trace.Work.ORDER,
        workspace_limit=10_000,
    )


def _loaded(name: str, about: str, factor: int) -> Scenario:
    """Make a scenario with a fixed number of engines."""
    return Scenario(
        name=name,
        about=about,
        rate=FULL_RATE * factor,
        seconds=45.0,
        least=9,
        most=9,
    )


def _ordering(rate: int) -> Scenario:
    """Make a scenario with orders only, to see how writes carry them."""
    orders = tuple(kind for kind in trace.MIX if kind.work is trace.Work.ORDER)
    return Scenario(
        name=f'orders-{rate}',
        about=f'{rate} orders a second and nothing else',
        rate=float(rate),
        seconds=10.0,
        mix=orders,
        nodes=9,
        engines=2,
        least=2,
        services=24,
    )


def for_user(scenario: Scenario, user: str) -> Scenario:
    """Keep one user's part of a scenario's work.

    :param user: ``blazej`` or ``pamoja``, or ``both``.
    """
    if user not in USERS:
        return scenario
    mix = tuple(kind for kind in scenario.mix if kind.work in USERS[user])
    share = sum(kind.share for kind in mix)
    whole = sum(kind.share for kind in scenario.mix)
    rate = scenario.rate * share / whole
    return dataclasses.replace(scenario, mix=mix, rate=rate)


def _moving(name: str, about: str, **bad: typing.Any) -> Scenario:
    versions = {'v2': behaviour.Behaviour(**bad)} if bad else {}
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
        Scenario(name='steady', about='mixed work, nothing goes wrong'),
        Scenario(
            name='prefix',
            about='many long prompts about few documents',
            rate=28.0,
            mix=tuple(kind for kind in trace.MIX if kind.tokens),
            cache_blocks=500,
        ),
        _loaded('full', 'the load that just fits', 1),
        _loaded('overload-2x', 'twice the load that fits', 2),
        _loaded('overload-5x', 'five times the load that fits', 5),
        Scenario(
            name='half-dies',
            about='half of the engines die at once',
            least=4,
            faults=(Fault(at_s=20.0, kind='kill-half'),),
        ),
        Scenario(
            name='half-silent',
            about='connections to half of the engines go silent',
            faults=(Fault(at_s=20.0, kind='silence-half'),),
        ),
        Scenario(
            name='zone-reclaimed',
            about='a zone goes on 3 s of notice, an entry host among it',
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
            about='five minutes, two zones lost, starts refused',
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
            _moving('wave', 'a zone and an entry host go during a good move'),
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
        *(_ordering(rate) for rate in (100, 400, 1_600)),
        _moving('move-good', 'a good version moves'),
        _moving('move-errors', 'a version that fails', error_share=0.5),
        _moving('move-slow', 'a version that is slow', slow_factor=2.5),
        _moving(
            'move-late',
            'a version that fails after half a minute',
            error_share=0.5,
            after_ms=30_000,
        ),
        _moving(
            'move-load',
            'a version that is slow under load only',
            slow_factor=3.0,
            from_load=0.4,
        ),
        _moving(
            'move-route',
            'a version that fails on one route',
            error_share=0.6,
            only_model='story-caption',
        ),
    )
}


def comparisons() -> dict[str, collections.abc.Sequence[Scenario]]:
    """List the scenarios to run beside each other, by name."""
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
