"""Benchmark of the control plane: idle cost and propagation of tables.

``python -m bench.control_cost --nodes 9 --nodes 27`` runs idle nodes as
tasks of a few processes. For each number of nodes it prints the processor
time, memory and sent bytes per second of one node, the calls to the
key-value store, and the time until changed tables are in force at half, at
99% and at all of the nodes.
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
from teaselbridge.standins import ports
from teaselbridge.tables import check
from teaselbridge.telemetry import logs

MAX_PROCESSES = 5  # maximum number of worker processes
WARM_UP_S = 12.0  # from complete membership to the first reading
MEASURE_S = 20.0  # between the two readings of idle nodes
CHANGE_COUNT = 12  # changes of the tables to measure
POLL_INTERVAL_S = 0.01
APPLY_TIMEOUT_S = 30.0  # timeout of one change
ZONE_COUNT = 19  # availability zones that the nodes are spread over
REGION_COUNT = 7  # regions that the zones are spread over


@click.command()
@click.option('--nodes', 'counts', multiple=True, type=int, default=[3, 9])
def main(counts: tuple[int, ...]) -> None:
    """Measure each number of nodes and print one JSON line for each."""
    for count in counts:
        result = asyncio.run(_measure(count))
        print(json.dumps(result), flush=True)


async def _measure(count: int) -> dict[str, typing.Any]:
    spec = fleets.Spec(platform='127.0.0.1:0', groups=())
    fleet = fleets.Fleet(spec=spec)
    await fleet.start()
    settings = _build_settings(count, fleet.addresses)
    with tempfile.TemporaryDirectory() as folder:
        workers = _start_workers(settings, pathlib.Path(folder))
        try:
            await _wait_for_membership(settings)
            return await _measure_nodes(settings, workers, fleet)
        finally:
            for worker in workers:
                worker.terminate()
            for worker in workers:
                worker.wait()
            await fleet.stop()


def _build_settings(
    count: int, addresses: tuple[str, str, str]
) -> list[settings_model.Settings]:
    free = iter(_find_free_addresses(3 * count))
    keyvalue, cloud, _ = addresses
    platform = settings_model.Platform(
        keyvalue=f'http://{keyvalue}',
        hosts=f'http://{cloud}',
        cloud=f'http://{cloud}',
        weights=f'http://{cloud}',
    )
    nodes_settings: list[settings_model.Settings] = []
    seeds: tuple[str, ...] = ()
    for number in range(count):
        listen = settings_model.Listen(
            callers=next(free), admin=next(free), peers=next(free)
        )
        seeds = seeds or (listen.peers,)
        zone = number % ZONE_COUNT
        nodes_settings.append(
            settings_model.Settings(
                node=settings_model.Node(
                    name=f'node-{number}',
                    zone=f'zone-{zone}',
                    region=f'region-{zone % REGION_COUNT}',
                ),
                listen=listen,
                platform=platform,
                seeds=seeds,
            )
        )
    return nodes_settings


def _find_free_addresses(count: int) -> list[str]:
    free: set[int] = set()
    while len(free) < count:
        free.add(ports.find_free_port())
    return [f'127.0.0.1:{port}' for port in sorted(free)]


def _start_workers(
    settings: list[settings_model.Settings], folder: pathlib.Path
) -> list[subprocess.Popen[bytes]]:
    workers = []
    for number in range(min(MAX_PROCESSES, len(settings))):
        part = settings[number::MAX_PROCESSES]
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
    """Run nodes until the process is terminated."""
    logs.silence_web_server()
    running = [nodes.Node(settings=item) for item in settings]
    for node in running:
        await node.start()
    await asyncio.Event().wait()


async def _wait_for_membership(
    settings: list[settings_model.Settings],
) -> None:
    """Wait until every node lists all other nodes as peers."""
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        for item in settings:
            while await _count_peers(client, item) < len(settings) - 1:
                await asyncio.sleep(0.2)


async def _count_peers(
    client: httpx.AsyncClient, item: settings_model.Settings
) -> int:
    try:
        response = await client.get(f'http://{item.listen.admin}/metrics')
    except httpx.HTTPError:
        return -1
    return int(_sum_metric(response.text, 'teaselbridge_peers '))


def _sum_metric(text: str, start: str) -> float:
    return sum(
        float(line.rpartition(' ')[2])
        for line in text.splitlines()
        if line.startswith(start)
    )


async def _measure_nodes(
    settings: list[settings_model.Settings],
    workers: list[subprocess.Popen[bytes]],
    fleet: fleets.Fleet,
) -> dict[str, typing.Any]:
    await asyncio.sleep(WARM_UP_S)
    before = [usage.read_usage(worker.pid) for worker in workers]
    sent = await _read_sent_bytes(settings)
    calls = dataclasses.replace(fleet.store.calls)
    began = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    span = time.monotonic() - began
    after = [usage.read_usage(worker.pid) for worker in workers]
    sent = await _read_sent_bytes(settings) - sent
    count = len(settings)
    cpu = sum(usage.cpu_s for usage in after)
    cpu -= sum(usage.cpu_s for usage in before)
    reads = fleet.store.calls.reads - calls.reads
    writes = fleet.store.calls.writes - calls.writes
    force = await _measure_propagation(settings)
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


async def _read_sent_bytes(settings: list[settings_model.Settings]) -> float:
    """Return the sum of the bytes that the nodes have sent to peers."""
    total = 0.0
    start = 'teaselbridge_peer_bytes_total{direction="sent"'
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        for item in settings:
            response = await client.get(f'http://{item.listen.admin}/metrics')
            total += _sum_metric(response.text, start)
    return total


async def _measure_propagation(
    settings: list[settings_model.Settings],
) -> dict[str, float]:
    """Apply the tables repeatedly and measure how fast they propagate.

    Each node records on its timeline when a configuration generation came
    into force.

    :return: seconds until the tables are in force, over all changes.
    """
    target = remote.Target(settings[0].listen.admin, '')
    tables = check.load_tables(str(deployment.TABLES))
    half: list[float] = []
    most: list[float] = []
    whole: list[float] = []
    for _ in range(CHANGE_COUNT):
        began = time.time()
        reply = await config.apply(target, tables, None)
        times = await _measure_apply_times(settings, reply.generation, began)
        half.append(times[len(times) // 2])
        most.append(times[int(len(times) * 0.99) - 1])
        whole.append(times[-1])
    return {
        'in_force_half_s': sorted(half)[CHANGE_COUNT // 2],
        'in_force_99_s': sorted(most)[CHANGE_COUNT // 2],
        'in_force_all_median_s': sorted(whole)[CHANGE_COUNT // 2],
        'in_force_all_worst_s': max(whole),
    }


async def _measure_apply_times(
    settings: list[settings_model.Settings], generation: int, began: float
) -> list[float]:
    until = time.monotonic() + APPLY_TIMEOUT_S
    times: dict[str, float] = {}
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        while len(times) < len(settings):
            if time.monotonic() > until:
                raise TimeoutError(
                    f'not in force at all nodes: generation {generation}'
                )
            for item in settings:
                if item.node.name not in times:
                    await _record_time(client, item, generation, began, times)
            await asyncio.sleep(POLL_INTERVAL_S)
    return sorted(times.values())


async def _record_time(
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
            # The low 16 bits of a stamp are a counter, the others are
            # wall-clock milliseconds.
            wall = (entry['stamp'] >> 16) / 1_000
            times[item.node.name] = wall - began


if __name__ == '__main__':
    main()
