"""Tests of how many servers a pool needs.

Load pattern: caches are cold at the start and after the loss of a zone.
"""

from __future__ import annotations

import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import demand
from teaselbridge.decisions import prefill
from teaselbridge.decisions import scaling
from teaselbridge.tables import model
from tests.decisions import samples

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states


class TestNeed(testtools.TestCase):
    """Once the load is known, it tells how many servers are needed."""

    POOL = model.Pool(
        name='p',
        kind=model.Kind.RELAYED,
        versions=(),
        zones=('a', 'b'),
        scaling=model.Scaling(
            least=1, most=3, boot_ms=4_000, reclaimable_price=0.15, prices=()
        ),
    )

    def make(self, asked: float) -> states.State:
        """Make a node that saw 12 servers at the start."""
        state = samples.state(bounds.Bounds(duties=(scaling.DUTY,)))
        found = state.demands.get('p', samples.instant(0))
        found.first = 12
        found.unread = asked
        return state

    def need(self, state: states.State, mono: int) -> demand.Need:
        """Tell the need at a moment."""
        return demand.need(state, self.POOL, samples.instant(mono))

    def test_question_before_the_first_server_begins_no_count(self) -> None:
        state = samples.state(bounds.Bounds(duties=(scaling.DUTY,)))
        early = state.demands.is_counted('p', samples.instant(0))
        demand.follow(state, self.POOL, samples.instant(0))
        late = state.demands.is_counted('p', samples.instant(9_000))
        self.assertEqual((False, False), (early, late))

    def test_operators_choice_counts_while_caches_are_cold(self) -> None:
        need = self.need(self.make(0.0), 1_000)
        self.assertEqual(demand.Need(usual=12, least=7), need)

    def test_load_counts_after_that(self) -> None:
        state = self.make(1_000 * 3 * prefill.READ_PER_MS)
        need = self.need(state, demand.WARM_MS)
        self.assertEqual(demand.Need(usual=8, least=5), need)

    def test_cold_caches_after_a_loss_are_borne(self) -> None:
        state = self.make(1_000 * 3 * prefill.READ_PER_MS)
        state.demands.get('p', samples.instant(0)).prompts = (
            1_000 * 7 * prefill.READ_PER_MS
        )
        need = self.need(state, demand.WARM_MS)
        self.assertEqual(demand.Need(usual=8, least=7), need)

    def test_loss_of_a_server_is_always_borne(self) -> None:
        need = self.need(self.make(0.0), demand.WARM_MS)
        self.assertEqual(demand.Need(usual=4, least=4), need)
