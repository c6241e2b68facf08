"""Tests of the tokens that requests hold in the memory of engines.

Load pattern: many long prompts on engines with more slots than their memory
holds of such prompts.
"""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import loads
from teaselbridge.decisions import reducer
from teaselbridge.decisions.room import memory
from teaselbridge.decisions.room import predict
from teaselbridge.decisions.room import reports
from teaselbridge.decisions import servers
from teaselbridge.decisions import state as states
from teaselbridge.peers import messages
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions.room import test_pace
from tests.decisions import samples

CAPACITY = 100_000
PROMPT = 30_000
OUTPUT = 500
HEAD = calls.Head(200, ())


def build_state(
    *hosts: str, engine: model.Engine | None = None
) -> states.State:
    """Return the state of a node with a pool of engines."""
    state = test_pace.build_state(*hosts)
    pool = model.Pool(
        name='p',
        kind=model.Kind.RELAYED,
        versions=(),
        zones=('z',),
        engine=engine or model.Engine(cache_tokens=CAPACITY),
    )
    tables = model.Tables(pools=(pool,))
    state.index = join.Index(configuration=model.Configuration(tables=tables))
    return state


def build_prompt(
    handle: int,
    tokens: int = PROMPT,
    head: str = '',
    hint: int = OUTPUT,
    deadline: int = 60_000,
) -> calls.Call:
    """Return a request; by default with a prompt of its own."""
    call = samples.relayed(
        handle,
        parts=(calls.PromptPart(head or f'own-{handle}', tokens),),
        tokens_in=tokens,
        deadline=deadline,
        streaming=True,
    )
    return dataclasses.replace(call, length_hint=hint)


def send(
    state: states.State, call: calls.Call, at: int = 1_000
) -> effects.RelayAttempt | None:
    """Let a request arrive.

    :return: its attempt, none where it waits.
    """
    event = events.CallArrived(call)
    return get_attempt(reducer.reduce(state, event, samples.instant(at)))


def get_attempt(found: list[effects.Effect]) -> effects.RelayAttempt | None:
    """Return the attempt among some effects, none if there is none."""
    attempts = [
        item for item in found if isinstance(item, effects.RelayAttempt)
    ]
    return attempts[0] if attempts else None


def end(
    state: states.State, handle: int, at: int = 2_000
) -> list[effects.Effect]:
    """Let the first attempt of a request end well."""
    now = samples.instant(at)
    out = reducer.reduce(state, events.HeadReceived(handle, 1, HEAD), now)
    return out + reducer.reduce(state, events.RelayEnded(handle, 1, True), now)


class TestHeld(testtools.TestCase):
    """Tokens count from the start of an attempt to its end."""

    def _get(self, state: states.State, host: str = 'h') -> int:
        return test_pace.get_server(state, host).profile.tokens

    def test_from_start_to_end(self) -> None:
        state = build_state('h')
        send(state, build_prompt(1))
        self.assertEqual(PROMPT + OUTPUT, self._get(state))
        end(state, 1)
        self.assertEqual(0, self._get(state))

    # Guards against tokens of failed or abandoned requests that fill the
    # memory for ever.
    def test_all_other_ends(self) -> None:
        fault = calls.Fault(
            calls.FaultKind.BUSY, calls.RunStatus.NOT_RUN, 'full'
        )
        for event in (
            events.AttemptFailed(1, 1, fault),
            events.CallerDisconnected(1),
            events.AnswerReceived(1, 1, calls.Answer(400, (), b'')),
        ):
            state = build_state('h')
            send(state, build_prompt(1))
            reducer.reduce(state, event, samples.instant(1_500))
            self.assertEqual(0, self._get(state), event)

    def test_shared_head_counts_once(self) -> None:
        state = build_state('h')
        for handle in (1, 2, 3):
            send(state, build_prompt(handle, head='shared'))
        self.assertEqual(PROMPT + 3 * OUTPUT, self._get(state))

    def test_expected_output(self) -> None:
        state = build_state('h')
        call = dataclasses.replace(build_prompt(1), max_tokens=800)
        unknown = dataclasses.replace(call, length_hint=0)
        self.assertEqual(OUTPUT, memory.expect_output(state, call))
        self.assertEqual(800, memory.expect_output(state, unknown))
        long = dataclasses.replace(call, length_hint=9_000)
        self.assertEqual(800, memory.expect_output(state, long))
        for _ in range(50):
            state.usual.record_output('r', 120)
        self.assertEqual(120, memory.expect_output(state, unknown))
        self.assertEqual(OUTPUT, memory.expect_output(state, call))

    def test_pools_without_engines_hold_nothing(self) -> None:
        state = test_pace.build_state('h')
        send(state, build_prompt(1))
        self.assertEqual(0, self._get(state))


class TestFits(testtools.TestCase):
    """A request goes where the memory has room for it."""

    def _fill(self, state: states.State, host: str, tokens: int) -> None:
        test_pace.get_server(state, host).profile.other_tokens = tokens

    def test_goes_where_it_fits(self) -> None:
        for full in ('h', 'i'):
            state = build_state('h', 'i')
            self._fill(state, full, CAPACITY - PROMPT)
            attempt = send(state, build_prompt(1))
            assert attempt is not None
            self.assertNotEqual(full, attempt.host)

    def test_cached_head_needs_no_room(self) -> None:
        state = build_state('h')
        now = samples.instant(1_000)
        state.loads.record_part('h', 'shared', now)
        self._fill(state, 'h', CAPACITY - PROMPT)
        server = test_pace.get_server(state, 'h')
        for head, expected in (('shared', True), ('other', False)):
            call = build_prompt(1, head=head)
            self.assertIs(expected, predict.fits(state, server, call, now))

    # Guards against small requests that take all room from a large one.
    def test_waits_in_order_until_memory_is_free(self) -> None:
        state = build_state('h')
        for handle in (1, 2, 3):
            self.assertIsNotNone(send(state, build_prompt(handle)))
        self.assertIsNone(send(state, build_prompt(4)))
        self.assertIsNone(send(state, build_prompt(5, tokens=100)))
        attempt = get_attempt(end(state, 1))
        assert attempt is not None
        self.assertEqual(4, attempt.call.handle)

    def test_waits_only_while_it_has_time(self) -> None:
        state = build_state('h')
        self._fill(state, 'h', CAPACITY)
        self.assertIsNone(send(state, build_prompt(1, deadline=3_000)))
        found = reducer.reduce(state, events.Ticked(), samples.instant(2_999))
        (refusal,) = [
            item for item in found if isinstance(item, effects.SendRefusal)
        ]
        self.assertIs(calls.RunStatus.NOT_RUN, refusal.refusal.ran)

    # Guards against a request that waits for room that cannot be.
    def test_larger_than_any_memory(self) -> None:
        state = build_state('h')
        self._fill(state, 'h', CAPACITY)
        call = build_prompt(1, tokens=CAPACITY + 1)
        self.assertIsNotNone(send(state, call))

    def test_pools_without_engines_are_not_limited(self) -> None:
        state = test_pace.build_state('h')
        self._fill(state, 'h', 10 * CAPACITY)
        self.assertIsNotNone(send(state, build_prompt(1)))

    # Load: 64 nodes send prompts to 4 engines, and know of each other's
    # requests by reports only.
    def test_many_nodes(self) -> None:
        hosts = [f'h{number}' for number in range(4)]
        nodes = {f'n{number}': build_state(*hosts) for number in range(64)}
        sent: dict[str, int] = dict.fromkeys(hosts, 0)
        for number, (name, state) in enumerate(nodes.items()):
            at = 1_000 + number
            attempt = send(state, build_prompt(1), at)
            if attempt is None:
                continue
            sent[attempt.host] += PROMPT + OUTPUT
            now = samples.instant(at)
            update = test_pace.build_update(
                *reports.build_reports(state, now), node=name
            )
            for other in nodes.values():
                if other is not state:
                    loads.handle_loads(other, update, now)
        self.assertEqual({host: 3 * (PROMPT + OUTPUT) for host in hosts}, sent)


class TestReports(testtools.TestCase):
    """Nodes tell each other the tokens that their requests hold."""

    def _get_others(self, state: states.State) -> int:
        return test_pace.get_server(state, 'h').profile.other_tokens

    def _merge(
        self, state: states.State, at: int, *items: messages.ServerLoad
    ) -> None:
        update = test_pace.build_update(*items)
        loads.handle_loads(state, update, samples.instant(at))

    def test_reported_tokens(self) -> None:
        sender, receiver = build_state('h'), build_state('h')
        send(sender, build_prompt(1))
        now = samples.instant(1_000)
        self._merge(receiver, 1_000, *reports.build_reports(sender, now))
        self.assertEqual(PROMPT + OUTPUT, self._get_others(receiver))
        ended = messages.ServerLoad(host='h', running=0, prefill=0)
        self._merge(receiver, 1_200, ended)
        self.assertEqual(0, self._get_others(receiver))

    # Guards against hosts of an earlier build whose requests seem to hold
    # nothing.
    def test_reports_of_an_earlier_build(self) -> None:
        state = build_state('h')
        earlier = messages.ServerLoad(host='h', running=2, prefill=0)
        self._merge(state, 500, earlier)
        self.assertEqual(0, self._get_others(state))
        send(state, build_prompt(1))
        self._merge(state, 1_100, earlier)
        self.assertEqual(2 * (PROMPT + OUTPUT), self._get_others(state))


class TestLifetimes(testtools.TestCase):
    """The memory of a server belongs to one lifetime."""

    def test_next_lifetime_is_empty(self) -> None:
        state = build_state('h@1')
        send(state, build_prompt(1))
        state.servers.remove('h@1')
        state.servers.add(samples.row('h@2'), 'v', samples.instant(1_500))
        end(state, 1)
        self.assertEqual(0, self._get(state).profile.tokens)

    def _get(self, state: states.State) -> servers.Server:
        return test_pace.get_server(state, 'h@2')
