"""Soak: real processes under series of faults that overlap.

``python -m bench.soak --seed 1 --seeds 50`` plays one run for each seed. In
each, several series go on at once: nodes are stopped, killed, paused and
started again, servers are reclaimed, killed and silenced, the key-value store
fails and the configuration changes, while callers send requests. Some callers
use one connection to one node until its process is gone. The exit code is 0
only if every guarantee held in all runs. ``--keep FOLDER`` keeps the logs of
the processes of each run that broke one.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import signal
import sys
import typing

import click
import httpx

from bench import deployment
from teaselbridge.cli import config
from teaselbridge.cli import remote
from teaselbridge import clock as clocks
from teaselbridge import errors
from teaselbridge.tables import check
from teaselbridge.workload import results
from teaselbridge.workload import run

if typing.TYPE_CHECKING:
    import collections.abc

ZONES = ('olomouc-a', 'brno-a', 'kariakoo')
MIN_RUNNING_NODES = 2
MIN_ENGINES = 4
RESEND_FRACTION = 0.3  # fraction of orders that are sent twice concurrently
REPEATED_SIGNAL_FRACTION = 0.3  # stops and kills that follow another signal
ENGINE_POOLS = ('kadidlo-lm', 'story-models')
DRAIN_MS = 4_000
EXIT_TIMEOUT_S = 10.0
RECOVERY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 15.0
CALL_INTERVAL_S = 0.05
# Time between the last connection of a process that stops and its end.
EXIT_NOTICE_S = 1.0
LOOKUP_PATH = '/catalogue/candles'
LOOKUP_KEY = 'example-key-buyers'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakSettings:
    """Size of a run.

    :param seed: seed of the trace and of all series of faults.
    :param seconds: length of the trace.
    :param nodes: number of nodes.
    :param rate: requests per second.
    :param keep: folder for the logs of a run that broke something, empty to
        keep none.
    """

    seed: int
    seconds: float = 20.0
    nodes: int = 4
    rate: float = 20.0
    keep: str = ''


class Soak:
    """One run: the series of faults, and what went wrong.

    A node is disturbed from its signal until it is ready again, and
    interrupted meanwhile if it was killed or paused.

    :param trial: the running deployment.
    :param settings: size of the run.

    Attributes:

    * ``events``: faults that were injected, in their order, with their times
      in wall-clock milliseconds as in the logs.
    * ``faults``: what went wrong.
    """

    def __init__(
        self, *, trial: deployment.Deployment, settings: SoakSettings
    ) -> None:
        self._trial = trial
        self._settings = settings
        self._clock = clocks.Clock()
        self._disturbed: set[str] = set()
        self._interrupted: set[str] = set()
        self._zones = dict(
            zip(
                (node.name for node in trial.nodes),
                list_zones(settings.nodes),
                strict=True,
            )
        )
        self.events: list[str] = []
        self.faults: list[str] = []

    async def execute(self) -> results.Report:
        """Run the trace beside all series, then wait for the recovery."""
        plan = run.Plan(
            seeds=self._trial.seeds,
            zones=ZONES,
            seed=self._settings.seed,
            rate=self._settings.rate,
            seconds=self._settings.seconds,
            resend=RESEND_FRACTION,
            control=self._trial.control,
        )
        series = (
            self._stop_nodes,
            self._kill_nodes,
            self._pause_nodes,
            self._disturb_servers,
            self._disturb_store,
            self._change_configuration,
        )
        ended = asyncio.Event()
        tasks = [
            asyncio.create_task(self._repeat(work, ended)) for work in series
        ]
        tasks += [
            asyncio.create_task(self._hold_connection(node, ended))
            for node in self._trial.nodes
        ]
        load = asyncio.create_task(run.LoadRun(plan=plan).execute())
        await asyncio.sleep(self._settings.seconds)
        ended.set()
        report = await load
        await asyncio.gather(*tasks)
        await self._trial.set_keyvalue_faults()
        await self._check_recovery()
        return report

    async def _repeat(
        self,
        work: collections.abc.Callable[
            [random.Random], collections.abc.Awaitable[None]
        ],
        ended: asyncio.Event,
    ) -> None:
        """Repeat one kind of fault, at random times of its own."""
        name = getattr(work, '__name__', '')
        generator = random.Random(f'{self._settings.seed}-{name}')
        await asyncio.sleep(generator.uniform(0.5, 4.0))
        while not ended.is_set():
            try:
                await work(generator)
            except (errors.TeaselbridgeError, httpx.HTTPError) as error:
                self._note(f'{name} had no effect: {error!r}')
            await asyncio.sleep(generator.uniform(0.2, 3.0))

    def _note(self, event: str) -> None:
        """Add an event to those of the run."""
        self.events.append(f'{self._clock.now().wall} {event}')

    def _take_node(
        self, generator: random.Random
    ) -> deployment.NodeAddresses | None:
        """Choose a node to disturb, none where too few would be left."""
        free = [
            node
            for node in self._trial.nodes
            if node.name not in self._disturbed
        ]
        if len(free) <= MIN_RUNNING_NODES:
            return None
        node = generator.choice(free)
        self._disturbed.add(node.name)
        return node

    async def _stop_nodes(self, generator: random.Random) -> None:
        """Stop a node, with one signal or two, and start it again."""
        node = self._take_node(generator)
        if node is None:
            return
        self._note(f'{node.name} is stopped')
        self._trial.send_signal(node.name, signal.SIGTERM)
        if generator.random() < REPEATED_SIGNAL_FRACTION:
            await asyncio.sleep(generator.uniform(0.0, 1.0))
            self._trial.send_signal(node.name, signal.SIGTERM)
        code = await self._wait_for_exit(node.name)
        if code != 0:
            self.faults.append(f'{node.name} stopped with exit code {code}')
        await self._start_again(node, generator)

    async def _kill_nodes(self, generator: random.Random) -> None:
        """Kill a node, perhaps while it stops, and start it again."""
        node = self._take_node(generator)
        if node is None:
            return
        self._note(f'{node.name} is killed')
        self._interrupted.add(node.name)
        if generator.random() < REPEATED_SIGNAL_FRACTION:
            self._trial.send_signal(node.name, signal.SIGTERM)
            await asyncio.sleep(generator.uniform(0.0, DRAIN_MS / 1_000))
        self._trial.send_signal(node.name, signal.SIGKILL)
        await self._wait_for_exit(node.name)
        await self._start_again(node, generator)

    async def _pause_nodes(self, generator: random.Random) -> None:
        node = self._take_node(generator)
        if node is None:
            return
        self._note(f'{node.name} is paused')
        self._interrupted.add(node.name)
        self._trial.send_signal(node.name, signal.SIGSTOP)
        await asyncio.sleep(generator.uniform(0.2, 3.0))
        self._trial.send_signal(node.name, signal.SIGCONT)
        await asyncio.sleep(EXIT_NOTICE_S)
        self._interrupted.discard(node.name)
        self._disturbed.discard(node.name)

    async def _start_again(
        self, node: deployment.NodeAddresses, generator: random.Random
    ) -> None:
        await asyncio.sleep(generator.uniform(0.0, 1.0))
        self._trial.start_node(node, self._zones[node.name])
        await self._wait_until_ready(node)
        self._interrupted.discard(node.name)
        self._disturbed.discard(node.name)

    async def _wait_for_exit(self, name: str) -> int | None:
        """Wait until a process has ended.

        :return: exit code, none where it still runs.
        """
        rounds = round(EXIT_TIMEOUT_S / CALL_INTERVAL_S)
        for _ in range(rounds):
            if not self._trial.is_running(name):
                break
            await asyncio.sleep(CALL_INTERVAL_S)
        else:
            self.faults.append(f'{name} did not stop')
            self._trial.send_signal(name, signal.SIGKILL)
        return self._trial.get_exit_code(name)

    async def _wait_until_ready(self, node: deployment.NodeAddresses) -> None:
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while not await _is_ready(node):
                    await asyncio.sleep(CALL_INTERVAL_S)
        except TimeoutError:
            self.faults.append(f'{node.name} is not ready again')

    async def _disturb_servers(self, generator: random.Random) -> None:
        """Lose an engine, while enough others are left."""
        figures = await self._trial.read_figures()
        hosts = [
            row['host']
            for row in figures['hosts']
            if row['pool'] in ENGINE_POOLS
        ]
        if len(hosts) < MIN_ENGINES:
            return
        host = generator.choice(hosts)
        kind = generator.choice(('reclaim', 'kill', 'silence'))
        self._note(f'{host}: {kind}')
        body: dict[str, typing.Any] = {'host': host}
        if kind == 'reclaim':
            body['notice_ms'] = 2_000
        await self._trial.inject_fault(f'/standin/{kind}', body)

    async def _disturb_store(self, generator: random.Random) -> None:
        faults = generator.choice(
            (
                {'lose_answers': 2},
                {'refuse_writes': 2},
                {'slow_ms': 300},
                {'silent_watches': True},
                {'down': True},
            )
        )
        self._note(f'store: {faults}')
        await self._trial.set_keyvalue_faults(**faults)
        await asyncio.sleep(generator.uniform(0.2, 2.0))
        await self._trial.set_keyvalue_faults()

    async def _change_configuration(self, generator: random.Random) -> None:
        tables = check.load_tables(str(deployment.TABLES))
        routes = tuple(
            dataclasses.replace(
                route,
                workspace_limit=deployment.WORKSPACE_LIMIT
                + generator.randrange(1_000),
            )
            for route in tables.routes
        )
        changed = dataclasses.replace(tables, routes=routes)
        node = generator.choice(self._trial.nodes)
        self._note(f'configuration changed through {node.name}')
        target = remote.Target(node.admin, deployment.KEY)
        await config.apply(target, changed, None)

    async def _hold_connection(
        self, node: deployment.NodeAddresses, ended: asyncio.Event
    ) -> None:
        """Send requests over one connection until the process is gone.

        It is a fault to lose the connection of a process that goes on,
        neither killed nor paused, and so is an answer that is neither one nor
        a refusal. A process that starts or stops may refuse new connections,
        and one that stops says so in an answer before it closes a connection.
        """
        limits = httpx.Limits(max_connections=1)
        async with httpx.AsyncClient(
            trust_env=False, limits=limits, timeout=CALL_TIMEOUT_S
        ) as client:
            is_kept = False
            while not ended.is_set():
                try:
                    response = await _look_up(client, node)
                except httpx.HTTPError as error:
                    await self._check_lost_connection(node, error, is_kept)
                    is_kept = False
                    await asyncio.sleep(CALL_INTERVAL_S)
                    continue
                is_kept = response.headers.get('connection') != 'close'
                if response.status_code not in (200, 307, 429, 503, 504):
                    self._note(
                        f'{node.name} answered {response.headers}:'
                        f' {response.text}'
                    )
                    self.faults.append(
                        f'{node.name} answered {response.status_code}'
                    )
                await asyncio.sleep(CALL_INTERVAL_S)

    async def _check_lost_connection(
        self,
        node: deployment.NodeAddresses,
        error: httpx.HTTPError,
        is_kept: bool,
    ) -> None:
        """Check whether a connection may be lost.

        :param is_kept: whether its last answer promised to keep it.
        """
        is_new = isinstance(error, httpx.ConnectError)
        if is_new and node.name in self._disturbed:
            return
        was_interrupted = node.name in self._interrupted
        process = self._trial.get_pid(node.name)
        self._note(f'{node.name}, process {process}: {error!r}')
        await asyncio.sleep(EXIT_NOTICE_S)
        is_gone = process != self._trial.get_pid(
            node.name
        ) or not self._trial.is_running(node.name)
        # A connection error tells that the kept connection was closed while
        # it was idle.
        if is_kept and not is_new and not was_interrupted:
            is_gone = False
        if not is_gone and node.name not in self._interrupted:
            self.faults.append(f'{node.name} lost a connection: {error!r}')

    async def _check_recovery(self) -> None:
        """Check that all nodes are ready and serve again."""
        for node in self._trial.nodes:
            await self._wait_until_ready(node)
            if not await _is_served(node):
                self.faults.append(f'{node.name} does not serve again')
            if 'Traceback' in self._trial.read_log(node.name):
                self.faults.append(f'{node.name} logged an unexpected error')


async def _is_ready(node: deployment.NodeAddresses) -> bool:
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            response = await client.get(f'http://{node.admin}/readyz')
        except httpx.HTTPError:
            return False
    return response.is_success


async def _look_up(
    client: httpx.AsyncClient, node: deployment.NodeAddresses
) -> httpx.Response:
    return await client.get(
        f'http://{node.callers}{LOOKUP_PATH}',
        headers={'authorization': f'Bearer {LOOKUP_KEY}'},
    )


async def _is_served(node: deployment.NodeAddresses) -> bool:
    """Return whether one of a few requests to a node is served."""
    async with httpx.AsyncClient(
        trust_env=False, timeout=CALL_TIMEOUT_S
    ) as client:
        for _ in range(round(RECOVERY_TIMEOUT_S)):
            try:
                response = await _look_up(client, node)
            except httpx.HTTPError:
                return False
            if response.status_code == httpx.codes.OK:
                return True
            await asyncio.sleep(1)
    return False


def list_zones(count: int) -> tuple[str, ...]:
    """Return the availability zones of some nodes."""
    return tuple(ZONES[number % len(ZONES)] for number in range(count))


def list_broken(report: results.Report) -> list[str]:
    """Return the guarantees that a run broke, by what callers saw."""
    total = report.total
    known = total.whole + total.late + total.refused + total.wrong
    counts = {
        'requests without an outcome': total.sent - known,
        'answers that are not whole or not theirs': total.wrong,
        'orders that ran twice': report.doubled,
        'orders that were answered and did not run': report.unrun,
        'orders that ran and were refused as not run': report.false_refusals,
    }
    return [f'{count} {what}' for what, count in counts.items() if count]


async def soak(settings: SoakSettings) -> list[str]:
    """Play one run.

    :return: what went wrong.
    """
    shape = deployment.DeploymentSettings(
        zones=list_zones(settings.nodes),
        spec=deployment.load_example_spec(),
        drain_ms=DRAIN_MS,
    )
    async with deployment.running(shape) as trial:
        played = Soak(trial=trial, settings=settings)
        report = await played.execute()
        broken = list_broken(report) + played.faults
        if broken and settings.keep:
            folder = pathlib.Path(settings.keep) / f'seed-{settings.seed}'
            folder.mkdir(parents=True, exist_ok=True)
            trial.copy_logs(folder)
    total = report.total
    print(
        f'seed {settings.seed}: {len(played.events)} faults injected,'
        f' {total.sent} requests, {total.whole} whole, {total.late} late,'
        f' {total.refused} refused, {total.resumed} resumed;'
        f' {"; ".join(broken) or "nothing broken"}',
        flush=True,
    )
    if broken:
        print('\n'.join(f'    {event}' for event in played.events))
        print('\n'.join(f'    wrong: {answer}' for answer in report.wrong))
    return broken


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=1, help='Number of runs.')
@click.option('--seconds', default=20.0, help='Length of each run.')
@click.option('--nodes', default=4, help='Number of nodes.')
@click.option('--rate', default=20.0, help='Requests per second.')
@click.option('--keep', default='', help='Folder for logs of broken runs.')
def main(
    seed: int,
    seeds: int,
    seconds: float,
    nodes: int,
    rate: float,
    keep: str,
) -> None:
    """Play runs one after the other and exit with 1 if one broke."""
    broken = 0
    for number in range(seed, seed + seeds):
        settings = SoakSettings(
            seed=number,
            seconds=seconds,
            nodes=nodes,
            rate=rate,
            keep=keep,
        )
        broken += bool(asyncio.run(soak(settings)))
    print(f'{seeds} runs, {broken} with something broken')
    sys.exit(bool(broken))


if __name__ == '__main__':
    main()
