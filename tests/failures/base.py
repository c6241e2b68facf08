"""Run nodes and simulated services in one process over loopback sockets."""

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
from teaselbridge.standins import ports
from teaselbridge.tables import model
from teaselbridge.telemetry import logs

if typing.TYPE_CHECKING:
    import collections.abc

ZONES = ('zone-a', 'zone-b')
OPERATOR_KEY = 'operator'
TIMEOUT_S = 60.0
WORKSPACE_KEY = 'workspace-key'
TOKEN_INTERVAL_MS = 10.0

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
    """Running nodes and simulated services of one test."""

    def __init__(self, fleet: fleets.Fleet, running: list[nodes.Node]) -> None:
        self.fleet = fleet
        self.nodes = running
        self.settings: list[settings_model.Settings] = []
        self._open_callers: list[caller.Caller] = []

    def target(self, number: int = 0) -> remote.Target:
        """Return the address and key of a node's operator interface."""
        return remote.Target(self.settings[number].listen.admin, OPERATOR_KEY)

    def base(self, number: int = 0) -> str:
        """Return the caller URL of a node, as ``http://ip:port``."""
        return f'http://{self.settings[number].listen.callers}'

    def create_caller(
        self, *numbers: int, key: str = WORKSPACE_KEY
    ) -> caller.Caller:
        """Create a caller.

        :param numbers: indices of the nodes that the caller gets as seeds;
            all nodes by default.
        :param key: workspace key of the caller.
        """
        seed_numbers = numbers or tuple(range(len(self.settings)))
        seeds = tuple(
            self.settings[number].listen.callers for number in seed_numbers
        )
        new_caller = caller.Caller(seeds=seeds, key=key)
        self._open_callers.append(new_caller)
        return new_caller

    def create_tls_caller(self, address: str, ca: str) -> caller.Caller:
        """Create a caller that connects over TLS.

        :param ca: path of the certificate that the caller trusts.
        """
        new_caller = caller.Caller(seeds=(address,), key=WORKSPACE_KEY, ca=ca)
        self._open_callers.append(new_caller)
        return new_caller

    async def apply(self, tables: model.Tables) -> models.ApplyReply:
        """Apply tables and wait until all nodes use them."""
        reply = await config.apply(self.target(), tables, None)
        await config.wait(self.target(), reply.generation, TIMEOUT_S)
        return reply

    async def post(
        self, path: str, *, number: int = 0, **options: typing.Any
    ) -> httpx.Response:
        """Send a POST request to a node without the caller library."""
        headers = {
            'authorization': f'Bearer {WORKSPACE_KEY}',
            **options.pop('headers', {}),
        }
        async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
            return await client.post(
                self.base(number) + path, headers=headers, **options
            )

    def busy(self, pool: str) -> str:
        """Return a host of a pool that is executing a request.

        :return: the host name, or an empty string if the pool is idle.
        """
        for host, backend in self.fleet.backends.items():
            if backend.row.pool == pool and backend.server.running:
                return host
        return ''

    async def until(self, check: typing.Callable[[], typing.Any]) -> None:
        """Wait until a check returns a true value.

        :raises TimeoutError: the check stayed false for ``TIMEOUT_S``.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await asyncio.sleep(0.01)

    async def drain(self, number: int = 0) -> None:
        """Stop a node gracefully."""
        node = self.nodes[number]
        node.drain()
        await self.until(
            lambda: (
                node.loop.state.drain is not None
                and node.loop.state.drain.is_stopped
            )
        )
        await node.stop()

    async def close(self) -> None:
        """Close the callers and stop the nodes and simulated services."""
        for open_caller in self._open_callers:
            await open_caller.close()
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
    """Run nodes on simulated services.

    The nodes have found each other and all backend servers, and use the
    tables, before the context is entered.

    :param count: number of nodes.
    :param engines: number of model engines.
    :param services: number of backend servers of the plain service.
    :param tables: configuration to apply.
    :param bad_versions: behaviour of backend servers by their version.
    :param peer_keys: CURVE key pair for messages between nodes; the messages
        are not encrypted if none.
    :param limits: limits in the settings of each node.
    """
    spec = _build_spec(engines, services, bad_versions or {})
    fleet = fleets.Fleet(spec=spec)
    await fleet.start()
    trial = Trial(fleet, [])
    try:
        trial.settings = [
            dataclasses.replace(item, peer_keys=peer_keys)
            for item in _build_settings(fleet, count, limits)
        ]
        for settings in trial.settings:
            node = nodes.Node(settings=settings)
            await node.start()
            trial.nodes.append(node)
        await trial.until(lambda: _has_converged(trial))
        await trial.apply(tables)
        yield trial
    finally:
        await trial.close()


def build_joining_settings(trial: Trial) -> settings_model.Settings:
    """Build the settings of an additional node that joins a deployment."""
    (settings,) = _build_settings(trial.fleet, 1, {})
    return dataclasses.replace(
        settings,
        node=dataclasses.replace(settings.node, name='entry-more'),
        seeds=tuple(item.listen.peers for item in trial.settings),
    )


def build_expected_answer(text: str, tokens: int) -> str:
    """Return the answer to a chat message when no failure occurs."""
    messages = [{'role': 'user', 'content': text}]
    return engine.whole(engine.build_chat_prompt(messages), tokens)


def build_chat_request(
    text: str, tokens: int, **more: typing.Any
) -> dict[str, typing.Any]:
    """Build the body of a chat request.

    :param more: additional fields of the body.
    """
    return {
        'model': 'lm',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        **more,
    }


class TestCase(testtools.TestCase):
    """Base class of tests that run coroutines."""

    def setUp(self) -> None:
        super().setUp()
        logs.silence_web_server()

    def run_coroutine(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine in a new event loop until it returns."""
        asyncio.run(work)


def _has_converged(trial: Trial) -> bool:
    """Return whether each node knows all others and all backend servers."""
    peer_count = len(trial.nodes) - 1
    return all(
        len(node.loop.state.membership.alive) == peer_count
        and len(node.loop.state.servers.all) == len(trial.fleet.backends)
        and node.loop.state.configured
        for node in trial.nodes
    )


def _build_spec(
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
                token_ms=TOKEN_INTERVAL_MS,
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


def _build_settings(
    fleet: fleets.Fleet, count: int, limits: dict[str, typing.Any]
) -> list[settings_model.Settings]:
    keyvalue, cloud, _ = fleet.addresses
    peers = [f'127.0.0.1:{ports.find_free_port()}' for _ in range(count)]
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
                callers=f'127.0.0.1:{ports.find_free_port()}',
                admin=f'127.0.0.1:{ports.find_free_port()}',
                peers=peers[number],
            ),
            platform=platform,
            seeds=tuple(peers),
            operator_key=OPERATOR_KEY,
            limits=settings_model.Limits(**limits),
        )
        for number in range(count)
    ]
