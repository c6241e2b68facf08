"""Tests of the estimate of how many servers a pool needs.

Load pattern: caches are cold at the start and after the loss of a zone.
"""

from __future__ import annotations

import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import demand
from teaselbridge.decisions.limits import terms
from teaselbridge.decisions import prefill
from teaselbridge.decisions import scaling
from teaselbridge.tables import model
from tests.decisions import samples

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states


class TestNeed(testtools.TestCase):
    """The need follows from the load once that has been observed."""

    POOL = model.Pool(
        name='p',
        kind=model.Kind.RELAYED,
        versions=(),
        zones=('a', 'b'),
        scaling=model.Scaling(
            least=1, most=3, boot_ms=4_000, reclaimable_price=0.15, prices=()
        ),
    )

    def make(self, unread_per_s: float) -> states.State:
        """Return the state of a node that saw 12 initial servers.

        :param unread_per_s: prompt tokens per second that no cache held.
        """
        state = samples.state(bounds.Bounds(duties=(scaling.DUTY,)))
        found = state.demands.get('p', samples.instant(0))
        found.first = 12
        found.uncached_per_s = unread_per_s
        return state

    def need(self, state: states.State, mono: int) -> demand.ServerNeed:
        """Return the need at a time in monotonic milliseconds."""
        return demand.estimate_need(state, self.POOL, samples.instant(mono))

    def test_query_before_first_server_does_not_start_the_timer(self) -> None:
        state = samples.state(bounds.Bounds(duties=(scaling.DUTY,)))
        early = state.demands.has_registered_servers('p', samples.instant(0))
        demand.update_demand(state, self.POOL, samples.instant(0))
        late = state.demands.has_registered_servers(
            'p', samples.instant(9_000)
        )
        self.assertEqual((False, False), (early, late))

    def test_initial_servers_are_lower_bound_while_caches_are_cold(
        self,
    ) -> None:
        need = self.need(self.make(0.0), 1_000)
        self.assertEqual(demand.ServerNeed(usual_servers=12, least=7), need)

    def test_need_follows_load_after_warm_up(self) -> None:
        state = self.make(1_000 * 3 * prefill.DEFAULT_TOKENS_PER_MS)
        need = self.need(state, demand.WARM_UP_MS)
        self.assertEqual(demand.ServerNeed(usual_servers=8, least=5), need)

    def test_least_covers_cold_caches_after_zone_loss(self) -> None:
        state = self.make(1_000 * 3 * prefill.DEFAULT_TOKENS_PER_MS)
        state.demands.get('p', samples.instant(0)).prompts = (
            1_000 * 7 * prefill.DEFAULT_TOKENS_PER_MS
        )
        need = self.need(state, demand.WARM_UP_MS)
        self.assertEqual(demand.ServerNeed(usual_servers=8, least=7), need)

    def test_need_tolerates_loss_of_a_server(self) -> None:
        need = self.need(self.make(0.0), demand.WARM_UP_MS)
        self.assertEqual(demand.ServerNeed(usual_servers=4, least=4), need)

    # Guards against a pool that is not enlarged while its servers limit the
    # rate of requests.
    def test_limited_server_counts_as_lost(self) -> None:
        state = self.make(0.0)
        limited = terms.Statement(
            terms=terms.Terms(rate=1.0), asked_at=0, heard_at=1
        )
        for host in ('a', 'b'):
            row = samples.row(host)
            state.servers.add(row, samples.VERSION, samples.instant(0))
        state.limits.terms.merge('a', limited)
        need = self.need(state, demand.WARM_UP_MS)
        self.assertEqual(demand.ServerNeed(usual_servers=5, least=5), need)
        state.servers.mark('a', samples.instant(0))
        need = self.need(state, demand.WARM_UP_MS)
        self.assertEqual(demand.ServerNeed(usual_servers=4, least=4), need)

    # Guards against a pool of slow servers that is planned as if each of them
    # were a whole one.
    def test_server_of_half_speed_counts_as_half(self) -> None:
        usual = prefill.DEFAULT_TOKENS_PER_MS
        state = self.make(1_000 * 3 * usual)
        for host in ('a', 'b'):
            row = samples.row(host)
            server = state.servers.add(row, 'v', samples.instant(0))
        whole = self.need(state, demand.WARM_UP_MS)
        for _ in range(200):
            server.profile.merge_speed(usual / 2)
        slow = self.need(state, demand.WARM_UP_MS)
        self.assertEqual(demand.ServerNeed(usual_servers=8, least=5), whole)
        self.assertEqual(demand.ServerNeed(usual_servers=10, least=7), slow)
