"""Requests that crash the backend servers that answer them."""

from __future__ import annotations

import asyncio
import itertools

import httpx

from teaselbridge.platform import documents
from teaselbridge.runtime import site as sites
from teaselbridge.standins import runner as runners
from tests.failures import base
from tests.failures import site

BAD_PART = 'bad0'
ENGINES = 14
NODES = 3
# The platform allows five crashes, and three more requests after them.
MAX_CRASHES = 8
_NUMBERS = itertools.count(1)


async def add_engines(trial: site.Trial) -> list[runners.BackendServer]:
    """Add engines that crash on the bad part; return all engines."""
    for number in range(ENGINES - len(trial.list_servers('engines'))):
        server = runners.BackendServer(
            instance=f'more-{number}',
            pool='engines',
            zone=site.ZONES[number % len(site.ZONES)],
        )
        await server.start()
        await server.register(trial.store)
        trial.servers.append(server)
    engines = trial.list_servers('engines')
    for server in engines:
        server.crashing_part = BAD_PART
    for node in trial.nodes:
        servers = node.loop.state.servers
        await site.until(
            lambda s=servers: len(s.in_pool('engines')) == ENGINES
        )
    return engines


async def ask(
    trial: site.Trial, node: int, *parts: str
) -> httpx.Response | None:
    """Send a request whose last part is like no other one's.

    :return: the response, none where it was broken off.
    """
    own = f'own{next(_NUMBERS)}'
    prefix = ','.join(f'{part}:100' for part in (*parts, own))
    try:
        return await trial.call(
            f'/stream/{own}',
            node=node % NODES,
            body=own.encode(),
            Teaselbridge_Prompt_Prefix=prefix,
            Teaselbridge_Token_Count=f'{100 * len(parts) + 100},10',
        )
    except httpx.RemoteProtocolError:
        return None


class TestCrashingPart(base.TestCase):
    """One part of a prompt crashes every engine that begins an answer."""

    # Guards against a part that fells one engine after the other, since no
    # two of the requests that hold it are alike.
    def test_requests_with_the_part_are_refused_soon(self) -> None:
        async def run() -> None:
            async with site.run_deployment(NODES) as trial:
                engines = await add_engines(trial)
                for number in range(20):
                    await asyncio.gather(
                        ask(trial, number, 'head', BAD_PART),
                        ask(trial, number + 1, 'head', f'subject{number % 3}'),
                        ask(trial, number + 2, 'head', f'subject{number % 5}'),
                    )
                crashed = [item for item in engines if item.has_crashed]
                self.assertLessEqual(len(crashed), MAX_CRASHES)
                for number in range(NODES):
                    refused = await ask(trial, number, 'head', BAD_PART)
                    assert refused is not None
                    self.assertEqual(503, refused.status_code)
                    self.assertEqual('no', refused.json()['ran'])
                    sound = await ask(trial, number, 'head', 'subject1')
                    assert sound is not None
                    self.assertEqual(200, sound.status_code)

        self.run_coroutine(run())

    # Guards against sound requests that are lost with those that hold the
    # part: the platform allows half of them at most.
    def test_sound_requests_with_the_same_head_are_served(self) -> None:
        async def run() -> None:
            async with site.run_deployment(NODES) as trial:
                await add_engines(trial)
                answers: list[httpx.Response | None] = []
                for number in range(24):
                    _, *sound = await asyncio.gather(
                        ask(trial, number, 'head', BAD_PART),
                        *(
                            ask(trial, number + step, 'head', f'subject{step}')
                            for step in range(4)
                        ),
                    )
                    answers += sound if number >= 8 else []
                served = sum(
                    answer is not None and answer.status_code == 200
                    for answer in answers
                )
                self.assertGreaterEqual(served, len(answers) / 2)

        self.run_coroutine(run())

    # Guards against a part that crashes engines anew after the loss of all
    # nodes.
    def test_refusal_outlasts_all_nodes(self) -> None:
        async def run() -> None:
            async with site.run_deployment(NODES) as trial:
                await add_engines(trial)
                key = documents.build_part_key(BAD_PART)
                for number in range(4):
                    await ask(trial, number, 'head', BAD_PART)
                    await ask(trial, number, 'head', 'subject')
                await site.until(lambda: trial.store.value(key))
                for node in trial.nodes:
                    await node.abort()
                started = sites.SiteNode(
                    settings=site.build_settings(
                        0, trial.store_host.address, 'unused'
                    ),
                    path='unused',
                )
                trial.nodes = [started]
                await started.start()
                await site.until(lambda: started.loop.state.parts.refused)
                self.assertEqual([BAD_PART], started.loop.state.parts.refused)

        self.run_coroutine(run())
