"""Run nodes of the deployment platform as processes of their own."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import resource
import signal
import sys
import tempfile
import threading
import time
import typing

import httpx
import msgspec

from tests.failures import site

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model

LAUNCHER = pathlib.Path(__file__).parents[2] / 'deploy' / 'teaselbridge.py'


class NodeProcess:
    """One node, started as the deploy file tells.

    :param settings: settings of the node.
    :param folder: folder for its settings file and its log.

    Attributes:

    * ``stopped_at``: when SIGTERM was sent, in seconds of the monotonic clock.
    """

    def __init__(
        self, *, settings: model.Settings, folder: pathlib.Path
    ) -> None:
        self.settings = settings
        self.log = folder / f'{settings.node.name}.log'
        self.stopped_at = 0.0
        self._path = folder / f'{settings.node.name}.json'
        self._path.write_bytes(msgspec.json.encode(settings))
        self._process: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> str:
        """Address on which the node listens for callers."""
        return self.settings.listen.callers

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        with self.log.open('wb') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(LAUNCHER),
                'serve',
                env={
                    'PATH': os.environ['PATH'],
                    'TEASELBRIDGE_SETTINGS': str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def use_up_descriptors(self, left: int) -> None:
        """Lower the limit of open descriptors to those in use and some.

        :param left: how many more it may open.
        """
        assert self._process is not None
        pid = self._process.pid
        used = len(os.listdir(f'/proc/{pid}/fd'))
        _, most = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (used + left, most))

    def stop(self) -> None:
        """Send SIGTERM."""
        self.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()

    def kill_after(self, delay_s: float) -> None:
        """Kill the process after a delay, however late the event loop is."""
        timer = threading.Timer(delay_s, self._kill_if_running)
        timer.daemon = True
        timer.start()

    def _kill_if_running(self) -> None:
        if self.is_running:
            assert self._process is not None
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()

    @property
    def was_killed(self) -> bool:
        """Whether SIGKILL ended the process."""
        process = self._process
        return process is not None and process.returncode == -signal.SIGKILL

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def wait(self) -> float:
        """Wait until the process has ended.

        :return: seconds since SIGTERM.
        """
        assert self._process is not None
        await self._process.wait()
        return time.monotonic() - self.stopped_at

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.kill()
            await self._process.wait()


@contextlib.asynccontextmanager
async def run_processes(
    count: int, grace_s: float = 4.0
) -> collections.abc.AsyncIterator[tuple[site.Trial, list[NodeProcess]]]:
    """Run nodes as processes beside the simulated services of `site`.

    All are ready before the context is entered.

    :param count: number of nodes.
    :param grace_s: grace period in their settings.
    """
    async with site.run_deployment(0) as trial:
        with tempfile.TemporaryDirectory() as name:
            nodes = [
                NodeProcess(
                    settings=_build_settings(trial, index, grace_s),
                    folder=pathlib.Path(name),
                )
                for index in range(count)
            ]
            try:
                for node in nodes:
                    await node.start()
                for node in nodes:
                    await _wait_until_ready(trial, node)
                yield trial, nodes
            finally:
                for node in nodes:
                    await node.kill()


def _build_settings(
    trial: site.Trial, index: int, grace_s: float
) -> model.Settings:
    settings = site.build_settings(
        index, trial.store_host.address, trial.duties_host.address
    )
    assert settings.site is not None
    bounds = dataclasses.replace(settings.site.bounds, grace_s=grace_s)
    return dataclasses.replace(
        settings, site=dataclasses.replace(settings.site, bounds=bounds)
    )


async def _wait_until_ready(trial: site.Trial, node: NodeProcess) -> None:
    assert node.settings.site is not None
    url = f'http://{node.settings.site.ready}/api/ready'
    async with asyncio.timeout(site.TIMEOUT_S):
        while True:
            with contextlib.suppress(httpx.TransportError):
                if (await trial.client.get(url)).status_code == 200:
                    return
            await asyncio.sleep(0.05)
