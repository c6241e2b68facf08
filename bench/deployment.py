"""Deployment of nodes and simulated services on free loopback ports.

Each node runs as a process of its own, and so do the simulated services.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import httpx
import prometheus_client.parser

from teaselbridge.admin import models
from teaselbridge.cli import config
from teaselbridge.cli import remote
from teaselbridge.standins import ports
from teaselbridge.tables import check

if typing.TYPE_CHECKING:
    import collections.abc

ROOT = pathlib.Path(__file__).parent.parent
TABLES = ROOT / 'examples' / 'tables.json'
KEY = 'demo-operator-key'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
WORKSPACE_LIMIT = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSettings:
    """Size and settings of a deployment.

    :param zones: availability zone of each node, one node for each entry.
    :param spec: simulated services, as in a spec file without ports.
    :param drain_ms: timeout of a node's graceful shutdown.
    """

    zones: tuple[str, ...] = ('olomouc-a', 'brno-a', 'kariakoo')
    spec: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    drain_ms: int = 8_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeAddresses:
    """Name and listen addresses of one node."""

    name: str
    callers: str
    admin: str
    peers: str


class Deployment:
    """Processes of one deployment.

    :param shape: size and settings of the deployment.
    """

    def __init__(self, *, shape: DeploymentSettings) -> None:
        self._shape = shape
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        first = _find_free_port_range(3)
        self._platform = [f'127.0.0.1:{first + step}' for step in range(3)]
        self.nodes = [
            NodeAddresses(
                name=f'entry-{number}',
                callers=f'127.0.0.1:{ports.find_free_port()}',
                admin=f'127.0.0.1:{ports.find_free_port()}',
                peers=f'127.0.0.1:{ports.find_free_port()}',
            )
            for number in range(1, len(shape.zones) + 1)
        ]

    @property
    def control(self) -> str:
        """Control interface of the simulated services, as ``ip:port``."""
        return self._platform[2]

    @property
    def keyvalue(self) -> str:
        """Simulated key-value store, as ``ip:port``."""
        return self._platform[0]

    @property
    def target(self) -> remote.Target:
        """Operators' interface of the first node, with its key."""
        return remote.Target(self.nodes[0].admin, KEY)

    @property
    def seeds(self) -> tuple[str, ...]:
        """Callers' interfaces of all nodes, as ``ip:port``."""
        return tuple(node.callers for node in self.nodes)

    def get_pid(self, name: str) -> int:
        """Return the process id of a node or of the simulated services."""
        return self._processes[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self._processes[name].poll() is None

    def get_exit_code(self, name: str) -> int | None:
        """Return the exit code of a process, none while it is running."""
        return self._processes[name].poll()

    async def start(self) -> None:
        """Start all processes and wait until every node is ready."""
        self._start('standins', 'standins', '--spec', self._write_spec())
        await _wait_for(f'http://{self.control}/standin/figures')
        for node, zone in zip(self.nodes, self._shape.zones, strict=True):
            self.start_node(node, zone)
        for node in self.nodes:
            await _wait_for(f'http://{node.admin}/readyz')

    def start_node(self, node: NodeAddresses, zone: str) -> None:
        """Write the settings of one node and start its process."""
        path = self._write_settings(node, zone)
        self._start(node.name, 'serve', '--settings', path)

    async def apply(self) -> models.ApplyReply:
        """Apply the example tables and wait until all nodes have them.

        The minimum size of each pool is its initial number of servers, so
        that autoscaling does not remove servers during a measurement.
        """
        tables = check.load_tables(str(TABLES))
        counts = {
            group['pool']: group['count']
            for group in self._shape.spec['groups']
        }
        pools = tuple(
            dataclasses.replace(pool, least=counts[pool.name])
            for pool in tables.pools
        )
        routes = tuple(
            dataclasses.replace(route, workspace_limit=WORKSPACE_LIMIT)
            for route in tables.routes
        )
        tables = dataclasses.replace(tables, pools=pools, routes=routes)
        reply = await config.apply(self.target, tables, None)
        await config.wait(self.target, reply.generation, START_TIMEOUT_S)
        return reply

    async def inject_fault(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Inject a fault through the control interface.

        :param path: path of the fault, such as ``/standin/kill``.
        :param body: parameters of the fault.
        """
        return await _post(f'http://{self.control}{path}', body)

    async def set_keyvalue_faults(self, **faults: typing.Any) -> None:
        """Set the faults of the simulated key-value store."""
        await _post(f'http://{self.keyvalue}/standin/faults', faults)

    async def read_figures(self) -> dict[str, typing.Any]:
        """Return the counters of the simulated services."""
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.get(
                f'http://{self.control}/standin/figures'
            )
        document: dict[str, typing.Any] = response.json()
        return document

    async def count(self, kind: str) -> int:
        """Return a decision counter, summed over the nodes that respond."""
        total = 0.0
        async with httpx.AsyncClient(trust_env=False) as client:
            for node in self.nodes:
                try:
                    url = f'http://{node.admin}/metrics'
                    response = await client.get(url)
                except httpx.HTTPError:
                    continue
                total += _sum_metric(response.text, kind)
        return round(total)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self._processes[name].send_signal(number)

    def stop(self) -> None:
        """Terminate all processes, and kill those that exceed the timeout."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + STOP_TIMEOUT_S
        for process in self._processes.values():
            left = max(0.1, until - time.monotonic())
            try:
                process.wait(left)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        path = pathlib.Path(self._folder.name) / f'{name}.log'
        return path.read_text(encoding='utf-8')

    def copy_logs(self, folder: pathlib.Path) -> None:
        """Copy the output of all processes to a folder."""
        for path in pathlib.Path(self._folder.name).glob('*.log'):
            shutil.copy(path, folder)

    def _start(self, name: str, *arguments: str) -> None:
        path = pathlib.Path(self._folder.name) / f'{name}.log'
        command = [sys.executable, '-m', 'teaselbridge', *arguments]
        with path.open('ab') as log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log
            )

    def _write_spec(self) -> str:
        spec = {**self._shape.spec, 'platform': self._platform[0]}
        spec['entries'] = [
            {
                'host': node.name,
                'address': node.peers,
                'zone': zone,
                'role': 'entry',
            }
            for node, zone in zip(self.nodes, self._shape.zones, strict=True)
        ]
        return self._write('spec.json', spec)

    def _write_settings(self, node: NodeAddresses, zone: str) -> str:
        cloud = f'http://{self._platform[1]}'
        settings = {
            'node': {'name': node.name, 'zone': zone, 'region': 'morava'},
            'listen': {
                'callers': node.callers,
                'admin': node.admin,
                'peers': node.peers,
            },
            'platform': {
                'keyvalue': f'http://{self._platform[0]}',
                'hosts': cloud,
                'cloud': cloud,
                'weights': cloud,
            },
            'seeds': [other.peers for other in self.nodes],
            'operator_key': KEY,
            'limits': {'drain_ms': self._shape.drain_ms},
        }
        return self._write(f'{node.name}.json', settings)

    def _write(self, name: str, document: dict[str, typing.Any]) -> str:
        path = pathlib.Path(self._folder.name) / name
        path.write_text(json.dumps(document), encoding='utf-8')
        return str(path)


@contextlib.asynccontextmanager
async def running(
    shape: DeploymentSettings,
) -> collections.abc.AsyncIterator[Deployment]:
    """Run a deployment with the example tables in force until exit."""
    deployment = Deployment(shape=shape)
    try:
        await deployment.start()
        await deployment.apply()
        yield deployment
    finally:
        deployment.stop()


def load_example_spec() -> dict[str, typing.Any]:
    """Return the spec of the example's simulated services."""
    from teaselbridge.settings import load

    document = load.read_document(str(ROOT / 'examples' / 'standins.json'))
    assert isinstance(document, dict)
    return document


def _sum_metric(text: str, kind: str) -> float:
    return sum(
        sample.value
        for family in prometheus_client.parser.text_string_to_metric_families(
            text
        )
        for sample in family.samples
        if sample.name == 'teaselbridge_decisions_total'
        and sample.labels['kind'] == kind
    )


def _find_free_port_range(count: int) -> int:
    while True:
        first = ports.find_free_port()
        with contextlib.ExitStack() as stack:
            try:
                for step in range(count):
                    probe = stack.enter_context(socket.socket())
                    probe.bind(('127.0.0.1', first + step))
            except (OSError, OverflowError):
                continue
            return first


async def _wait_for(url: str) -> None:
    until = time.monotonic() + START_TIMEOUT_S
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            try:
                response = await client.get(url)
                if response.is_success:
                    return
            except httpx.HTTPError:
                pass
            if time.monotonic() > until:
                raise TimeoutError(f'{url} does not return a success status')
            await asyncio.sleep(0.05)


async def _post(
    url: str, body: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.post(url, json=body)
        response.raise_for_status()
        document: dict[str, typing.Any] = response.json()
        return document
