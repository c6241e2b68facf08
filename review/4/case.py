"""All machines are stopped in turn while they answer requests."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import bridge

HOST = 'ficu95.example'
SERVICE = 'huvo11a'
KEY = 'i9n73hh2b9wu3fexd9dn'
ZONES = ('olomouc-a', 'olomouc-b', 'brno-a')
GRACE_S = bridge.CONTRACT_PARAMS['grace-s']
# The pause between two stops, as in the site file's roll_term.
GAP_S = 1.0
# A node may still break off a request that was sent this long after its stop
# signal at most, if the runner is at work in the last sixth of the grace time.
EXCUSED_S = 3.0
# The streams that a machine answers when it is stopped last until shortly
# before the last sixth of the grace time.
HELD_EVENTS, HELD_GAP_S = 64, 0.1
# The stream that a consumer sends on a kept channel, and when.
LATE_EVENTS, LATE_GAP_S = 30, 0.1
LATE_AT_S = (3.5, 5.0, 5.3, 5.6)


def build_route(name: str, prefix: str, **more: object) -> dict:
    """Return a streaming route like those of the sheet."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': prefix,
        'route-kind': 'streaming',
        'timeout-ms': 8000,
        'goal-ms': 1000,
        'priority': 1,
        'service': SERVICE,
        'public': False,
        'sticky': True,
        'gap-target-ms': 500,
        **more,
    }


CONFIG = {
    'version': 7,
    'routes': [
        build_route('feast', '/lohu930/', attempts=2, resumable=True),
        build_route('blend', '/pufi791/', attempts=1, resumable=False),
    ],
    'services': [
        {
            'name': SERVICE,
            'health-path': '/healthz',
            'max-conns': 360,
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


@dataclasses.dataclass
class Sent:
    """One request and how it ended for its consumer."""

    node: str
    attempt: str
    at: float
    since_stop: float
    outcome: str = ''
    is_cut: bool = False


class Consumer:
    """A consumer with a kept channel to each machine and an address list.

    It keeps the list for its time to live, and longer while it cannot obtain
    a new one. It uses no channel to an address that is not listed.
    """

    def __init__(
        self, record: bridge.Record, nodes: list[bridge.Node], zone: str
    ) -> None:
        self._record = record
        self._nodes = nodes
        self._zone = zone
        self.listed: list[str] = []
        self.channels: dict[str, bridge.Channel] = {}

    async def follow(self) -> None:
        """Ask for the addresses once a second, at up to three machines."""
        while True:
            for node in self._nodes:
                found = await bridge.resolve(node, HOST, self._zone)
                if found:
                    if sorted(found) != sorted(self.listed):
                        self._record.add(f'consumer is told {sorted(found)}')
                    self.listed = found
                    break
            await asyncio.sleep(1.0)

    def build_headers(self) -> tuple[str, list[tuple[str, str]]]:
        """Return a new attempt id and the headers of a request."""
        attempt = bridge.create_attempt_id()
        return attempt, [
            ('Host', HOST),
            ('Teaselbridge-Attempt-Id', attempt),
            ('Teaselbridge-Model', 'm'),
            ('Teaselbridge-Token-Count', '1460,80'),
            ('Teaselbridge-Prompt-Prefix', f'5c1e07a2:800,{attempt}:660'),
            ('Teaselbridge-Deadline-Ms', '8000'),
            ('Teaselbridge-Credential', KEY),
        ]

    async def open_channels(self, count: int) -> None:
        """Open channels to all machines and use each once."""
        for node in self._nodes:
            for number in range(count):
                channel = bridge.Channel(node.front)
                await channel.open()
                _, headers = self.build_headers()
                target = '/pufi791/2f?events=2&gap=0.01'
                status, _, _ = await channel.call(
                    'POST', target, headers, b'x'
                )
                if status != 200:
                    raise bridge.CannotRun(f'{node.name} answers {status}')
                self.channels[f'{node.name}/{number}'] = channel

    async def send(
        self,
        channel: bridge.Channel,
        node: bridge.Node,
        target: str,
        stop: float,
    ) -> Sent | None:
        """Send a stream on a kept channel if the consumer may still use it."""
        if node.front not in self.listed:
            self._record.add(f'{node.name} is not listed, nothing is sent')
            return None
        if channel.has_ended():
            self._record.add(f'{node.name} has closed the channel')
            return None
        attempt, headers = self.build_headers()
        now = self._record.now()
        sent = Sent(node.name, attempt, now, now - stop)
        self._record.add(f'send {attempt} to {node.name} {target}')
        try:
            status, _, body = await channel.call('POST', target, headers, b'x')
            sent.outcome = f'{status}, {len(body)} bytes'
        except (EOFError, TimeoutError) as error:
            sent.outcome = repr(error)
            sent.is_cut = isinstance(error, EOFError)
        self._record.add(f'answer {attempt} {sent.outcome}')
        return sent


async def stop_and_send(
    record: bridge.Record,
    consumer: Consumer,
    node: bridge.Node,
    delay_s: float,
    trouble: bool,
) -> list[Sent]:
    """Stop one machine while it answers, and send it late requests."""
    await asyncio.sleep(delay_s)
    target = f'/lohu930/2f?events={HELD_EVENTS}&gap={HELD_GAP_S}'
    stop = record.now() + 0.2
    held = asyncio.create_task(
        consumer.send(consumer.channels[f'{node.name}/0'], node, target, stop)
    )
    await asyncio.sleep(0.2)
    if trouble:
        node.send(signal.SIGTERM)
    stop = record.now()

    async def send_late(number: int, after_s: float) -> Sent | None:
        await asyncio.sleep(max(0.0, stop + after_s - record.now()))
        late = f'/pufi791/2f?events={LATE_EVENTS}&gap={LATE_GAP_S}'
        channel = consumer.channels[f'{node.name}/{number}']
        return await consumer.send(channel, node, late, stop)

    results = await asyncio.gather(
        held,
        *(
            send_late(number, after_s)
            for number, after_s in enumerate(LATE_AT_S, start=1)
        ),
    )
    if trouble:
        try:
            left_s = stop + GRACE_S - record.now()
            await asyncio.wait_for(node.process.wait(), max(0.0, left_s))
        except TimeoutError:
            await node.kill()
        record.say(
            f'{node.name} ended {record.now() - stop:.2f} s after SIGTERM'
        )
        await asyncio.sleep(0.5)
        await node.start()
    return [item for item in results if item is not None]


async def main(record: bridge.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    deployment = bridge.Deployment(record)
    follower = None
    try:
        await deployment.start_platform()
        for zone in ZONES:
            await deployment.add_runner(SERVICE, zone, slots=64)
        deployment.store.put('op/config', json.dumps(CONFIG).encode())
        # Two machines may be stopped at once, which are all there are.
        nodes = [
            deployment.add_node(f'front-{zone}-1', zone) for zone in ZONES[:2]
        ]
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(4)
        consumer = Consumer(record, nodes, ZONES[0])
        follower = asyncio.create_task(consumer.follow())
        await asyncio.sleep(1)
        await consumer.open_channels(1 + len(LATE_AT_S))
        found = await asyncio.gather(
            *(
                stop_and_send(record, consumer, node, GAP_S * index, trouble)
                for index, node in enumerate(nodes)
            )
        )
        sent = [item for items in found for item in items]
        ran = {
            attempt
            for runner in deployment.runners
            for _, attempt, _ in runner.runs
        }
        lost = [
            item
            for item in sent
            if item.is_cut
            and item.attempt in ran
            and item.since_stop > EXCUSED_S
        ]
        for item in sent:
            record.say(
                f'{item.node}: sent {item.since_stop:.2f} s after its stop:'
                f' {item.outcome}, run: {item.attempt in ran}'
            )
        record.say(
            f'LOST: {len(lost)} requests were read and passed on to a sound'
            ' runner, and their channels ended without a complete answer'
        )
        return not lost
    finally:
        if follower is not None:
            follower.cancel()
        await deployment.close()


if __name__ == '__main__':
    bridge.run_case(main, str(FOLDER))
