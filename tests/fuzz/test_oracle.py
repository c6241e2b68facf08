"""The oracle notices each promise being broken.

Each test breaks one mechanism and expects the same fuzzing that passes on
the whole system to fail.
"""

from __future__ import annotations

from unittest import mock

import hypothesis
import hypothesis.stateful
import testtools

from teaselbridge.decisions import attempts
from teaselbridge.decisions import claims
from teaselbridge.decisions import configuration
from teaselbridge.decisions import drain
from teaselbridge.decisions import ledger
from teaselbridge.decisions import requests
from teaselbridge.decisions import servers
from teaselbridge.peers import messages
from teaselbridge.tables import join
from tests.fuzz import machine

EXAMPLES = 1_500
STEPS = 30


class TestOracle(testtools.TestCase):
    """Fuzzing fails where a mechanism is broken."""

    def _fuzz(self) -> None:
        settings = hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        hypothesis.stateful.run_state_machine_as_test(
            machine.Machine, settings=settings
        )

    def _breaks(self, target: object, name: str, broken: object) -> None:
        with mock.patch.object(target, name, broken):
            self.assertRaises(AssertionError, self._fuzz)

    def test_claims_that_anyone_may_take(self) -> None:
        def apply_one(known, operation):
            stage = claims.Stage.RUNNING
            if operation.wish is claims.Wish.FINISH:
                stage = claims.Stage.DONE
            return ledger._make_claim(operation, stage)

        self._breaks(ledger, '_apply_operation', apply_one)

    def test_tokens_of_abandoned_attempts(self) -> None:
        def current(state, handle, attempt):
            request = state.requests.get(handle)
            if request is None or request.phase is not requests.Phase.RUNNING:
                return None
            return request

        self._breaks(attempts, '_current', current)

    def test_configuration_that_reverts(self) -> None:
        def adopt(state, found, cause, now):
            state.configured = True
            if found.generation == state.index.generation:
                return []
            state.index = join.Index(configuration=found)
            return [configuration.effects.UseConfiguration(found)]

        def hear(state, generation, reply_to):
            """Fetch what is older as well."""
            if generation == state.index.generation or not reply_to:
                return []
            asked = messages.ConfigurationAsked(
                have=0, reply_to=state.options.me.peers
            )
            return [configuration.effects.SendPeer(reply_to, asked)]

        with mock.patch.object(configuration, 'hear', hear):
            self._breaks(configuration, 'adopt', adopt)

    def test_refusals_that_always_say_not_run(self) -> None:
        def ran(_):
            return requests.calls.Ran.NO

        self._breaks(requests.Request, 'ran', property(ran))

    def test_stop_that_does_not_wait(self) -> None:
        def tick(state, now):
            if state.drain is None or state.drain.stopped:
                return []
            state.drain.stopped = True
            return [drain.effects.Stop()]

        self._breaks(drain, 'tick', tick)

    def test_leaving_servers_that_get_work(self) -> None:
        def usable(self, pool, now):
            return self.in_pool(pool)

        self._breaks(servers.Servers, 'usable', usable)
