"""Tests of the evacuation of availability zones."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.decisions import state as states
from tests.decisions import cluster
from tests.decisions import samples


def build_row(host: str, zone: str) -> events.HostRow:
    """Return the entry of a server in a zone."""
    return events.HostRow(
        host=host,
        address=host,
        zone=zone,
        pool='p',
        version=samples.VERSION,
    )


def add_server(state: states.State, host: str, zone: str) -> None:
    """Add a server in a zone."""
    state.servers.add(
        build_row(host, zone), samples.VERSION, samples.instant(0)
    )


class TestZones(testtools.TestCase):
    """Servers of an evacuated zone get no requests."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state(bounds.Bounds())
        add_server(self.state, 'one', 'a')
        add_server(self.state, 'two', 'b')

    def _post(self, event: events.Event, at: int = 0) -> list[effects.Effect]:
        return reducer.reduce(self.state, event, samples.instant(at))

    def _list_usable(self) -> list[str]:
        now = samples.instant(0)
        return [server.host for server in self.state.servers.usable('p', now)]

    def test_order_takes_effect_at_once(self) -> None:
        out = self._post(events.EvacuationsChanged(zones={'a': True}))
        self.assertEqual(['two'], self._list_usable())
        self.assertEqual(
            [effects.Mark.ZONE_EVACUATED],
            [item.mark for item in out],  # type: ignore[union-attr]
        )

    def test_order_is_taken_back(self) -> None:
        self._post(events.EvacuationsChanged(zones={'a': True}))
        self._post(events.EvacuationsChanged(zones={'a': False}))
        self.assertEqual(['one', 'two'], self._list_usable())

    def test_listed_zones_replace_known_ones(self) -> None:
        self._post(events.EvacuationsListed(zones=frozenset({'a'})))
        self._post(events.EvacuationsListed(zones=frozenset({'b'})))
        self.assertEqual(['one'], self._list_usable())

    # Guards against requests to a zone whose entry is missing only until the
    # operators have written it again to a restored store.
    def test_restore_keeps_an_evacuation_for_a_time(self) -> None:
        self._post(events.EvacuationsListed(zones=frozenset({'a'})))
        self.state.store_view.restored_at = 1_000
        self._post(events.EvacuationsListed(zones=frozenset()), 1_100)
        self.assertEqual(['two'], self._list_usable())
        self._post(events.Ticked(), 3_100)
        self.assertEqual(['one', 'two'], self._list_usable())

    # Guards against requests that are held although no zone can serve them.
    def test_request_without_a_zone_is_refused(self) -> None:
        self.state.store_view.rows['servers/one'] = build_row('one', 'a')
        self._post(events.EvacuationsListed(zones=frozenset({'a', 'b'})))
        out = self._post(events.CallArrived(samples.relayed()))
        (refused,) = [
            item for item in out if isinstance(item, effects.SendRefusal)
        ]
        self.assertIs(calls.Reason.NO_SERVER, refused.refusal.reason)
        self.assertIs(calls.RunStatus.NOT_RUN, refused.refusal.ran)
        self.assertGreater(refused.refusal.retry_after_ms, 0)


class TestLoad(testtools.TestCase):
    """An evacuation under load, at many nodes."""

    # Guards against requests that reach an evacuated zone later than 5 s
    # after the order, and callers that are refused though others have room.
    def test_zone_is_evacuated_under_load(self) -> None:
        model = cluster.Cluster(
            nodes=63,
            servers=[cluster.Server(host=f's{number}') for number in range(4)],
        )
        for node in model.nodes.values():
            for host in list(model.servers):
                node.state.servers.remove(host)
                add_server(node.state, host, f'zone-{host}')
        model.run(2_000, 300)
        model.post(
            list(model.nodes),
            events.EvacuationsChanged(zones={'zone-s0': True}),
        )
        refused = len(model.refused)
        model.run(6_000, 300)
        late = [
            at
            for at, _ in model.servers['s0'].arrivals
            if at > 2_000 + cluster.STEP_MS
        ]
        self.assertEqual([], late)
        self.assertEqual(refused, len(model.refused))
