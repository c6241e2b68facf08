"""A key is taken away; the names of a config hold an underscore."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import bridge

HOST = 'ficu95.example'
ZONES = ('olomouc-a', 'olomouc-b', 'brno-a')
KEPT_KEY, TAKEN_KEY = 'kept-key-0001', 'taken-key-0002'
REVOKE_S = bridge.CONTRACT_PARAMS['revoke-ms'] / 1000
# Requests that are sent this long after the bound count.
MEASURED_S = 12.0


def encode_config(version: int, keys: list[str], mark: str) -> bytes:
    """Encode a config; ``mark`` stands between the words of its names."""
    service = f'sklad{mark}app'
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': f'stock{mark}look',
                    'host': HOST,
                    'path-prefix': '/stock/',
                    'route-kind': 'idempotent',
                    'timeout-ms': 2000,
                    'goal-ms': 100,
                    'priority': 2,
                    'service': service,
                    'attempts': 2,
                    'public': False,
                },
            ],
            'services': [
                {
                    'name': service,
                    'health-path': '/healthz',
                    'max-conns': 96,
                    'protocol': 'h1',
                    'tls': False,
                }
            ],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': [
                {
                    'name': f'parish{mark}olomouc',
                    'api-keys': keys,
                    'unit': 'tokens',
                    'plain-tokens': 200,
                    'rate-per-s': 100000,
                    'burst': 100000,
                }
            ],
        }
    ).encode()


async def send(
    record: bridge.Record, node: bridge.Node, key: str
) -> tuple[float, str, int]:
    """Send a request with a key; return its time, id and status."""
    attempt = bridge.create_attempt_id()
    sent = record.now()
    record.add(f'send {attempt} with {key} to {node.name}')
    try:
        status, _, _ = await bridge.call(
            node.front,
            'GET',
            '/stock/2f',
            [
                ('Host', HOST),
                ('Teaselbridge-Attempt-Id', attempt),
                ('Teaselbridge-Deadline-Ms', '2000'),
                ('Teaselbridge-Credential', key),
            ],
        )
    except (OSError, EOFError, TimeoutError):
        status = 0
    record.add(f'answer {attempt} {status}')
    return sent, attempt, status


async def main(record: bridge.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    mark = '_' if trouble else '-'
    deployment = bridge.Deployment(record)
    try:
        await deployment.start_platform()
        for zone in ZONES[:2]:
            await deployment.add_runner(f'sklad{mark}app', zone)
        both = [KEPT_KEY, TAKEN_KEY]
        deployment.store.put('op/config', encode_config(3, both, mark))
        nodes = [
            deployment.add_node(f'front-{zone}-1', zone) for zone in ZONES
        ]
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(5)
        for node in nodes:
            for key in both:
                _, _, status = await send(record, node, key)
                if status != 200:
                    raise bridge.CannotRun(f'{key} at {node.name}: {status}')
        deployment.store.put('op/config', encode_config(8, [KEPT_KEY], mark))
        acked = record.now()
        record.say(f'{acked:.3f} s: ack of the config without {TAKEN_KEY}')
        await asyncio.sleep(REVOKE_S + 0.5)
        late: dict[str, str] = {}
        while record.now() < acked + REVOKE_S + MEASURED_S:
            for node in nodes:
                sent, attempt, _ = await send(record, node, TAKEN_KEY)
                late[attempt] = node.name
                assert sent > acked + REVOKE_S
            await asyncio.sleep(0.25)
        kept = [await send(record, node, KEPT_KEY) for node in nodes]
        ran = [
            late[attempt]
            for runner in deployment.runners
            for _, attempt, _ in runner.runs
            if attempt in late
        ]
        for node in nodes:
            record.say(
                f'{node.name}: {ran.count(node.name)} of'
                f' {list(late.values()).count(node.name)} requests with the'
                ' taken key ran, all sent later than revoke-ms after the ack'
            )
        record.say(f'with the kept key: {[status for _, _, status in kept]}')
        return not ran
    finally:
        await deployment.close()


if __name__ == '__main__':
    bridge.run_case(main, str(FOLDER))
