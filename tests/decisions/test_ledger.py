"""Tests of the ledger of claims."""

from __future__ import annotations

import testtools

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import claims
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import ledger

NOW = clock.Instant(1_000, 1_800_000_000_000)
ANSWER = calls.Answer(201, (), b'done')


def operation(
    wish: claims.OperationKind, token: str, number: int = 1, **more: object
) -> claims.Operation:
    """Return an operation on the claim of a numbered request."""
    found = {
        'handle': number,
        'key': calls.RequestKey('w', f'request-{number}'),
        'id_time': NOW.wall,
        'token': token,
        'node': 'n1',
        'until': NOW.mono + 5_000,
        'keep_ms': 1_000,
    }
    return claims.Operation(wish=wish, **{**found, **more})


class TestApply(testtools.TestCase):
    """Content of a bucket after some operations."""

    def _apply(self, *operations: claims.Operation) -> claims.Claim:
        content = ledger.apply({}, operations)
        return content['w/request-1']

    def test_first_claim_wins(self) -> None:
        found = self._apply(
            operation(claims.OperationKind.CLAIM, 'a'),
            operation(claims.OperationKind.CLAIM, 'b'),
        )
        self.assertEqual('a', found.token)

    def test_closed_claim_can_be_claimed_again(self) -> None:
        found = self._apply(
            operation(claims.OperationKind.CLAIM, 'a'),
            operation(claims.OperationKind.CLOSE, 'a'),
            operation(claims.OperationKind.CLAIM, 'b'),
        )
        self.assertEqual('b', found.token)

    def test_late_claim_does_not_reopen_its_own_closed_claim(self) -> None:
        found = self._apply(
            operation(claims.OperationKind.CLOSE, 'a'),
            operation(claims.OperationKind.CLAIM, 'a'),
        )
        self.assertIs(claims.Stage.NOT_RUN, found.stage)

    def test_other_tokens_cannot_close_or_finish(self) -> None:
        found = self._apply(
            operation(claims.OperationKind.CLAIM, 'a'),
            operation(claims.OperationKind.CLOSE, 'b'),
            operation(claims.OperationKind.FINISH, 'b', answer=ANSWER),
        )
        self.assertEqual('a', found.token)
        self.assertIs(claims.Stage.RUNNING, found.stage)

    def test_outcome_is_final(self) -> None:
        found = self._apply(
            operation(claims.OperationKind.CLAIM, 'a'),
            operation(claims.OperationKind.FINISH, 'a', answer=ANSWER),
            operation(claims.OperationKind.CLAIM, 'b'),
        )
        self.assertEqual(ANSWER, found.answer)


class TestLedger(testtools.TestCase):
    """Reads, writes and lost responses of one bucket."""

    def setUp(self) -> None:
        super().setUp()
        self.ledger = ledger.Ledger()

    def _read(
        self,
        step: ledger.Step,
        value: bytes | None,
        now: clock.Instant = NOW,
    ) -> ledger.Step:
        (read,) = step.effects
        event = events.KeyRead(read.ticket, value, 7)
        return self.ledger.handle_key_read(event, now)

    def _swap(self, step: ledger.Step) -> effects.SwapKey:
        return next(
            effect
            for effect in step.effects
            if isinstance(effect, effects.SwapKey)
        )

    def test_operations_are_batched_during_a_write(self) -> None:
        first = operation(claims.OperationKind.CLAIM, 'a', 1)
        step = self._read(self.ledger.submit(first, NOW), None)
        write = self._swap(step)
        numbers = [
            number
            for number in range(2, 200)
            if ledger.get_bucket_key(
                operation(claims.OperationKind.CLAIM, '', number).key, NOW.wall
            )
            == write.key
        ]
        for number in numbers:
            more = operation(claims.OperationKind.CLAIM, f't{number}', number)
            self.assertEqual(ledger.Step(), self.ledger.submit(more, NOW))
        event = events.KeySwapped(write.ticket, True, 8)
        later = NOW.plus(ledger.WRITE_INTERVAL_MS)
        step = self.ledger.handle_key_swapped(event, later)
        self.assertEqual(1, len(step.results))
        gathered = ledger.decode_claims(self._swap(step).value)
        self.assertEqual(len(numbers) + 1, len(gathered))

    def test_write_with_unknown_outcome_is_read_back(self) -> None:
        own = operation(claims.OperationKind.CLAIM, 'a')
        write = self._swap(self._read(self.ledger.submit(own, NOW), None))
        failed = events.KeyFailed(write.ticket, True)
        self.ledger.failed(failed, NOW)
        later = NOW.plus(ledger.MAX_BACKOFF_MS)
        step = self._read(self.ledger.tick(later), write.value, later)
        (settled,) = step.results
        self.assertEqual('a', settled.claim.token)

    def test_lost_race_shows_the_winner(self) -> None:
        own = operation(claims.OperationKind.CLAIM, 'a')
        write = self._swap(self._read(self.ledger.submit(own, NOW), None))
        lost = events.KeySwapped(write.ticket, False, 0)
        step = self.ledger.handle_key_swapped(lost, NOW)
        other = operation(claims.OperationKind.CLAIM, 'b')
        value = ledger.encode_claims(ledger.apply({}, [other]))
        (settled,) = self._read(step, value).results
        self.assertEqual('b', settled.claim.token)

    def test_operation_expires_while_a_write_hangs(self) -> None:
        own = operation(claims.OperationKind.CLAIM, 'a')
        self._read(self.ledger.submit(own, NOW), None)
        (settled,) = self.ledger.tick(NOW.plus(5_000)).results
        self.assertTrue(settled.failed)

    def test_unanswered_handover_is_done_locally(self) -> None:
        own = operation(claims.OperationKind.CLAIM, 'a')
        self.ledger.hand_over(own, NOW)
        step = self.ledger.tick(NOW.plus(ledger.HANDOVER_TIMEOUT_MS))
        self.assertIsInstance(step.effects[0], effects.ReadKey)


class TestWakes(testtools.TestCase):
    """A waiting bucket schedules one wake-up, not one per event."""

    def _write(self, requests_ledger: ledger.Ledger, number: int) -> None:
        """Write a bucket once, so that its next write has to wait."""
        asked = operation(claims.OperationKind.CLAIM, 'a', number)
        (read,) = requests_ledger.submit(asked, NOW).effects
        empty = events.KeyRead(read.ticket, None, 0)
        swap = requests_ledger.handle_key_read(empty, NOW).effects[0]
        requests_ledger.handle_key_swapped(
            events.KeySwapped(swap.ticket, True, 1), NOW
        )

    def _in_distinct_shards(self, count: int) -> list[int]:
        """Return the numbers of requests in different shards."""
        by_shard = {
            ledger.get_shard(
                calls.RequestKey('w', f'request-{number}')
            ): number
            for number in range(100)
        }
        return sorted(by_shard.values())[:count]

    def test_only_one_wake_per_bucket(self) -> None:
        requests_ledger = ledger.Ledger()
        wakes: list[effects.Effect] = []
        for number in self._in_distinct_shards(3):
            self._write(requests_ledger, number)
            again = operation(
                claims.OperationKind.FINISH, 'a', number, answer=ANSWER
            )
            wakes += requests_ledger.submit(again, NOW).effects
        for _ in range(20):
            wakes += requests_ledger.tick(NOW).effects
        self.assertEqual(3, len(wakes))

    def test_woken_bucket_writes(self) -> None:
        requests_ledger = ledger.Ledger()
        (number,) = self._in_distinct_shards(1)
        self._write(requests_ledger, number)
        again = operation(
            claims.OperationKind.FINISH, 'a', number, answer=ANSWER
        )
        (wake,) = requests_ledger.submit(again, NOW).effects
        then = clock.Instant(NOW.mono + wake.delay_ms, NOW.wall)
        found = requests_ledger.tick(then).effects
        self.assertIsInstance(found[0], effects.SwapKey)
