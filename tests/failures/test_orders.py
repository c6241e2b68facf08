"""Test that each order runs exactly once.

Orders are requests of a route that is not idempotent. The ledger in the
key-value store records the state of each request id.
"""

from __future__ import annotations

import asyncio

import httpx
import testtools
import uuid_utils

from teaselbridge.client import outcomes
from teaselbridge.standins import keyvalue
from tests.failures import base

BODY = b'{"items": ["paschal candle"]}'


def new_request_id() -> str:
    """Create a request id for an order."""
    return str(uuid_utils.uuid7())


class TestOrders(base.TestCase):
    """Number of runs of each request id, and the replies to retries."""

    def test_retry_at_another_node_gets_the_stored_answer(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                number = new_request_id()
                first = await trial.create_caller(0).send(
                    'POST', '/orders', BODY, request=number
                )
                repeated = await trial.create_caller(1).send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual(201, first.status)
                self.assertEqual(first.body, repeated.body)
                self.assertTrue(repeated.stored)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.run_coroutine(run())

    def test_concurrent_sends_run_once(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                number = new_request_id()
                callers = [
                    trial.create_caller(count % 2) for count in range(8)
                ]
                replies = await asyncio.gather(
                    *(
                        caller.send('POST', '/orders', BODY, request=number)
                        for caller in callers
                    )
                )
                self.assertEqual(1, len({reply.body for reply in replies}))
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.run_coroutine(run())

    def test_replies_of_the_ledger_are_lost(self) -> None:
        """The ledger's writes take effect, but their replies are lost."""

        async def run() -> None:
            async with base.running() as trial:
                trial.fleet.store.faults = keyvalue.Faults(lose_answers=2)
                number = new_request_id()
                reply = await trial.create_caller().send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual(201, reply.status)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.run_coroutine(run())

    def test_ledger_is_down(self) -> None:
        """The order is refused without a run; a retry runs it later."""

        async def run() -> None:
            async with base.running() as trial:
                trial.fleet.store.faults = keyvalue.Faults(down=True)
                number = new_request_id()
                headers = {
                    'idempotency-key': number,
                    'x-deadline-ms': '600',
                    'x-request-attempt': '1',
                }
                response = await trial.post(
                    '/orders', content=BODY, headers=headers
                )
                problem = response.json()
                self.assertEqual('no', problem['ran'])
                self.assertIn('ledger-unavailable', problem['type'])
                self.assertEqual(0, trial.fleet.book.runs[number])
                trial.fleet.store.faults = keyvalue.Faults()
                reply = await trial.create_caller().send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual(201, reply.status)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.run_coroutine(run())

    def test_server_dies_while_it_runs_an_order(self) -> None:
        """Whether the order ran is unknown, so no node runs it again."""

        async def run() -> None:
            async with base.running() as trial:
                number = new_request_id()
                caller = trial.create_caller()
                task = asyncio.create_task(
                    caller.send('POST', '/orders', BODY, request=number)
                )
                await trial.until(lambda: trial.fleet.book.runs[number])
                await trial.fleet.kill(trial.busy('shop'))
                with testtools.ExpectedException(outcomes.RefusedError):
                    await task
                error = None
                try:
                    await trial.create_caller().send(
                        'POST', '/orders', BODY, request=number
                    )
                except outcomes.RefusedError as refusal:
                    error = refusal
                self.assertEqual('unknown', error.problem.ran)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.run_coroutine(run())

    def test_status_of_an_order(self) -> None:
        """Only the workspace that sent the order can see its status."""

        async def run() -> None:
            async with base.running() as trial:
                number = new_request_id()
                self.assertEqual(
                    'not-run', await self._get_state(trial, number)
                )
                await trial.create_caller().send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual('done', await self._get_state(trial, number))
                other_state = await self._get_state(
                    trial, number, key='other-key'
                )
                self.assertEqual('not-run', other_state)

        self.run_coroutine(run())

    def test_expired_and_invalid_ids_are_refused(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                old = '017f22e2-79b0-7cc3-98c4-dc0c0c07398f'
                for number, reason in (
                    (old, 'request-id-expired'),
                    ('my-order', 'request-id-invalid'),
                ):
                    response = await trial.post(
                        '/orders',
                        content=BODY,
                        headers={'idempotency-key': number},
                    )
                    self.assertIn(reason, response.json()['type'])

        self.run_coroutine(run())

    async def _get_state(
        self, trial: base.Trial, number: str, key: str = base.WORKSPACE_KEY
    ) -> str:
        """Request the state of an order from the first node."""
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.get(
                f'{trial.base()}/v1/requests/{number}',
                headers={'authorization': f'Bearer {key}'},
            )
        return response.json()['state']
