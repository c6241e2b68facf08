"""Benchmark of the overhead of a node over direct calls to an engine.

The engine is simulated. ``python -m bench.overhead`` prints one JSON
document: times to the first token and between tokens, alternating between
direct calls and calls through a node; processor time per request and per
token; resident memory when idle and with held streams; and claims per write
of the ledger.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import sys
import time
import typing

import httpx
import httpx_sse
import uuid_utils

from bench import deployment
from bench import usage
from teaselbridge.client import caller as callers
from teaselbridge.workload import results

PAIR_COUNT = 60  # pairs of a direct call and a call through the node
STREAM_TOKENS = 40  # tokens of a long stream
HELD_STREAM_COUNT = 200  # concurrent streams of the memory measurement
HELD_TOKENS = 80
HELD_TOKEN_MS = 100
LOOKUP_COUNT = 1_500  # lookups of the processor time measurement
STREAM_COUNT = 150  # short and long streams of the same measurement
ORDER_COUNT = 600  # orders of the ledger measurement
MAX_CONCURRENT_ORDERS = 60  # concurrent orders
MAX_CONCURRENT_REQUESTS = 20  # concurrent lookups or streams
CALLER_KEY = 'example-key-bahari'
SETTLE_S = 3.0


@dataclasses.dataclass(slots=True)
class LatencyRecorder:
    """Times of one call path, direct or through a node."""

    first: results.LatencyHistogram = dataclasses.field(
        default_factory=results.LatencyHistogram
    )
    between: results.LatencyHistogram = dataclasses.field(
        default_factory=results.LatencyHistogram
    )

    def show(self) -> dict[str, typing.Any]:
        """Return the percentiles in milliseconds."""
        return {
            'first_token_ms': dataclasses.asdict(self.first.get_percentiles()),
            'between_tokens_ms': dataclasses.asdict(
                self.between.get_percentiles()
            ),
        }


async def main() -> None:
    """Measure everything and print the results as JSON."""
    spec = deployment.load_example_spec()
    spec['groups'][0].update(slots=64, token_ms=HELD_TOKEN_MS)
    spec['groups'][2].update(slots=64, token_ms=5)
    shape = deployment.DeploymentSettings(zones=('kariakoo',), spec=spec)
    async with deployment.running(shape) as trial:
        pid = trial.get_pid('entry-1')
        await asyncio.sleep(SETTLE_S)
        idle = usage.read_usage(pid)
        result: dict[str, typing.Any] = {
            'idle_resident_mb': idle.resident_mb,
            'idle_cpu_share': await _measure_idle_share(pid),
        }
        result.update(await _measure_latency(trial))
        result['held_streams'] = await _measure_held_streams(trial, pid)
        result['cpu'] = await _measure_cpu(trial, pid)
        result['ledger'] = await _measure_ledger(trial)
    json.dump(result, sys.stdout, indent=2)
    print()


async def _measure_idle_share(pid: int) -> float:
    before = usage.read_usage(pid).cpu_s
    began = time.monotonic()
    await asyncio.sleep(SETTLE_S)
    return (usage.read_usage(pid).cpu_s - before) / (time.monotonic() - began)


async def _measure_latency(
    trial: deployment.Deployment,
) -> dict[str, typing.Any]:
    """Measure direct calls and calls through the node, alternating.

    Both are measured in the same run, so that a change of the load of the
    machine affects both alike.
    """
    direct, through = LatencyRecorder(), LatencyRecorder()
    engine = await _find_engine_address(trial)
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        for number in range(PAIR_COUNT):
            document = _build_document(f'pair {number}')
            await _measure_stream(client, engine, document, direct)
            await _measure_stream(client, trial.seeds[0], document, through)
    return {'direct': direct.show(), 'through_node': through.show()}


async def _measure_held_streams(
    trial: deployment.Deployment, pid: int
) -> dict[str, typing.Any]:
    """Measure the node's memory while it relays many streams at once."""
    async with httpx.AsyncClient(
        trust_env=False, timeout=60, limits=httpx.Limits(max_connections=None)
    ) as client:
        tasks = [
            asyncio.create_task(
                _measure_stream(
                    client,
                    trial.seeds[0],
                    _build_document(f'held {number}', HELD_TOKENS, 'kadidlo'),
                    LatencyRecorder(),
                )
            )
            for number in range(HELD_STREAM_COUNT)
        ]
        await asyncio.sleep(SETTLE_S)
        used = usage.read_usage(pid)
        await asyncio.gather(*tasks)
    return {'streams': HELD_STREAM_COUNT, 'resident_mb': used.resident_mb}


async def _measure_cpu(
    trial: deployment.Deployment, pid: int
) -> dict[str, typing.Any]:
    """Measure the node's processor time per request and per token."""
    caller = callers.Caller(seeds=trial.seeds, key=CALLER_KEY)
    share = await _measure_idle_share(pid)
    lookup = await _measure_request_cpu(
        pid, share, LOOKUP_COUNT, lambda _: caller.send('GET', '/titles/x')
    )
    short = await _measure_request_cpu(
        pid,
        share,
        STREAM_COUNT,
        lambda n: caller.complete(_build_document(n, 1)),
    )
    long = await _measure_request_cpu(
        pid,
        share,
        STREAM_COUNT,
        lambda n: caller.complete(_build_document(n, STREAM_TOKENS)),
    )
    await caller.close()
    token = (long - short) / (STREAM_TOKENS - 1)
    return {
        'lookup_cpu_ms': lookup * 1_000,
        'lookups_per_core_second': 1 / lookup,
        'stream_cpu_ms': short * 1_000,
        'token_cpu_ms': token * 1_000,
        'tokens_per_core_second': 1 / token,
    }


async def _measure_request_cpu(
    pid: int,
    idle_share: float,
    count: int,
    call: typing.Callable[[str], typing.Awaitable[typing.Any]],
) -> float:
    """Return the processor seconds of one request.

    :param idle_share: processor time of the idle node per second, which is
        subtracted.
    """
    numbers = iter(range(count))
    before = usage.read_usage(pid).cpu_s
    began = time.monotonic()

    async def work() -> None:
        for number in numbers:
            await call(f'{began} {number}')

    await asyncio.gather(*(work() for _ in range(MAX_CONCURRENT_REQUESTS)))
    span = time.monotonic() - began
    spent = usage.read_usage(pid).cpu_s - before - idle_share * span
    return spent / count


async def _measure_ledger(
    trial: deployment.Deployment,
) -> dict[str, typing.Any]:
    """Measure how many claims of orders each ledger write carries."""
    caller = callers.Caller(seeds=trial.seeds, key=CALLER_KEY)
    before = await trial.count('bucket_writes')
    claims = await trial.count('claims')
    began = time.monotonic()
    numbers = iter(range(ORDER_COUNT))

    async def work() -> None:
        for _ in numbers:
            await caller.send(
                'POST',
                '/orders/print',
                b'{"items": ["x"]}',
                request=str(uuid_utils.uuid7()),
            )

    await asyncio.gather(*(work() for _ in range(MAX_CONCURRENT_ORDERS)))
    span = time.monotonic() - began
    await caller.close()
    writes = await trial.count('bucket_writes') - before
    claims = await trial.count('claims') - claims
    return {
        'orders': ORDER_COUNT,
        'seconds': span,
        'claims': claims,
        'writes': writes,
        'claims_per_write': claims / writes,
    }


async def _find_engine_address(trial: deployment.Deployment) -> str:
    # The cloud of the simulated services listens on the port after that of
    # the key-value store.
    cloud = trial.keyvalue.rpartition(':')
    url = f'http://{cloud[0]}:{int(cloud[2]) + 1}/v1/hosts'
    async with httpx.AsyncClient(trust_env=False) as client:
        rows = (await client.get(url)).json()['hosts']
    row = next(row for row in rows if row['pool'] == 'story-models')
    address: str = row['address']
    return address


def _build_document(
    text: str, tokens: int = STREAM_TOKENS, model: str = 'story-caption'
) -> dict[str, typing.Any]:
    return {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        'stream': True,
    }


async def _measure_stream(
    client: httpx.AsyncClient,
    address: str,
    document: dict[str, typing.Any],
    probe: LatencyRecorder,
) -> None:
    headers = {'authorization': f'Bearer {CALLER_KEY}'}
    began = last = time.monotonic()
    count = 0
    async with client.stream(
        'POST',
        f'http://{address}/v1/chat/completions',
        json=document,
        headers=headers,
    ) as response:
        async for event in httpx_sse.EventSource(response).aiter_sse():
            if '"content"' not in event.data:
                continue
            now = time.monotonic()
            times = probe.between if count else probe.first
            times.record((now - (last if count else began)) * 1_000)
            last = now
            count += 1
    assert count == document['max_tokens'], response.status_code


if __name__ == '__main__':
    asyncio.run(main())
