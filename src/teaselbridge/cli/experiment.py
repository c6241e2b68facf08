"""``teaselbridge experiment``: simulate scenarios in virtual time."""

from __future__ import annotations

import dataclasses

import click

from teaselbridge.decisions import fleetplan
from teaselbridge.decisions import placement
from teaselbridge import errors
from teaselbridge.experiment import report
from teaselbridge.experiment import run as runs
from teaselbridge.experiment import scenario as scenarios
from teaselbridge.experiment import spreading


@dataclasses.dataclass(eq=False)
class UnknownScenarioError(errors.TeaselbridgeError):
    """No scenario or comparison has the requested name.

    :param name: requested name.
    :param known: names that exist.
    """

    name: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        return f'`{self.name}`, expected one of ' + ', '.join(self.known)


USER_CHOICE = click.Choice([*scenarios.WORK_BY_USER, 'both'])


def command() -> click.Command:
    """Build the command."""

    @click.group('experiment')
    def experiment() -> None:
        """Simulate named scenarios in virtual time."""

    experiment.add_command(_list_command())
    experiment.add_command(_run_command())
    experiment.add_command(_compare_command())
    experiment.add_command(_spreading_command())
    return experiment


def _list_command() -> click.Command:
    @click.command('list')
    def list_scenarios() -> None:
        """List scenarios and comparisons."""
        for scenario in scenarios.SCENARIOS.values():
            click.echo(f'{scenario.name:<16} {scenario.about}')
        for name, parts in scenarios.get_comparisons().items():
            click.echo(f'{name:<16} compares {len(parts)} runs')

    return list_scenarios


def _run_command() -> click.Command:
    @click.command('run')
    @click.argument('name')
    @click.option('--seed', default=1, help='Random seed.')
    @click.option(
        '--policy',
        type=click.Choice(list(placement.POLICIES)),
        default='prefix-aware',
    )
    @click.option(
        '--planner',
        type=click.Choice(list(fleetplan.PLANNERS)),
        default='survivor',
    )
    @click.option(
        '--user', type=USER_CHOICE, default='both', help='User to simulate.'
    )
    @click.option('--json', 'json_path', default='', help='Report file.')
    @click.option('--plot', 'plot_path', default='', help='PNG file.')
    def run(
        name: str,
        seed: int,
        user: str,
        policy: str,
        planner: str,
        json_path: str,
        plot_path: str,
    ) -> None:
        """Run one scenario and print its results."""
        known = scenarios.SCENARIOS
        if name not in known:
            raise UnknownScenarioError(name, tuple(known))
        scenario = dataclasses.replace(
            known[name], seed=seed, policy=policy, planner=planner
        )
        scenario = scenarios.restrict_to_user(scenario, user)
        _write_results([runs.run(scenario)], json_path, plot_path)

    return run


def _compare_command() -> click.Command:
    @click.command('compare')
    @click.argument('name')
    @click.option('--seed', default=1, help='Random seed.')
    @click.option(
        '--user', type=USER_CHOICE, default='both', help='User to simulate.'
    )
    @click.option('--json', 'json_path', default='', help='Report file.')
    @click.option('--plot', 'plot_path', default='', help='PNG file.')
    def compare(
        name: str, seed: int, user: str, json_path: str, plot_path: str
    ) -> None:
        """Run several scenarios with the same seed and compare the results."""
        known = scenarios.get_comparisons()
        if name not in known:
            raise UnknownScenarioError(name, tuple(known))
        outcomes = [
            runs.run(
                scenarios.restrict_to_user(
                    dataclasses.replace(scenario, seed=seed), user
                )
            )
            for scenario in known[name]
        ]
        _write_results(outcomes, json_path, plot_path)

    return compare


def _spreading_command() -> click.Command:
    @click.command('spreading')
    @click.option('--seeds', default=1, help='Number of seeds.')
    @click.option('--load', default=0.8, help='Demand relative to capacity.')
    @click.option('--plain', is_flag=True, help='Servers without prompts.')
    @click.option(
        '--hosts',
        type=click.Choice([str(size.hosts) for size in spreading.SIZES]),
        help='Only this number of hosts.',
    )
    @click.option('--json', 'json_path', default='', help='Report file.')
    def compare_spreading(
        seeds: int, load: float, plain: bool, hosts: str, json_path: str
    ) -> None:
        """Compare methods to spread load by information out of date."""
        sizes = spreading.PLAIN_SIZES if plain else spreading.SIZES
        figures = [
            spreading.run(name, size, load, seed, is_plain=plain)
            for size in sizes
            if not hosts or size.hosts == int(hosts)
            for name in spreading.METHODS
            for seed in range(1, seeds + 1)
        ]
        for line in spreading.format_table(figures):
            click.echo(line)
        if json_path:
            report.write_json(figures, json_path)

    return compare_spreading


def _write_results(
    outcomes: list[runs.Outcome], json_path: str, plot_path: str
) -> None:
    for line in report.format_table(outcomes):
        click.echo(line)
    if json_path:
        report.write_json(outcomes, json_path)
    if plot_path:
        report.write_plot(outcomes, plot_path)
