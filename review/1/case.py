"""An entry that cannot be read appears among those of the runners."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import bridge

HOST = 'ficu95.example'
SERVICE = 'wuno96b'
KEY = 'n2ctnfzs989anu6wsjnb'
ZONES = ('olomouc-a', 'olomouc-b', 'brno-a')
DRAIN_S = bridge.CONTRACT_PARAMS['drain-ms'] / 1000
RECOVER_S = bridge.CONTRACT_PARAMS['recover-s']
# Deeper than the usual JSON parsers read; the entry has four kilobytes.
NESTED_LEVELS = 2_000

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-6tta828',
            'host': HOST,
            'path-prefix': '/cufi504/',
            'route-kind': 'idempotent',
            'timeout-ms': 1000,
            'goal-ms': 100,
            'priority': 2,
            'service': SERVICE,
            'attempts': 2,
            'public': False,
        },
    ],
    'services': [
        {
            'name': SERVICE,
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
            'name': 'hule930',
            'api-keys': [KEY],
            'unit': 'tokens',
            'plain-tokens': 200,
            'rate-per-s': 100000,
            'burst': 100000,
        }
    ],
}


def build_foreign_entry() -> bytes:
    """Return an entry of another writer whose bytes cannot be read."""
    nested = '[' * NESTED_LEVELS + ']' * NESTED_LEVELS
    return f'{{"service": "{SERVICE}", "notes": {nested}}}'.encode()


class Traffic:
    """Consumers that send to every node a few times a second."""

    def __init__(
        self, record: bridge.Record, nodes: list[bridge.Node]
    ) -> None:
        self._record = record
        self._nodes = nodes
        self.sent: dict[str, tuple[float, str]] = {}
        self.statuses: dict[str, int] = {}

    async def send(self, node: bridge.Node) -> None:
        """Send one request."""
        attempt = bridge.create_attempt_id()
        self.sent[attempt] = (self._record.now(), node.name)
        self._record.add(f'send {attempt} to {node.name}')
        try:
            status, _, _ = await bridge.call(
                node.front,
                'GET',
                '/cufi504/fi50/2f',
                [
                    ('Host', HOST),
                    ('Teaselbridge-Attempt-Id', attempt),
                    ('Teaselbridge-Deadline-Ms', '1000'),
                    ('Teaselbridge-Credential', KEY),
                ],
                timeout_s=2.0,
            )
        except (OSError, EOFError, TimeoutError):
            status = 0
        self.statuses[attempt] = status
        self._record.add(f'answer {attempt} {status}')

    async def play(self, span_s: float) -> list[str]:
        """Send for some time; return the ids."""
        before = set(self.sent)
        until = self._record.now() + span_s
        while self._record.now() < until:
            await asyncio.gather(*(self.send(node) for node in self._nodes))
            await asyncio.sleep(0.1)
        return [attempt for attempt in self.sent if attempt not in before]

    def count_served(self, ids: list[str]) -> int:
        """Return how many of some requests were served."""
        return sum(self.statuses.get(attempt) == 200 for attempt in ids)


async def main(record: bridge.Record, trouble: bool) -> bool:
    """Play the case; return whether the rules held."""
    deployment = bridge.Deployment(record)
    store = deployment.store
    try:
        await deployment.start_platform()
        stays, drains, leaves = [
            await deployment.add_runner(SERVICE, zone) for zone in ZONES
        ]
        store.put('op/config', json.dumps(CONFIG).encode())
        nodes = [
            deployment.add_node(f'front-{zone}-1', zone) for zone in ZONES
        ]
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.wait_ready()
        traffic = Traffic(record, nodes)
        await asyncio.sleep(4)
        ids = await traffic.play(3)
        record.say(
            f'at first: {traffic.count_served(ids)} of {len(ids)} served'
        )
        if traffic.count_served(ids) < 0.9 * len(ids):
            raise bridge.CannotRun('the calm deployment does not serve')

        if trouble:
            store.put('servers/i-0badcafe', build_foreign_entry())
            record.say(f'{record.now():.3f} s: the foreign entry is written')
        await traffic.play(2)
        drains.state = 'draining'
        drains.register()
        store.remove(f'servers/{leaves.instance}')
        acked = record.now()
        record.say(
            f'{acked:.3f} s: ack that {drains.instance} drains and'
            f' {leaves.instance} is gone'
        )
        ids = await traffic.play(DRAIN_S + 6)
        late = [
            (runner.instance, traffic.sent[attempt][1])
            for runner in (drains, leaves)
            for at, attempt, _ in runner.runs
            if at > acked + DRAIN_S and traffic.sent[attempt][0] > acked
        ]
        for node in nodes:
            record.say(
                f'DRAIN: {sum(name == node.name for _, name in late)} requests'
                f' of {node.name} reached them later than drain-ms'
            )
        record.say(
            f'meanwhile {traffic.count_served(ids)} of {len(ids)} served'
        )

        for runner in (drains, leaves):
            await runner.stop()
        store.remove(f'servers/{drains.instance}')
        for node in nodes:
            await node.kill()
        await asyncio.sleep(1)
        for node in nodes:
            await node.start()
        back = record.now()
        record.say(f'{back:.3f} s: all nodes were killed and are back')
        await asyncio.sleep(RECOVER_S)
        ids = await traffic.play(6)
        served = traffic.count_served(ids)
        ready = [await node.is_ready() for node in nodes]
        record.say(
            f'RECOVER: {served} of {len(ids)} requests served that were sent'
            f' later than recover-s; ready: {ready}; {stays.instance} is up'
        )
        return not late and served >= len(ids) / 4
    finally:
        await deployment.close()


if __name__ == '__main__':
    bridge.run_case(main, str(FOLDER))
