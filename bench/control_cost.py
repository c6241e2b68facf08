"""What it costs to keep nodes together, and how fast tables spread.

``python -m bench.control_cost --nodes 9 --nodes 27`` runs idle nodes as
tasks of a few processes and prints, for each number of nodes, processor
time, memory and bytes a second of one node, calls to the key-value service,
and the time until changed tables are in force at half, 99% and all nodes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import click
import httpx
import msgspec

from bench import deployment
from bench import usage
from teaselbridge.cli import config
from teaselbridge.cli import remote
from teaselbridge.runtime import node as nodes
from teaselbridge.settings import model as settings_model
from teaselbridge.standins import fleet as fleets
from teaselbridge.standins import hosting
from teaselbridge.tables import check
from teaselbridge.telemetry import logs

PROCESSES = 5
WARM_S = 12.0
MEASURE_S = 20.0
CHANGES = 12
POLL_S = 0.01
FORCE_S = 30.0
ZONES = 19
REGIONS = 7


@click.command()
@click.option('--nodes', 'counts', multiple=True, type=int, default=[3, 9])
def main(counts: tuple[int, ...]) -> None:
    """Measure and print one JSON line for each number of nodes."""
    for count in counts:
        found = asyncio.run(_measure(count))
        print(json.dumps(found), flush=True)


async def _measure(count: int) -> dict[str, typing.Any]:
    spec = fleets.Spec(platform='127.0.0.1:0', groups=())
    fleet = fleets.Fleet(spec=spec)
    await fleet.start()
    settings = _settings(count, fleet.addresses)
    with tempfile.TemporaryDirectory() as folder:
        workers = _start(settings, pathlib.Path(folder))
        try:
            await _meet(settings)
            return await _read(settings, workers, fleet)
        finally:
            for worker in workers:
                worker.terminate()
            for worker in workers:
                worker.wait()
            await fleet.stop()


def _settings(
    count: int, addresses: tuple[str, str, str]
) -> list[settings_model.Settings]:
    ports = iter(_ports(3 * count))
    keyvalue, cloud, _ = addresses
    platform = settings_model.Platform(
        keyvalue=f'http://{keyvalue}',
        hosts=f'http://{cloud}',
        cloud=f'http://{cloud}',
        weights=f'http://{cloud}',
    )
    found: list[settings_model.Settings] = []
    seeds: tuple[str, ...] = ()
    for number in range(count):
        listen = settings_model.Listen(
            callers=next(ports), admin=next(ports), peers=next(ports)
        )
        seeds = seeds or (listen.peers,)
        zone = number % ZONES
        found.append(
            settings_model.Settings(
                node=settings_model.Node(
                    name=f'node-{number}',
                    zone=f'zone-{zone}',
                    region=f'region-{zone % REGIONS}',
                ),
                listen=listen,
                platform=platform,
                seeds=seeds,
            )
        )
    return found


def _ports(count: int) -> list[str]:
    found: set[int] = set()
    while len(found) < count:
        found.add(hosting.free_port())
    return [f'127.0.0.1:{port}' for port in sorted(found)]


def _start(
    settings: list[settings_model.Settings], folder: pathlib.Path
) -> list[subprocess.Popen[bytes]]:
    workers = []
    for number in range(min(PROCESSES, len(settings))):
        part = settings[number::PROCESSES]
        path = folder / f'{number}.json'
        path.write_bytes(msgspec.json.encode(part))
        command = [
            sys.executable,
            '-m',
            'bench.control_cost_worker',
            str(path),
        ]
        workers.append(subprocess.Popen(command))
    return workers


async def run_nodes(settings: list[settings_model.Settings]) -> None:
    """Run nodes until the process is ended."""
    logs.hush()
    running = [nodes.Node(settings=item) for item in settings]
    for node in running:
        await node.start()
    await asyncio.Event().wait()


async def _meet(settings: list[settings_model.Settings]) -> None:
    """Wait until all nodes know each other."""
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        for item in settings:
            while await _peers(client, item) < len(settings) - 1:
                await asyncio.sleep(0.2)


async def _peers(
    client: httpx.AsyncClient, item: settings_model.Settings
) -> int:
    try:
        response = await client.get(f'http://{item.listen.admin}/metrics')
    except httpx.HTTPError:
        return -1
    return int(_metric(response.text, 'teaselbridge_peers '))


def _metric(text: str, start: str) -> float:
    return sum(
        float(line.rpartition(' ')[2])
        for line in text.splitlines()
        if line.startswith(start)
    )


async def _read(
    settings: list[settings_model.Settings],
    workers: list[subprocess.Popen[bytes]],
    fleet: fleets.Fleet,
) -> dict[str, typing.Any]:
    await asyncio.sleep(WARM_S)
    before = [usage.read(worker.pid) for worker in workers]
    sent = await _bytes(settings)
    calls = dataclasses.replace(fleet.store.calls)
    began = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    span = time.monotonic() - began
    after = [usage.read(worker.pid) for worker in workers]
    sent = await _bytes(settings) - sent
    count = len(settings)
    cpu = sum(usage.cpu_s for usage in after)
    cpu -= sum(usage.cpu_s for usage in before)
    reads = fleet.store.calls.reads - calls.reads
    writes = fleet.store.calls.writes - calls.writes
    force = await _spread(settings)
    return {
        'nodes': count,
        'cores': os.cpu_count(),
        'cpu_percent_of_a_core': 100 * cpu / span / count,
        'resident_mb_each_in_shared_process': sum(
            usage.resident_mb for usage in after
        )
        / count,
        'sent_bytes_per_s': sent / span / count,
        'keyvalue_reads_per_s': reads / span,
        'keyvalue_writes_per_s': writes / span,
        'waiting_watches': fleet.store.calls.watches,
        **force,
    }


async def _bytes(settings: list[settings_model.Settings]) -> float:
    """Add up the bytes that all nodes have sent to each other."""
    total = 0.0
    start = 'teaselbridge_peer_bytes_total{direction="sent"'
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        for item in settings:
            response = await client.get(f'http://{item.listen.admin}/metrics')
            total += _metric(response.text, start)
    return total


async def _spread(
    settings: list[settings_model.Settings],
) -> dict[str, float]:
    """Change the tables again and again; time when they are in force.

    Each node notes on its time line when a generation came into force.
    """
    target = remote.Target(settings[0].listen.admin, '')
    tables = check.load_tables(str(deployment.TABLES))
    half: list[float] = []
    most: list[float] = []
    whole: list[float] = []
    for _ in range(CHANGES):
        began = time.time()
        reply = await config.apply(target, tables, None)
        times = await _times(settings, reply.generation, began)
        half.append(times[len(times) // 2])
        most.append(times[int(len(times) * 0.99) - 1])
        whole.append(times[-1])
    return {
        'in_force_half_s': sorted(half)[CHANGES // 2],
        'in_force_99_s': sorted(most)[CHANGES // 2],
        'in_force_all_median_s': sorted(whole)[CHANGES // 2],
        'in_force_all_worst_s': max(whole),
    }


async def _times(
    settings: list[settings_model.Settings], generation: int, began: float
) -> list[float]:
    until = time.monotonic() + FORCE_S
    times: dict[str, float] = {}
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        while len(times) < len(settings):
            if time.monotonic() > until:
                raise TimeoutError(f'generation {generation}')
            for item in settings:
                if item.node.name not in times:
                    await _note(client, item, generation, began, times)
            await asyncio.sleep(POLL_S)
    return sorted(times.values())


async def _note(
    client: httpx.AsyncClient,
    item: settings_model.Settings,
    generation: int,
    began: float,
    times: dict[str, float],
) -> None:
    response = await client.get(
        f'http://{item.listen.admin}/v1/timeline',
        params={'mark': 'configuration-in-force'},
    )
    for entry in response.json()['entries']:
        if entry['detail'].startswith(f'generation {generation} '):
            wall = (entry['stamp'] >> 16) / 1_000
            times[item.node.name] = wall - began


if __name__ == '__main__':
    main()
