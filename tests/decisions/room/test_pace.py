"""Tests of what nodes know about the pace of backend servers."""

from __future__ import annotations

import msgspec
import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import events
from teaselbridge.decisions import loads
from teaselbridge.decisions import reducer
from teaselbridge.decisions.room import profile as profiles
from teaselbridge.decisions.room import reports
from teaselbridge.decisions.room import statements
from teaselbridge.decisions import servers
from teaselbridge.decisions import state as states
from teaselbridge.peers import messages
from tests.decisions import samples


def build_state(*hosts: str) -> states.State:
    """Return the state of a node that knows some servers."""
    state = samples.state(bounds.Bounds())
    for host in hosts:
        state.servers.add(samples.row(host), 'v', samples.instant(0))
    return state


def get_server(state: states.State, host: str) -> servers.Server:
    """Return a listed server."""
    server = state.servers.get(host)
    assert server is not None
    return server


def state_pace(state: states.State, host: str, pace: int, at: int) -> None:
    """Let a server state its pace in an answer."""
    event = events.AnswerLoadReceived(host, 1, 0, 8, pace)
    reducer.reduce(state, event, samples.instant(at))


def build_update(
    *items: messages.ServerLoad, node: str = 'other'
) -> messages.Loads:
    """Return the load update of another node."""
    return messages.Loads(node=node, incarnation=1, wall=0, servers=items)


class TestPace(testtools.TestCase):
    """A stated pace holds at once and is forgotten as it ages."""

    def _get_pace(self, state: states.State, at: int) -> int:
        server = get_server(state, 'h')
        return round(server.profile.get_pace(samples.instant(at)))

    def test_halves_and_ends(self) -> None:
        state = build_state('h')
        self.assertEqual(100, self._get_pace(state, 5_000))
        state_pace(state, 'h', 40, 5_000)
        self.assertEqual(40, self._get_pace(state, 5_000))
        self.assertEqual(70, self._get_pace(state, 5_600))
        self.assertEqual(85, self._get_pace(state, 6_200))
        self.assertEqual(100, self._get_pace(state, 9_000))

    def test_answer_without_a_pace(self) -> None:
        state = build_state('h')
        state_pace(state, 'h', 40, 5_000)
        state_pace(state, 'h', 0, 5_000)
        self.assertEqual(40, self._get_pace(state, 5_000))

    # Guards against one wrong figure that keeps a server unused.
    def test_bounds(self) -> None:
        state = build_state('h')
        for stated, used in ((1, 10), (10_000, 400)):
            state_pace(state, 'h', stated, 5_000)
            self.assertEqual(used, self._get_pace(state, 5_000))

    # Guards against a late answer of an earlier lifetime at the same address
    # that changes what is known about the next one.
    def test_earlier_lifetime(self) -> None:
        state = build_state('h@2')
        state_pace(state, 'h@1', 40, 5_000)
        self.assertEqual(0, get_server(state, 'h@2').last_heard_at)
        self.assertEqual(100, get_server(state, 'h@2').profile.pace)

    def test_invalid_loads_are_logged_once_a_second(self) -> None:
        state = build_state('h', 'i')
        lines = []
        for at in range(0, 3_000, 50):
            for host in ('h', 'i', 'gone'):
                event = events.AnswerLoadInvalid(host=host, detail='x')
                lines += reducer.reduce(state, event, samples.instant(at))
        self.assertEqual(6, len(lines))
        self.assertEqual(1_000, statements.INVALID_LOG_INTERVAL_MS)


class TestReports(testtools.TestCase):
    """Nodes tell each other the paces that they heard."""

    def _exchange(
        self, sender: states.State, receiver: states.State, at: int
    ) -> tuple[messages.ServerLoad, ...]:
        now = samples.instant(at)
        found = reports.build_reports(sender, now)
        loads.handle_loads(receiver, build_update(*found), now)
        return found

    def test_report_keeps_its_age(self) -> None:
        sender, receiver = build_state('h'), build_state('h')
        state_pace(sender, 'h', 40, 5_000)
        self._exchange(sender, receiver, 5_600)
        known = get_server(receiver, 'h').profile
        self.assertEqual(70, round(known.get_pace(samples.instant(5_600))))

    def test_usual_paces_are_not_reported(self) -> None:
        sender, receiver = build_state('h'), build_state('h')
        state_pace(sender, 'h', 100, 5_000)
        self.assertEqual((), self._exchange(sender, receiver, 5_000))

    def test_return_to_the_usual_pace(self) -> None:
        sender, receiver = build_state('h'), build_state('h')
        state_pace(sender, 'h', 40, 5_000)
        self._exchange(sender, receiver, 5_000)
        state_pace(sender, 'h', 100, 5_100)
        self._exchange(sender, receiver, 5_200)
        self.assertEqual(100, get_server(receiver, 'h').profile.pace)
        self.assertEqual((), self._exchange(sender, receiver, 6_600))

    # Guards against an update that was held up and undoes later knowledge.
    def test_later_statement_holds(self) -> None:
        state = build_state('h')
        state_pace(state, 'h', 100, 5_000)
        late = messages.ServerLoad(
            host='h', running=0, prefill=0, pace=40, pace_age_ms=900
        )
        loads.handle_loads(state, build_update(late), samples.instant(5_500))
        self.assertEqual(100, get_server(state, 'h').profile.pace)

    # Guards against nodes that pass reports on, so that a pace would seem
    # recent for as long as they do.
    def test_reports_are_not_passed_on(self) -> None:
        first, second, third = (build_state('h') for _ in range(3))
        state_pace(first, 'h', 40, 5_000)
        self._exchange(first, second, 5_000)
        self.assertEqual((), self._exchange(second, third, 5_000))

    def test_builds_understand_each_other(self) -> None:
        old = msgspec.msgpack.encode({'host': 'h', 'running': 2, 'prefill': 9})
        decoded = msgspec.msgpack.decode(old, type=messages.ServerLoad)
        self.assertEqual((2, 9, 0), (decoded.running, decoded.prefill, 0))
        self.assertEqual(0, decoded.pace)
        self.assertEqual(old, msgspec.msgpack.encode(decoded))
        newer = {'host': 'h', 'running': 2, 'prefill': 9, 'later': 'x'}
        data = msgspec.msgpack.encode(newer)
        self.assertEqual(
            decoded, msgspec.msgpack.decode(data, type=messages.ServerLoad)
        )

    # Load: 70 servers of which 15 in 100 are slow, reports by 75 nodes.
    def test_load_of_many_slow_servers(self) -> None:
        hosts = [f'h{number}' for number in range(70)]
        receiver = build_state(*hosts)
        for number in range(75):
            sender = build_state(*hosts)
            for host in hosts[number % 7 :: 7]:
                state_pace(sender, host, 40, 5_000)
            now = samples.instant(5_000)
            found = reports.build_reports(sender, now)
            self.assertLess(len(msgspec.msgpack.encode(found)), 600)
            update = build_update(*found, node=f'n{number}')
            loads.handle_loads(receiver, update, now)
        later = samples.instant(5_000 + profiles.PACE_HALF_LIFE_MS)
        for host in hosts:
            known = get_server(receiver, host).profile
            self.assertEqual(70, round(known.get_pace(later)))


class TestTotals(testtools.TestCase):
    """The work of other nodes is the sum of their latest updates."""

    def _get(self, state: states.State) -> tuple[int, int]:
        server = get_server(state, 'h')
        return server.other_requests, server.other_prefill_tokens

    def test_latest_update_of_each_node_counts(self) -> None:
        state = build_state('h')
        for at, node, running in ((0, 'a', 3), (10, 'b', 2), (20, 'a', 1)):
            item = messages.ServerLoad(
                host='h', running=running, prefill=100 * running
            )
            update = build_update(item, node=node)
            loads.handle_loads(state, update, samples.instant(at))
        self.assertEqual((3, 300), self._get(state))

    # Guards against work of a node that was killed and counts for ever.
    def test_stale_update_ends(self) -> None:
        state = build_state('h')
        news = messages.ServerLoad(host='h', running=0, prefill=0, pace=40)
        busy = messages.ServerLoad(host='h', running=3, prefill=300)
        loads.handle_loads(
            state, build_update(busy, node='a'), samples.instant(0)
        )
        later = samples.instant(loads.UPDATE_STALE_TIMEOUT_MS)
        loads.handle_loads(state, build_update(news, node='b'), later)
        self.assertEqual((0, 0), self._get(state))
