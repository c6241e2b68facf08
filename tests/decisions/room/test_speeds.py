"""Tests of the speed of single backend servers."""

from __future__ import annotations

import random

import testtools

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import loads
from teaselbridge.decisions import placement
from teaselbridge.decisions import prefill
from teaselbridge.decisions import reducer
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions.room import predict
from teaselbridge.decisions.room import profile as profiles
from teaselbridge.decisions.room import reports
from teaselbridge.decisions import servers
from teaselbridge.decisions import state as states
from tests.decisions.room import engines
from tests.decisions.room import test_pace
from tests.decisions import samples

USUAL = prefill.DEFAULT_TOKENS_PER_MS
TOKENS = 16_000
HEAD = calls.Head(200, ())
COLD = prefill.PrefillWork(uncached_tokens=TOKENS)


def build_prompt(handle: int = 1) -> calls.Call:
    """Return a request with a prompt that no server has cached."""
    parts = (calls.PromptPart(f'head-{handle}', TOKENS),)
    return samples.relayed(
        handle, parts=parts, tokens_in=TOKENS, deadline=10_000_000
    )


def answer(
    state: states.State,
    host: str,
    *,
    speed: float,
    at: int,
    pace: int = 100,
    stated: int | None = None,
) -> list[effects.Effect]:
    """Let a server answer a prompt that it reads at once.

    :param speed: tokens that it reads per millisecond at the usual pace.
    :param at: when the request is sent.
    :param pace: pace of its machine meanwhile.
    :param stated: pace that it states, if another one; 0 for none.
    :return: the effects of the attempt's start.
    """
    server = test_pace.get_server(state, host)
    told = pace if stated is None else stated
    test_pace.state_pace(state, host, told, at)
    call = build_prompt(at)
    now = samples.instant(at)
    request = requests.Request(call=call, now=now)
    request.host = host
    request.started_at = at
    request.phase = requests.Phase.RUNNING
    state.requests[call.handle] = request
    server.inflight += 1
    found = relays.start_attempt(state, request, server, now)
    reading_ms = TOKENS / speed / (pace / 100)
    later = at + round(reading_ms) + prefill.FIRST_STEP_MS
    test_pace.state_pace(state, host, told, later)
    event = events.HeadReceived(call.handle, request.attempt, HEAD)
    reducer.reduce(state, event, samples.instant(later))
    requests.detach_from_server(state, request)
    return found


def get_speed(state: states.State, host: str) -> float:
    """Return the speed of a server by which a node predicts."""
    usual = state.speeds.get_usual(state, 'p')
    known = test_pace.get_server(state, host).profile
    return usual * known.get_speed_factor(usual)


def predict_ms(state: states.State, host: str, at: int) -> float:
    """Predict the time to the first token of a prompt."""
    server = test_pace.get_server(state, host)
    return predict.predict_first_ms(
        state, server, build_prompt(), COLD, samples.instant(at)
    )


class TestSamples(testtools.TestCase):
    """The speed of a server is learnt from its answers."""

    # Load: machines of two speeds that are slow for some time now and then.
    def test_speeds_of_an_uneven_pool(self) -> None:
        generator = random.Random(1)
        speeds = {f'h{number}': 1.2 for number in range(6)}
        speeds |= {'h0': 0.55, 'h1': 0.55}
        state = test_pace.build_state(*speeds)
        for turn in range(20):
            for number, (host, speed) in enumerate(speeds.items()):
                answer(
                    state,
                    host,
                    speed=generator.uniform(0.9, 1.1) * speed * USUAL,
                    at=5_000 * (10 * turn + number + 1),
                    pace=40 if generator.random() < 0.15 else 100,
                )
        for host, speed in speeds.items():
            found = get_speed(state, host) / USUAL
            self.assertTrue(0.8 < found / speed < 1.2, (host, found))
        slow, fast = (predict_ms(state, f'h{i}', 9_000_000) for i in (0, 5))
        self.assertTrue(1.8 < slow / fast < 2.6, (slow, fast))

    def test_pace_is_no_speed(self) -> None:
        state = test_pace.build_state('h')
        for turn in range(10):
            at = 5_000 * (turn + 1)
            answer(state, 'h', speed=USUAL, at=at, pace=40)
        self.assertEqual(10, self._get(state, 'h').sample_count)
        found = get_speed(state, 'h') / USUAL
        self.assertTrue(0.95 < found < 1.05, found)

    # Guards against a phase that began or ended meanwhile and is taken for
    # the speed of the server.
    def test_changed_pace_is_no_sample(self) -> None:
        state = test_pace.build_state('h')
        answer(state, 'h', speed=USUAL, at=5_000)
        server = test_pace.get_server(state, 'h')
        self.assertEqual(1, server.profile.sample_count)
        call = build_prompt(7)
        request = requests.Request(call=call, now=samples.instant(9_000))
        request.host = 'h'
        request.started_at = 9_000
        request.phase = requests.Phase.RUNNING
        state.requests[7] = request
        relays.start_attempt(state, request, server, samples.instant(9_000))
        test_pace.state_pace(state, 'h', 40, 9_900)
        event = events.HeadReceived(7, 0, HEAD)
        reducer.reduce(state, event, samples.instant(9_900))
        self.assertEqual(1, server.profile.sample_count)

    # Guards against another choice where servers state no pace.
    def test_servers_without_a_pace_are_equal(self) -> None:
        state = test_pace.build_state('h', 'i')
        for turn in range(20):
            at = 5_000 * (turn + 1)
            answer(state, 'h', speed=USUAL / 2, at=at, stated=0)
        usual = state.prefill_speeds.get_tokens_per_ms('p')
        self.assertEqual(usual, get_speed(state, 'h'))
        at = 900_000
        self.assertEqual(
            predict_ms(state, 'i', at) + self._get_lag_ms(state, at),
            predict_ms(state, 'h', at),
        )

    def _get_lag_ms(self, state: states.State, at: int) -> float:
        server = test_pace.get_server(state, 'h')
        return server.get_lag_ms(samples.instant(at))

    def _get(self, state: states.State, host: str) -> profiles.Profile:
        return test_pace.get_server(state, host).profile

    # Guards against one sample that met an unknown queue, and against figures
    # beyond any machine.
    def test_few_or_absurd_samples(self) -> None:
        known = profiles.Profile()
        for _ in range(profiles.MIN_SPEED_SAMPLES - 1):
            known.merge_speed(1.0)
            self.assertEqual(1.0, known.get_speed_factor(USUAL))
        for speed, expected in ((0.001, 0.2), (1e9, 4.0)):
            for _ in range(200):
                known.merge_speed(speed)
            self.assertEqual(expected, known.get_speed_factor(USUAL))

    def test_next_lifetime_starts_anew(self) -> None:
        state = test_pace.build_state('h@1')
        for turn in range(10):
            answer(state, 'h@1', speed=USUAL / 2, at=5_000 * (turn + 1))
        self.assertLess(get_speed(state, 'h@1'), 0.6 * USUAL)
        state.servers.remove('h@1')
        row = samples.row('h@2')
        server = state.servers.add(row, 'v', samples.instant(60_000))
        self.assertEqual(0, server.profile.sample_count)
        usual = state.speeds.get_usual(state, 'p')
        self.assertEqual(usual, get_speed(state, 'h@2'))

    # Guards against speeds that are too low because most samples met prompts
    # that other nodes had sent just before.
    def test_unknown_queues(self) -> None:
        generator = random.Random(1)
        for _ in range(20):
            known = profiles.Profile()
            for _ in range(200):
                queued = generator.choice((0.0, 0.5, 1.0, 2.0))
                known.merge_speed(USUAL / (1 + queued))
            found = known.tokens_per_ms / USUAL
            self.assertTrue(0.85 < found <= 1.0, found)

    def test_log_line(self) -> None:
        state = test_pace.build_state('h')
        (record, _) = answer(state, 'h', speed=USUAL, at=5_000, pace=40)
        assert isinstance(record, effects.RecordEntry)
        self.assertIn('pace 40%, speed 1.0 of 0 samples', record.detail)


class TestModel(testtools.TestCase):
    """Many nodes learn the speeds of engines under load.

    Load: 0.7 of what engines of speeds 0.55 and 1.2 can read, whose machines
    are slow in 15 of 100 spans of 600 ms.
    """

    # Guards against speeds that are learnt from queues which a node does not
    # know, as three of four samples then meet one.
    def test_learnt_speeds(self) -> None:
        servers = [
            engines.Engine(
                host=f's{number}',
                slots=16,
                speed=1.2 if number % 4 else 0.55,
                slow_share=0.15,
                seed=number,
            )
            for number in range(20)
        ]
        cluster = engines.EngineCluster(
            nodes=24, servers=servers, states_pace=True
        )
        cluster.run_prompts(until=20_000, per_s=40, heads=40)
        found = sorted(
            get_speed(node.state, server.host) / USUAL / server.speed
            for node in cluster.nodes.values()
            for server in servers
        )
        tenth = len(found) // 10
        self.assertTrue(0.75 < found[tenth], found[tenth])
        self.assertTrue(found[-tenth] < 1.1, found[-tenth])
        self.assertTrue(0.6 < found[0] and found[-1] < 1.5, found)


class TestSharing(testtools.TestCase):
    """Nodes share their samples."""

    def test_reported_samples(self) -> None:
        sender = test_pace.build_state('h')
        receiver = test_pace.build_state('h')
        for turn in range(8):
            at = 5_000 * (turn + 1)
            answer(sender, 'h', speed=USUAL / 2, at=at)
            now = samples.instant(at + 1_000)
            (item,) = reports.build_reports(sender, now)
            self.assertTrue(0.45 < item.speed / 1_000 / USUAL < 0.55)
            update = test_pace.build_update(item)
            loads.handle_loads(receiver, update, now)
        for state in (sender, receiver):
            found = get_speed(state, 'h') / USUAL
            self.assertTrue(0.45 < found < 0.55, found)

    # Guards against a node that was cut off and repeats old samples.
    def test_samples_are_reported_for_a_while(self) -> None:
        sender = test_pace.build_state('h')
        answer(sender, 'h', speed=USUAL / 2, at=5_000)
        now = samples.instant(10_000)
        self.assertEqual((), reports.build_reports(sender, now))


class TestPredictions(testtools.TestCase):
    """Predictions follow the pace of a server."""

    def test_usual_pace_equals_the_sum_of_work(self) -> None:
        state = test_pace.build_state('h')
        server = test_pace.get_server(state, 'h')
        server.prefill = 3_000
        server.other_prefill_tokens = 1_000
        server.inflight = 4
        server.other_requests = 6
        expected = 20_000 / USUAL + 10 * predict.RUNNING_PENALTY_MS
        self.assertEqual(expected, predict_ms(state, 'h', 1_000))

    def test_short_work_takes_the_whole_delay(self) -> None:
        known = profiles.Profile()
        known.merge_pace(40, 1_000)
        now = samples.instant(1_000)
        self.assertTrue(24.5 < known.stretch(10.0, now) < 25.0)
        self.assertEqual(0.0, known.stretch(0.0, now))

    # Guards against a long queue that is predicted to stay slow throughout.
    def test_long_work_outlasts_the_slow_phase(self) -> None:
        known = profiles.Profile()
        known.merge_pace(40, 1_000)
        longest = 10_000 + 0.6 * profiles.PACE_LIFE_MS
        found = known.stretch(10_000.0, samples.instant(1_000))
        self.assertTrue(0.99 * longest < found <= longest, found)

    def test_slow_moment_moves_a_prompt(self) -> None:
        hosts = [f'h{number}' for number in range(6)]
        state = test_pace.build_state(*hosts)
        candidates = state.servers.in_pool('p')
        now = samples.instant(5_000)
        call = build_prompt()
        first = prefill.choose_engine(state, candidates, call, now)
        test_pace.state_pace(state, first.host, 40, 5_000)
        second = prefill.choose_engine(state, candidates, call, now)
        self.assertIsNot(first, second)
        later = samples.instant(9_000)
        self.assertIs(
            first, prefill.choose_engine(state, candidates, call, later)
        )

    # Guards against a lag that outlives the slow phase by seconds.
    def test_stated_pace_is_no_lag(self) -> None:
        lags = []
        for stated in (0, 40):
            state = test_pace.build_state('h')
            server = test_pace.get_server(state, 'h')
            answer(state, 'h', speed=USUAL, at=5_000)
            server.lag_ms = 0.0
            answer(state, 'h', speed=USUAL, at=9_000, pace=40, stated=stated)
            lags.append(server.lag_ms)
        self.assertGreater(lags[0], 2 * lags[1])


class TestHeadOrders(testtools.TestCase):
    """Remembered rendezvous orders equal computed ones."""

    def test_equal_orders(self) -> None:
        orders = placement.HeadOrders()
        generator = random.Random(1)
        hosts = [f'h{number}' for number in range(30)]
        state = test_pace.build_state(*hosts)
        for turn in range(1_000):
            head = f'head-{generator.randrange(300)}'
            candidates = generator.sample(state.servers.in_pool('p'), 20)
            expected = placement.order(candidates, placement.hash_text(head))
            self.assertEqual(expected, orders.order(candidates, head), turn)

    # Guards against hosts that come and go and fill the memory.
    def test_gone_hosts_are_forgotten(self) -> None:
        orders = placement.HeadOrders()
        state = test_pace.build_state()
        now = samples.instant(0)
        for number in range(2_000):
            server = state.servers.add(samples.row(f'h{number}'), 'v', now)
            orders.order([server], f'head-{number % 200}')
            orders.order([server], 'x')
        self.assertLessEqual(len(orders._hashes), placement.MAX_ORDERED_HEADS)
        for hashes in orders._hashes.values():
            self.assertLessEqual(len(hashes), placement.MAX_GONE_HOSTS + 3)


class TestFormerChoices(testtools.TestCase):
    """Without a stated pace the choice equals that by one speed per pool."""

    def _get_former_cost(
        self,
        state: states.State,
        server: servers.Server,
        call: calls.Call,
        now: clock.Instant,
    ) -> float:
        work = prefill.PrefillPlan(state, call, now).get_work(server)
        speed = state.prefill_speeds.get_tokens_per_ms('p')
        waiting = server.prefill + server.other_prefill_tokens
        running = server.inflight + server.other_requests
        ordered = placement.order(
            state.servers.in_pool('p'),
            placement.hash_text(call.parts[0].id),
        )
        lag_age = now.mono - server.lag_measured_at
        outcome_age = now.mono - server.outcome_at
        return (
            (work.uncached_tokens + waiting) / speed
            + 12.0 * ordered.index(server)
            + 1.2 * running
            + 4_000.0 * server.failure_ratio * 0.5 ** (outcome_age / 5_000)
            + server.lag_ms * 0.5 ** (lag_age / 3_000)
        )

    # Guards against another choice in deployments whose servers state no
    # pace.
    def test_equal_choices(self) -> None:
        generator = random.Random(1)
        hosts = [f'h{number}' for number in range(20)]
        state = test_pace.build_state(*hosts)
        for turn in range(300):
            now = samples.instant(10_000 + 50 * turn)
            call = build_prompt(generator.randrange(30))
            for server in state.servers.in_pool('p'):
                server.prefill = generator.randrange(20_000)
                server.other_requests = generator.randrange(10)
                server.lag_ms = generator.choice((0.0, 300.0))
                server.lag_measured_at = now.mono - 500
                server.failure_ratio = generator.choice((0.0, 0.1))
                server.outcome_at = now.mono - 500
                test_pace.state_pace(state, server.host, 0, now.mono)
            host = generator.choice(hosts)
            state.loads.record_part(host, call.parts[0].id, now)
            state.prefill_speeds.record_sample(
                'p', TOKENS, generator.randrange(300, 900)
            )
            expected = min(
                state.servers.in_pool('p'),
                key=lambda server: self._get_former_cost(
                    state,
                    server,
                    call,
                    now,
                ),
            )
            chosen = prefill.choose_engine(
                state, state.servers.in_pool('p'), call, now
            )
            self.assertIs(expected, chosen, turn)

    def test_slow_plain_server_is_avoided(self) -> None:
        state = test_pace.build_state('h', 'i')
        slow, other = state.servers.in_pool('p')
        now = samples.instant(5_000)
        other.other_requests = 6
        candidates = [slow, other]
        self.assertIs(
            slow, prefill.choose_least_loaded(state, candidates, now)
        )
        test_pace.state_pace(state, 'h', 40, 5_000)
        slow.slots = other.slots
        self.assertIs(
            other, prefill.choose_least_loaded(state, candidates, now)
        )
