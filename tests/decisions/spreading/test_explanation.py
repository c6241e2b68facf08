"""Tests of the explanation of where a request would be sent."""

from __future__ import annotations

import dataclasses
import pickle
import random

import testtools

from teaselbridge.decisions import arrival
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions.spreading import explanation
from teaselbridge.decisions import state as states
from teaselbridge import errors
from teaselbridge.peers import messages
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import samples
from tests.decisions.spreading import test_failures

NOW = samples.instant(5_000)
RATE = model.Rate(per_s=20_000, burst=40_000, in_tokens=True)
QUESTION = explanation.Question(
    route='r',
    workspace='w',
    parts=(
        explanation.PartOfPrompt(id='head', tokens=13_000),
        explanation.PartOfPrompt(id='own', tokens=3_000),
    ),
)
PLAIN = explanation.Question(route='r', workspace='w')


def make_state(seed: int = 1, rate: model.Rate | None = None) -> states.State:
    """Return a state with load of other nodes that is out of date."""
    state = test_failures.make_state()
    state.random = random.Random(seed)
    tables = model.Tables(
        pools=(
            model.Pool(
                name='p', kind=model.Kind.RELAYED, versions=(), zones=()
            ),
        ),
        routes=(samples.relayed().route,),
        workspaces=(model.Workspace(name='w', key='k', rate=rate),),
    )
    state.index = join.Index(configuration=model.Configuration(tables=tables))
    for number in range(6):
        test_failures.hear(
            state, f'm{number}', 4_900, {f'h{number}': 900 * number}
        )
    state.loads.record_part('h2', 'head', NOW)
    state.loads.age_ms = 700.0
    state.parts.merge(
        messages.PartCrashes(part='head', hosts=('h0',), until=10**12)
    )
    return state


def send(
    state: states.State, question: explanation.Question
) -> list[effects.Effect]:
    """Let a request arrive and return the effects."""
    call = explanation.build_call(state, question, NOW)
    call = dataclasses.replace(call, handle=9)
    return [
        *arrival.handle_call_arrived(state, events.CallArrived(call), NOW),
        *dispatch.dispatch_waiting_requests(state, NOW),
    ]


def list_hosts(found: list[effects.Effect]) -> list[str]:
    """Return the hosts to which effects send a request."""
    return [
        effect.host
        for effect in found
        if isinstance(effect, effects.RelayAttempt)
    ]


class TestAnswer(testtools.TestCase):
    """The explanation tells what the node does next."""

    # Guards against explanations by other code than that which decides.
    def test_same_choice_as_the_next_request(self) -> None:
        chosen = set()
        for seed in range(40):
            for question in (QUESTION, PLAIN):
                state = make_state(seed)
                if question is QUESTION:
                    state.loads = type(state.loads)()
                    state.loads.age_ms = 700.0
                explained = explanation.explain(state, question, NOW)
                self.assertEqual(
                    [explained.chosen], list_hosts(send(state, question))
                )
                chosen.add(explained.chosen)
        self.assertGreater(len(chosen), 3)

    def test_candidates_are_in_order(self) -> None:
        """The first candidate has the least wait, and the cached head."""
        explained = explanation.explain(make_state(), QUESTION, NOW)
        waits = [item.wait_ms for item in explained.candidates]
        self.assertEqual(sorted(waits), waits)
        first = explained.candidates[0]
        self.assertEqual('h2', first.server)
        self.assertEqual(13_000, first.cached_tokens)
        self.assertEqual(700.0, first.age_ms)
        self.assertEqual(1, first.others)
        self.assertEqual('h2', explained.chosen)

    def test_each_excluded_server_has_a_reason(self) -> None:
        """No server of the pool may be missing from the answer."""
        state = make_state()
        found = [state.servers.get(f'h{number}') for number in range(6)]
        first, second, third, fourth, fifth, sixth = (
            server for server in found if server is not None
        )
        first.leaving = True
        second.ejected_until = 6_000
        third.backoff_until = 5_400
        fourth.version = ''
        fifth.inflight = fifth.slots
        explained = explanation.explain(state, QUESTION, NOW)
        self.assertEqual(sixth.host, explained.chosen)
        self.assertEqual(
            {
                'h0': 'leaving',
                'h1': 'ejected for failures, 1000 ms left',
                'h2': 'asked for no requests, 400 ms left',
                'h3': 'its version is not known',
                'h4': 'all 64 slots are in use',
            },
            {item.server: item.reason for item in explained.excluded},
        )

    def test_refusal(self) -> None:
        """A request above the rate of its workspace is refused, and why."""
        question = dataclasses.replace(QUESTION, tokens=90_000)
        state = make_state(rate=RATE)
        for _ in range(9):
            state.rates.admit(
                explanation.build_call(state, question, NOW), RATE, NOW
            )
        explained = explanation.explain(state, question, NOW)
        self.assertFalse(explained.admitted)
        self.assertEqual('workspace-rate-limit', explained.refusal)
        self.assertGreater(explained.retry_after_ms, 0)
        self.assertEqual('', explained.chosen)
        refusals = [
            effect
            for effect in send(state, question)
            if isinstance(effect, effects.SendRefusal)
        ]
        self.assertEqual(
            [explained.retry_after_ms],
            [effect.refusal.retry_after_ms for effect in refusals],
        )

    def test_full_pool(self) -> None:
        """A request that would wait has no server."""
        state = make_state()
        for server in state.servers.all:
            server.inflight = server.slots
        explained = explanation.explain(state, QUESTION, NOW)
        self.assertTrue(explained.admitted)
        self.assertEqual('', explained.chosen)
        self.assertEqual(6, len(explained.excluded))


class TestUnchanged(testtools.TestCase):
    """An explanation leaves the state as it was."""

    # Guards against explanations that use up the rate of a workspace, draw
    # from the node's generator or renew what is refused.
    def test_state_is_equal(self) -> None:
        for question in (QUESTION, PLAIN):
            state = make_state(rate=RATE)
            before = pickle.dumps(state)
            first = explanation.explain(state, question, NOW)
            for _ in range(50):
                again = explanation.explain(state, question, NOW)
                self.assertEqual(first, again)
            self.assertEqual(before, pickle.dumps(state))

    def test_difference_would_be_seen(self) -> None:
        """The comparison must see what one sent request changes."""
        state = make_state(rate=RATE)
        before = pickle.dumps(state)
        state.rates.admit(
            explanation.build_call(state, QUESTION, NOW), RATE, NOW
        )
        self.assertNotEqual(before, pickle.dumps(state))
        state = make_state(rate=RATE)
        state.random.random()
        self.assertNotEqual(before, pickle.dumps(state))


class TestBadInput(testtools.TestCase):
    """A message names the field that is wrong."""

    def _check(self, path: str, text: bytes) -> None:
        error = self.assertRaises(
            errors.DocumentError, self._explain, make_state(), text
        )
        self.assertIn(f'at {path}:', str(error))

    def _explain(self, state: states.State, text: bytes) -> None:
        question = explanation.parse_question(text)
        explanation.explain(state, question, NOW)

    def test_field_is_named(self) -> None:
        """An operator must see what to correct."""
        for path, text in (
            ('$', b'{'),
            ('$', b'{}'),
            ('$.route', b'{"route": "none"}'),
            ('$.route', b'{"route": 3}'),
            ('$.workspace', b'{"route": "r", "workspace": "none"}'),
            ('$.tokens', b'{"route": "r", "tokens": "many"}'),
            ('$.tokens', b'{"route": "r", "tokens": -1}'),
            ('$.deadline_ms', b'{"route": "r", "deadline_ms": -1}'),
            ('$.token', b'{"route": "r", "token": 1}'),
            ('$.parts[0]', b'{"route": "r", "parts": [{"id": "x"}]}'),
            (
                '$.parts[0].tokens',
                b'{"route": "r", "parts": [{"id": "x", "tokens": -2}]}',
            ),
        ):
            self._check(path, text)
