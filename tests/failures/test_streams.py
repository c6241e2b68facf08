"""Test that streams survive the loss of backend servers and nodes."""

from __future__ import annotations

import asyncio
import typing

from tests.failures import base

if typing.TYPE_CHECKING:
    from teaselbridge.client import outcomes
    from teaselbridge.runtime import node as nodes

TOKENS = 80
TOKENS_BEFORE_FAULT = 10
LONG_PROMPT = 'a page of panels ' * 200
# Engines count four characters of a prompt as one token.
MIN_CACHED_TOKENS = len(LONG_PROMPT) // 4 - 100


class TestStreams(base.TestCase):
    """The answer equals that of a run without faults."""

    def _check_answer(
        self, completion: outcomes.Completion, text: str
    ) -> None:
        self.assertEqual(
            base.build_expected_answer(text, TOKENS), completion.text
        )

    async def _complete_with_fault(
        self,
        trial: base.Trial,
        text: str,
        inject_fault: typing.Callable[[str], typing.Awaitable[None]],
    ) -> outcomes.Completion:
        """Send a chat request and inject a fault after the first tokens.

        :param inject_fault: called with the host that runs the request.
        :return: the whole answer.
        """
        tokens: list[str] = []
        caller = trial.create_caller()
        task = asyncio.create_task(
            caller.complete(
                base.build_chat_request(text, TOKENS), on_token=tokens.append
            )
        )
        await trial.until(lambda: len(tokens) >= TOKENS_BEFORE_FAULT)
        await inject_fault(trial.busy('engines'))
        return await task

    def test_server_dies_without_notice(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                completion = await self._complete_with_fault(
                    trial, 'a death', trial.fleet.kill
                )
                self._check_answer(completion, 'a death')

        self.run_coroutine(run())

    def test_connections_stop_sending_data(self) -> None:
        async def run() -> None:
            async with base.running() as trial:

                async def silence(host: str) -> None:
                    trial.fleet.silence(host)

                completion = await self._complete_with_fault(
                    trial, 'silence', silence
                )
                self._check_answer(completion, 'silence')

        self.run_coroutine(run())

    def test_server_is_reclaimed_with_notice(self) -> None:
        async def run() -> None:
            async with base.running() as trial:

                async def reclaim(host: str) -> None:
                    trial.fleet.reclaim(host, 1_200)

                completion = await self._complete_with_fault(
                    trial, 'notice', reclaim
                )
                self._check_answer(completion, 'notice')
                resumed = sum(
                    node.meter.value('resumed', 'reclaim')
                    for node in trial.nodes
                )
                self.assertEqual(1, resumed)

        self.run_coroutine(run())

    def test_cache_is_moved_on_a_reclaim(self) -> None:
        """The next server finds nearly the whole prompt in its cache."""

        async def run() -> None:
            async with base.running() as trial:
                tokens_before: dict[str, int] = {}

                async def reclaim(host: str) -> None:
                    tokens_before.update(self._count_cached_tokens(trial))
                    trial.fleet.reclaim(host, 1_200)

                completion = await self._complete_with_fault(
                    trial, LONG_PROMPT, reclaim
                )
                self._check_answer(completion, LONG_PROMPT)
                self.assertEqual(1, self._count_cache_moves(trial, 'moved'))
                cached = max(
                    count - tokens_before.get(host, 0)
                    for host, count in self._count_cached_tokens(trial).items()
                )
                self.assertGreater(cached, MIN_CACHED_TOKENS)

        self.run_coroutine(run())

    def test_cache_that_cannot_be_moved(self) -> None:
        """The stream resumes at the next server without the cache."""

        async def run() -> None:
            async with base.running() as trial:

                async def reclaim(host: str) -> None:
                    server = trial.fleet.backends[host].server
                    server.cache.list_cached_blocks = None
                    trial.fleet.reclaim(host, 1_200)

                completion = await self._complete_with_fault(
                    trial, LONG_PROMPT, reclaim
                )
                self._check_answer(completion, LONG_PROMPT)
                self.assertEqual(1, self._count_cache_moves(trial, 'failed'))

        self.run_coroutine(run())

    def _count_cached_tokens(self, trial: base.Trial) -> dict[str, int]:
        """Return the number of cached prompt tokens of each engine."""
        return {
            host: backend.server.figures.cached_tokens
            for host, backend in trial.fleet.backends.items()
            if backend.row.pool == 'engines'
        }

    def _count_cache_moves(self, trial: base.Trial, outcome: str) -> float:
        """Count the cache moves that ended in an outcome, on all nodes."""
        return sum(
            node.meter.value('caches_moved', outcome) for node in trial.nodes
        )

    def test_node_drains_on_short_notice(self) -> None:
        """A stream that cannot end in time is handed to the other node."""

        async def run() -> None:
            async with base.running(
                drain_ms=1_800, address_ttl_ms=200
            ) as trial:
                tokens: list[str] = []
                caller = trial.create_caller(0)
                task = asyncio.create_task(
                    caller.complete(
                        base.build_chat_request('drain', TOKENS),
                        on_token=tokens.append,
                    )
                )
                await trial.until(lambda: len(tokens) >= TOKENS_BEFORE_FAULT)
                holder = next(
                    node for node in trial.nodes if node.loop.state.requests
                )
                holder.drain()
                completion = await task
                self._check_answer(completion, 'drain')
                self.assertEqual(1, completion.resumed)

        self.run_coroutine(run())

    def test_peer_dies_during_a_handoff(self) -> None:
        """The new owner of the request dies; the caller uses a third node."""

        async def run() -> None:
            async with base.running(
                count=3, drain_ms=1_800, address_ttl_ms=200
            ) as trial:
                task, holder = await self._start_stream(trial, 'peer dies')
                holder.drain()
                new_owner = await self._wait_for_new_owner(trial, holder)
                await new_owner.abort()
                self._check_answer(await task, 'peer dies')

        self.run_coroutine(run())

    def test_second_reclaim_during_a_handoff(self) -> None:
        """The new owner of the request is drained as well."""

        async def run() -> None:
            async with base.running(
                count=3, drain_ms=1_800, address_ttl_ms=200
            ) as trial:
                task, holder = await self._start_stream(
                    trial, 'second reclaim'
                )
                holder.drain()
                new_owner = await self._wait_for_new_owner(trial, holder)
                new_owner.drain()
                self._check_answer(await task, 'second reclaim')

        self.run_coroutine(run())

    async def _start_stream(
        self, trial: base.Trial, text: str
    ) -> tuple[asyncio.Task[outcomes.Completion], nodes.Node]:
        """Start a stream that outlasts two drains.

        :return: task of the caller, and the node that owns the request.
        """
        tokens: list[str] = []
        body = base.build_chat_request(text, TOKENS)
        task = asyncio.create_task(
            trial.create_caller().complete(body, on_token=tokens.append)
        )
        await trial.until(lambda: len(tokens) >= TOKENS_BEFORE_FAULT)
        holder = next(node for node in trial.nodes if node.loop.state.requests)
        return task, holder

    async def _wait_for_new_owner(
        self, trial: base.Trial, holder: nodes.Node
    ) -> nodes.Node:
        """Wait until another node owns the request, and return that node."""
        others = [node for node in trial.nodes if node is not holder]
        await trial.until(
            lambda: any(node.loop.state.requests for node in others)
        )
        return next(node for node in others if node.loop.state.requests)

    def test_node_dies(self) -> None:
        """The caller resumes at another node after the received tokens."""

        async def run() -> None:
            async with base.running() as trial:
                tokens: list[str] = []
                caller = trial.create_caller()
                task = asyncio.create_task(
                    caller.complete(
                        base.build_chat_request('crash', TOKENS),
                        on_token=tokens.append,
                    )
                )
                await trial.until(lambda: len(tokens) >= TOKENS_BEFORE_FAULT)
                holder = next(
                    node for node in trial.nodes if node.loop.state.requests
                )
                await holder.abort()
                completion = await task
                self._check_answer(completion, 'crash')
                self.assertEqual(1, completion.resumed)

        self.run_coroutine(run())

    def test_unstreamed_answer_survives_a_server_crash(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                body = base.build_chat_request('not streamed', TOKENS)
                task = asyncio.create_task(
                    trial.post('/v1/chat/completions', json=body)
                )
                await trial.until(lambda: trial.busy('engines'))
                await trial.fleet.kill(trial.busy('engines'))
                response = await task
                document = response.json()
                self.assertEqual(
                    base.build_expected_answer('not streamed', TOKENS),
                    document['choices'][0]['message']['content'],
                )

        self.run_coroutine(run())


class TestPoisonRequests(base.TestCase):
    """A request that crashes servers is refused after two crashes."""

    def test_poison_request_is_refused_at_all_nodes(self) -> None:
        async def run() -> None:
            async with base.running(engines=5) as trial:
                body = base.build_chat_request('please crash the server', 5)
                backend_count = len(trial.fleet.backends)
                for number in (0, 1, 0):
                    response = await trial.post(
                        '/v1/chat/completions', number=number, json=body
                    )
                    problem = response.json()
                    self.assertEqual(422, response.status_code)
                    self.assertIn('crashes', problem['type'])
                self.assertEqual(backend_count - 2, len(trial.fleet.backends))
                accepted = await trial.post(
                    '/v1/chat/completions',
                    json=base.build_chat_request('good', 5),
                )
                self.assertEqual(200, accepted.status_code)

        self.run_coroutine(run())
