"""Orders run once and only once."""

from __future__ import annotations

import asyncio

import httpx
import testtools
import uuid_utils

from teaselbridge.client import outcomes
from teaselbridge.standins import keyvalue
from tests.failures import base

BODY = b'{"items": ["paschal candle"]}'


def new_id() -> str:
    """Make an id for an order."""
    return str(uuid_utils.uuid7())


class TestOrders(base.TestCase):
    """Runs of each id, and what re-sends hear."""

    def test_resend_to_another_node_gets_the_stored_answer(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                number = new_id()
                first = await trial.caller(0).send(
                    'POST', '/orders', BODY, request=number
                )
                again = await trial.caller(1).send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual(201, first.status)
                self.assertEqual(first.body, again.body)
                self.assertTrue(again.stored)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.go(run())

    def test_many_sendings_at_once(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                number = new_id()
                callers = [trial.caller(count % 2) for count in range(8)]
                replies = await asyncio.gather(
                    *(
                        caller.send('POST', '/orders', BODY, request=number)
                        for caller in callers
                    )
                )
                self.assertEqual(1, len({reply.body for reply in replies}))
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.go(run())

    def test_answers_of_the_ledger_are_lost(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                trial.fleet.store.faults = keyvalue.Faults(lose_answers=2)
                number = new_id()
                reply = await trial.caller().send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual(201, reply.status)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.go(run())

    def test_ledger_is_down(self) -> None:
        """The order is refused, not run, and runs once it is back."""

        async def run() -> None:
            async with base.running() as trial:
                trial.fleet.store.faults = keyvalue.Faults(down=True)
                number = new_id()
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
                reply = await trial.caller().send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual(201, reply.status)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.go(run())

    def test_server_dies_while_it_runs_the_order(self) -> None:
        """Whether it ran cannot be known, so it is never run again."""

        async def run() -> None:
            async with base.running() as trial:
                number = new_id()
                caller = trial.caller()
                task = asyncio.create_task(
                    caller.send('POST', '/orders', BODY, request=number)
                )
                await trial.until(lambda: trial.fleet.book.runs[number])
                await trial.fleet.kill(trial.busy('shop'))
                with testtools.ExpectedException(outcomes.RefusedError):
                    await task
                error = None
                try:
                    await trial.caller().send(
                        'POST', '/orders', BODY, request=number
                    )
                except outcomes.RefusedError as found:
                    error = found
                self.assertEqual('unknown', error.problem.ran)
                self.assertEqual(1, trial.fleet.book.runs[number])

        self.go(run())

    def test_status_of_an_order(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                number = new_id()
                self.assertEqual('not-run', await self._state(trial, number))
                await trial.caller().send(
                    'POST', '/orders', BODY, request=number
                )
                self.assertEqual('done', await self._state(trial, number))
                other = await self._state(trial, number, key='other-key')
                self.assertEqual('not-run', other)

        self.go(run())

    def test_old_and_plain_ids_are_refused(self) -> None:
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

        self.go(run())

    async def _state(
        self, trial: base.Trial, number: str, key: str = base.WORKSPACE_KEY
    ) -> str:
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.get(
                f'{trial.base()}/v1/requests/{number}',
                headers={'authorization': f'Bearer {key}'},
            )
        return response.json()['state']
