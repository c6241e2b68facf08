"""Nodes and stand-ins in one process, over real loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

import httpx
import testtools

from teaselbridge.admin import models
from teaselbridge.cli import config
from teaselbridge.cli import remote
from teaselbridge.client import caller
from teaselbridge.runtime import node as nodes
from teaselbridge.settings import model as settings_model
from teaselbridge.standins import behaviour
from teaselbridge.standins import engine
from teaselbridge.standins import fleet as fleets
from teaselbridge.standins import hosting
from teaselbridge.tables import model
from teaselbridge.telemetry import logs

if typing.TYPE_CHECKING:
    import collections.abc

ZONES = ('zone-a', 'zone-b')
KEY = 'operator'
WAIT_S = 60.0
WORKSPACE_KEY = 'workspace-key'
TOKEN_MS = 10.0

TABLES = model.Tables(
    routes=(
        model.Route(
            name='chat',
            match=model.Match(model='lm'),
            pool='engines',
            deadline_ms=20_000,
        ),
        model.Route(
            name='orders',
            match=model.Match(path='/orders'),
            pool='shop',
            idempotent=False,
            deadline_ms=10_000,
        ),
        model.Route(
            name='catalogue', match=model.Match(path='/catalogue'), pool='shop'
        ),
    ),
    pools=(
        model.Pool(
            name='engines',
            kind=model.Kind.ENGINE,
            versions=(model.Version(name='v1'),),
            zones=ZONES,
            checks_fencing=True,
        ),
        model.Pool(
            name='shop',
            kind=model.Kind.SERVICE,
            versions=(model.Version(name='v1'),),
            zones=ZONES,
        ),
    ),
    workspaces=(
        model.Workspace(name='parish', key=WORKSPACE_KEY),
        model.Workspace(name='other', key='other-key'),
    ),
)


class Trial:
    """A running deployment of a test."""

    def __init__(self, fleet: fleets.Fleet, running: list[nodes.Node]) -> None:
        self.fleet = fleet
        self.nodes = running
        self.settings: list[settings_model.Settings] = []
        self._callers: list[caller.Caller] = []

    def target(self, number: int = 0) -> remote.Target:
        """Operators' interface of a node."""
        return remote.Target(self.settings[number].listen.admin, KEY)

    def base(self, number: int = 0) -> str:
        """Callers' interface of a node, as ``http://ip:port``."""
        return f'http://{self.settings[number].listen.callers}'

    def caller(self, *numbers: int, key: str = WORKSPACE_KEY) -> caller.Caller:
        """Make a caller that knows some of the nodes."""
        chosen = numbers or tuple(range(len(self.settings)))
        seeds = tuple(
            self.settings[number].listen.callers for number in chosen
        )
        found = caller.Caller(seeds=seeds, key=key)
        self._callers.append(found)
        return found

    def secure_caller(self, address: str, ca: str) -> caller.Caller:
        """Make a caller that trusts a certificate."""
        found = caller.Caller(seeds=(address,), key=WORKSPACE_KEY, ca=ca)
        self._callers.append(found)
        return found

    async def apply(self, tables: model.Tables) -> models.ApplyReply:
        """Put tables in force at all nodes."""
        reply = await config.apply(self.target(), tables, None)
        await config.wait(self.target(), reply.generation, WAIT_S)
        return reply

    async def post(
        self, path: str, *, number: int = 0, **options: typing.Any
    ) -> httpx.Response:
        """Send a raw request to a node."""
        headers = {
            'authorization': f'Bearer {WORKSPACE_KEY}',
            **options.pop('headers', {}),
        }
        async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
            return await client.post(
                self.base(number) + path, headers=headers, **options
            )

    def busy(self, pool: str) -> str:
        """Give the host of a pool that runs a request."""
        for host, backend in self.fleet.backends.items():
            if backend.row.pool == pool and backend.server.running:
                return host
        return ''

    async def until(self, check: typing.Callable[[], typing.Any]) -> None:
        """Wait until something is so."""
        async with asyncio.timeout(WAIT_S):
            while not check():
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stop everything."""
        for found in self._callers:
            await found.close()
        await asyncio.gather(*(node.abort() for node in self.nodes))
        await self.fleet.stop()


@contextlib.asynccontextmanager
async def running(
    *,
    count: int = 2,
    engines: int = 3,
    services: int = 2,
    tables: model.Tables = TABLES,
    bad_versions: dict[str, behaviour.Behaviour] | None = None,
    peer_keys: settings_model.PeerKeys | None = None,
    **limits: typing.Any,
) -> collections.abc.AsyncIterator[Trial]:
    """Run nodes on stand-ins with tables in force."""
    spec = _spec(engines, services, bad_versions or {})
    fleet = fleets.Fleet(spec=spec)
    await fleet.start()
    trial = Trial(fleet, [])
    try:
        trial.settings = [
            dataclasses.replace(item, peer_keys=peer_keys)
            for item in _settings(fleet, count, limits)
        ]
        for settings in trial.settings:
            node = nodes.Node(settings=settings)
            await node.start()
            trial.nodes.append(node)
        await trial.until(lambda: _have_met(trial))
        await trial.apply(tables)
        yield trial
    finally:
        await trial.close()


def more_settings(trial: Trial) -> settings_model.Settings:
    """Make settings for a node that joins a trial."""
    (settings,) = _settings(trial.fleet, 1, {})
    return dataclasses.replace(
        settings,
        node=dataclasses.replace(settings.node, name='entry-more'),
        seeds=tuple(item.listen.peers for item in trial.settings),
    )


def answer_of(text: str, tokens: int) -> str:
    """Give the undisturbed answer to a chat message."""
    messages = [{'role': 'user', 'content': text}]
    return engine.whole(engine.chat_prompt(messages), tokens)


def chat(text: str, tokens: int, **more: typing.Any) -> dict[str, typing.Any]:
    """Build a chat request."""
    return {
        'model': 'lm',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        **more,
    }


class TestCase(testtools.TestCase):
    """A test that runs on an event loop."""

    def setUp(self) -> None:
        super().setUp()
        logs.hush()

    def go(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine to its end."""
        asyncio.run(work)


def _have_met(trial: Trial) -> bool:
    others = len(trial.nodes) - 1
    return all(
        len(node.loop.state.membership.alive) == others
        and len(node.loop.state.servers.all) == len(trial.fleet.backends)
        and node.loop.state.configured
        for node in trial.nodes
    )


def _spec(
    engines: int,
    services: int,
    bad_versions: dict[str, behaviour.Behaviour],
) -> fleets.Spec:
    return fleets.Spec(
        platform='127.0.0.1:0',
        groups=(
            fleets.Group(
                pool='engines',
                kind=model.Kind.ENGINE,
                version='v1',
                zones=ZONES,
                count=engines,
                token_ms=TOKEN_MS,
                checks_fencing=True,
            ),
            fleets.Group(
                pool='shop',
                kind=model.Kind.SERVICE,
                version='v1',
                zones=ZONES,
                count=services,
            ),
        ),
        list_lag_ms=200,
        bad_versions=bad_versions,
    )


def _settings(
    fleet: fleets.Fleet, count: int, limits: dict[str, typing.Any]
) -> list[settings_model.Settings]:
    keyvalue, cloud, _ = fleet.addresses
    peers = [f'127.0.0.1:{hosting.free_port()}' for _ in range(count)]
    platform = settings_model.Platform(
        keyvalue=f'http://{keyvalue}',
        hosts=f'http://{cloud}',
        cloud=f'http://{cloud}',
        weights=f'http://{cloud}',
    )
    return [
        settings_model.Settings(
            node=settings_model.Node(
                name=f'entry-{number}',
                zone=ZONES[number % len(ZONES)],
                region='region',
            ),
            listen=settings_model.Listen(
                callers=f'127.0.0.1:{hosting.free_port()}',
                admin=f'127.0.0.1:{hosting.free_port()}',
                peers=peers[number],
            ),
            platform=platform,
            seeds=tuple(peers),
            operator_key=KEY,
            limits=settings_model.Limits(**limits),
        )
        for number in range(count)
    ]
