"""Stop nodes in calm while callers go on sending to them.

Run as a command, it does so with several seeds and a longer grace period, and
also stops several nodes one after the other, sends signals more than once, or
reads some answers slowly.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import pathlib
import random
import re
import signal
import socket
import time
import typing

import click

from tests.failures import processes
from tests.failures import site

if typing.TYPE_CHECKING:
    import collections.abc

# Time for which callers may use a list with the stopping node in it.
LISTED_S = 3.0
# A server still at work in the last part of the grace period excuses the end
# of a request that was sent while callers could not know better.
LAST_PART = 1 / 6
# Timeout of all routes of `site`.
ROUTE_TIMEOUT_MS = 15_000
SEND_INTERVAL_S = 0.1
KEPT_CONNECTIONS = 40
# A refusal is early if it comes within this time of the request.
EARLY_S = 1.0
# A connection that ends without an answer sooner may cross its request.
CROSSING_S = 0.2
# Time between two waves of stops.
MIN_WAVE_S = 1.0
MAX_WAVE_S = 1.3
REPEATED_SIGNALS = 3
SLOW_EVENTS = 2_000
SLOW_INTERVAL_S = 0.5
SLOW_RECEIVE_BUFFER_BYTES = 4_096
_NUMBERS = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class Sent:
    """One request and how it ended for its caller.

    :param sent_s: when it was sent, in seconds after SIGTERM.
    :param deadline_s: when its caller gives up or its route's timeout is
        reached, likewise.
    :param ended_s: when its answer or its connection ended, likewise.
    :param status: status of the answer, 0 where none came.
    :param is_whole: whether the answer is complete.
    """

    attempt: str
    target: str
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    status: int = 0
    is_whole: bool = False

    def find_fault(self, ran: int, grace_s: float) -> str:
        """Return what is wrong with its end, empty where nothing is.

        :param ran: number of servers that ran it.
        :param grace_s: grace period of the node.
        """
        if self.is_whole:
            if self.status == 503 and ran:
                return 'refused as not run, and ran'
            if self.status == 500:
                return 'internal error'
            if self.status == 503 and not self._is_refused_early():
                return 'refused late'
            if self.status == 502 and not self._is_excused(grace_s):
                return 'accepted without the time for it'
            return ''
        if not ran or self._is_excused(grace_s):
            return ''
        return 'cut'

    def _is_refused_early(self) -> bool:
        return self.ended_s - self.sent_s < EARLY_S

    def _is_excused(self, grace_s: float) -> bool:
        if self.ended_s >= self.deadline_s:
            return True
        return self.sent_s <= LISTED_S and self.ended_s >= grace_s * (
            1 - LAST_PART
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is stopped, and how.

    :param grace_s: grace period of the nodes.
    :param nodes: number of nodes.
    :param stopped: number of nodes that are stopped.
    :param wave: number of nodes that are stopped at once.
    :param before_s: time from the first requests to the first stop.
    :param interval_s: time between two requests of a caller.
    :param kept: number of connections that a caller keeps.
    :param signals: whether SIGTERM is repeated, with SIGHUP between.
    :param slow_rate: bytes a second that callers of large answers read, 0 for
        no such callers.
    """

    grace_s: float = 8.0
    nodes: int = 3
    stopped: int = 1
    wave: int = 1
    before_s: float = 1.0
    interval_s: float = SEND_INTERVAL_S
    kept: int = KEPT_CONNECTIONS
    signals: bool = False
    slow_rate: int = 0


class Connection:
    """One connection of a caller.

    :param rate: bytes a second that it reads, 0 for no limit.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        rate: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._rate = rate

    @classmethod
    async def open(cls, address: str, rate: int = 0) -> Connection:
        """Open a connection."""
        host, _, port = address.rpartition(':')
        if not rate:
            streams = await asyncio.open_connection(host, int(port))
            return cls(*streams, rate)
        caller = socket.socket()
        caller.setblocking(False)
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
        )
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(caller, (host, int(port)))
        except OSError:
            caller.close()
            raise
        streams = await asyncio.open_connection(
            sock=caller, limit=SLOW_RECEIVE_BUFFER_BYTES
        )
        return cls(*streams, rate)

    @property
    def has_ended(self) -> bool:
        """Whether the node has closed it."""
        return self._reader.at_eof() or self._writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def call(
        self, target: str, headers: dict[str, str]
    ) -> tuple[int, bool, bool]:
        """Send a request.

        :return: status, whether the answer is complete, and whether the
            connection stays open.
        """
        lines = [f'POST {target} HTTP/1.1', 'Content-Length: 4']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        status = 0
        try:
            self._writer.write('\r\n'.join([*lines, '', 'body']).encode())
            head = await self._reader.readuntil(b'\r\n\r\n')
            status = int(head.split()[1])
            await self._read_body(head.lower())
        except (asyncio.IncompleteReadError, ConnectionError):
            return status, False, False
        return status, True, b'connection: close' not in head.lower()

    async def _read_body(self, head: bytes) -> None:
        found = re.search(rb'content-length: (\d+)', head)
        if found is not None:
            await self._reader.readexactly(int(found.group(1)))
            return
        size = 1
        while size:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            await self._reader.readexactly(size + 2)
            if self._rate:
                await asyncio.sleep(size / self._rate)


class Caller:
    """Caller that goes on sending to one node until its process is gone.

    :param build_request: function that returns a target and the time that
        the caller has, in milliseconds; 0 to send no deadline.
    :param interval_s: time between two requests.
    :param kept: number of connections that are kept.
    :param rate: bytes a second that it reads, 0 for no limit.
    """

    def __init__(
        self,
        node: processes.NodeProcess,
        build_request: collections.abc.Callable[[], tuple[str, int]],
        *,
        interval_s: float = SEND_INTERVAL_S,
        kept: int = KEPT_CONNECTIONS,
        rate: int = 0,
    ) -> None:
        self.sent: list[Sent] = []
        self._node = node
        self._build_request = build_request
        self._interval_s = interval_s
        self._most_kept = kept
        self._rate = rate
        self._kept: list[Connection] = []
        self._calls: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Open the connections that are kept, and use each of them once."""
        for _ in range(self._most_kept):
            connection = await Connection.open(self._node.callers, self._rate)
            headers = site.build_request_headers(site.WORKSPACE_KEY)
            status, _, _ = await connection.call('/stock/1', headers)
            assert status == 200, status
            self._kept.append(connection)

    async def run(self) -> None:
        """Send until the process is gone, then wait for all answers."""
        while self._node.is_running:
            self._calls.append(asyncio.create_task(self._send()))
            await asyncio.sleep(self._interval_s)
        await asyncio.gather(*self._calls)
        for connection in self._kept:
            connection.close()

    async def _send(self) -> None:
        connection = None
        while self._kept and connection is None:
            connection = self._kept.pop(0)
            if connection.has_ended:
                connection = None
        if connection is None:
            try:
                connection = await Connection.open(
                    self._node.callers, self._rate
                )
            except OSError:
                return
        target, deadline_ms = self._build_request()
        attempt = f'stop-{next(_NUMBERS)}'
        headers = {
            'Host': site.HTTP_HOST,
            'Teaselbridge-Attempt-Id': attempt,
            'Teaselbridge-Credential': site.WORKSPACE_KEY,
        }
        if deadline_ms:
            headers['Teaselbridge-Deadline-Ms'] = str(deadline_ms)
        begun = time.monotonic()
        sent = Sent(
            attempt=attempt,
            target=target,
            sent_s=begun,
            deadline_s=begun
            + min(deadline_ms or ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS) / 1_000,
        )
        self.sent.append(sent)
        status, whole, stays_open = await connection.call(target, headers)
        sent.status, sent.is_whole = status, whole
        sent.ended_s = time.monotonic()
        if stays_open:
            self._kept.append(connection)
        else:
            connection.close()


def build_callers(
    node: processes.NodeProcess, source: random.Random, plan: Plan
) -> list[Caller]:
    """Build a caller for each kind of request."""

    def build_stream(path: str) -> tuple[str, int]:
        events = source.randint(10, 150)
        target = f'{path}?events={events}&event-ms=100'
        return target, source.choice((0, 12_800, 15_700, events * 100 + 900))

    def build_booking() -> tuple[str, int]:
        # Some take longer than their callers wait.
        work_ms = source.randint(200, 1_700) + source.choice((0, 0, 0, 900))
        return f'/orders/1?work-ms={work_ms}', source.choice((1_750, 0))

    def build_question() -> tuple[str, int]:
        work_ms = source.choice((2, 2, 2, 400))
        return f'/stock/1?work-ms={work_ms}', source.choice((800, 3_000, 0))

    def build_large() -> tuple[str, int]:
        target = f'/stream/large?events={SLOW_EVENTS}&event-ms=0'
        return target, source.choice((12_800, 15_700))

    callers = [
        Caller(
            node,
            build_request,
            interval_s=plan.interval_s,
            kept=plan.kept,
        )
        for build_request in (
            build_question,
            build_booking,
            lambda: build_stream('/stream/x'),
            lambda: build_stream('/stream/once/x'),
        )
    ]
    if plan.slow_rate:
        callers.append(
            Caller(
                node,
                build_large,
                interval_s=SLOW_INTERVAL_S,
                kept=plan.kept,
                rate=plan.slow_rate,
            )
        )
    return callers


def list_faults(
    trial: site.Trial,
    node: processes.NodeProcess,
    sent: list[Sent],
    grace_s: float,
) -> list[str]:
    """List the requests with a wrong end."""
    runs: dict[str, int] = {}
    for server in trial.servers:
        for run in server.runs:
            runs[run.attempt] = runs.get(run.attempt, 0) + 1
    faults = []
    for item in sent:
        item.sent_s -= node.stopped_at
        item.deadline_s -= node.stopped_at
        item.ended_s -= node.stopped_at
        fault = item.find_fault(runs.get(item.attempt, 0), grace_s)
        if fault:
            faults.append(f'{fault}: {item}')
    return faults


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a stop of one node did.

    :param sent: all requests to the node.
    :param faults: those with a wrong end.
    :param ended_s: when its process ended, in seconds after SIGTERM.
    :param log: lines of the node.
    """

    sent: list[Sent]
    faults: list[str]
    ended_s: float
    log: str

    @property
    def unanswered(self) -> list[Sent]:
        """Requests whose connection ended late and without any answer."""
        return [
            item
            for item in self.sent
            if not item.status and item.ended_s - item.sent_s > CROSSING_S
        ]


async def stop_one_of_three(seed: int, grace_s: float) -> Result:
    """Stop one node of three."""
    (result,) = await stop_nodes(seed, Plan(grace_s=grace_s))
    return result


async def stop_nodes(seed: int, plan: Plan) -> list[Result]:
    """Stop nodes in waves.

    :return: one result for each node that was stopped.
    """
    source = random.Random(seed)
    async with processes.run_processes(plan.nodes, plan.grace_s) as (
        trial,
        nodes,
    ):
        stopped = nodes[: plan.stopped]
        callers = {
            node.callers: build_callers(node, source, plan) for node in stopped
        }
        every = list(itertools.chain(*callers.values()))
        for caller in every:
            await caller.open()
        tasks = []
        for caller in every:
            tasks.append(asyncio.create_task(caller.run()))
            await asyncio.sleep(plan.interval_s / len(every))
        await asyncio.sleep(plan.before_s)
        ends = []
        for number, node in enumerate(stopped):
            if number and not number % plan.wave:
                await asyncio.sleep(source.uniform(MIN_WAVE_S, MAX_WAVE_S))
            node.stop()
            node.kill_after(plan.grace_s)
            ends.append(asyncio.create_task(node.wait()))
            if plan.signals:
                tasks.append(
                    asyncio.create_task(
                        _repeat_signals(node, source, plan.grace_s)
                    )
                )
        await asyncio.gather(*tasks)
        return [
            _build_result(
                trial, node, callers[node.callers], plan, await ended
            )
            for node, ended in zip(stopped, ends, strict=True)
        ]


async def _repeat_signals(
    node: processes.NodeProcess, source: random.Random, grace_s: float
) -> None:
    """Send SIGHUP and SIGTERM again, at moments within the grace period."""
    for _ in range(REPEATED_SIGNALS):
        for number in (signal.SIGHUP, signal.SIGTERM):
            await asyncio.sleep(
                source.uniform(0, grace_s / REPEATED_SIGNALS / 2)
            )
            if node.is_running:
                node.send_signal(number)


def _build_result(
    trial: site.Trial,
    node: processes.NodeProcess,
    callers: list[Caller],
    plan: Plan,
    ended_s: float,
) -> Result:
    sent = [item for caller in callers for item in caller.sent]
    faults = list_faults(trial, node, sent, plan.grace_s)
    if node.was_killed:
        faults.append('killed at the end of its grace period')
    return Result(
        sent=sent,
        faults=faults,
        ended_s=ended_s,
        log=node.log.read_text(),
    )


@click.command()
@click.option('--first-seed', default=1, help='Seed of the first run.')
@click.option('--runs', default=20, help='Number of runs.')
@click.option('--grace-s', default=8.0, help='Grace period in seconds.')
@click.option('--nodes', default=3, help='Number of nodes.')
@click.option('--stopped', default=1, help='Number of nodes to stop.')
@click.option('--wave', default=1, help='Number of nodes to stop at once.')
@click.option('--before-s', default=1.0, help='Seconds until the first stop.')
@click.option(
    '--interval-s',
    default=SEND_INTERVAL_S,
    help='Seconds between two requests of a caller.',
)
@click.option(
    '--kept', default=KEPT_CONNECTIONS, help='Connections of a caller.'
)
@click.option('--signals', is_flag=True, help='Repeat SIGTERM, with SIGHUP.')
@click.option('--slow-rate', default=0, help='Bytes/s that slow callers read.')
@click.option('--logs', default='', help='Folder for logs of faulty runs.')
def main(first_seed: int, runs: int, logs: str, **options: typing.Any) -> None:
    """Stop nodes with several seeds and print what ended wrongly."""
    plan = Plan(**options)
    for seed in range(first_seed, first_seed + runs):
        for number, result in enumerate(asyncio.run(stop_nodes(seed, plan))):
            click.echo(
                f'seed {seed}: node {number} ended after'
                f' {result.ended_s:.2f} s, {len(result.sent)} sent,'
                f' {len(result.faults)} faults,'
                f' {len(result.unanswered)} without an answer'
            )
            for fault in result.faults:
                click.echo(f'  {fault}')
            for item in result.unanswered:
                click.echo(f'  without an answer: {item}')
            if logs and result.faults:
                path = pathlib.Path(logs) / f'seed-{seed}-node-{number}.log'
                path.write_text(result.log)


if __name__ == '__main__':
    main()
