"""Tests that the oracle detects broken promises.

Each test replaces one mechanism by a faulty one. The fuzzing that passes on
the unchanged system must then fail.
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
    """Fuzzing that fails because a mechanism is broken."""

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

    def _assert_detects(
        self, target: object, name: str, broken: object
    ) -> None:
        with mock.patch.object(target, name, broken):
            self.assertRaises(AssertionError, self._fuzz)

    def test_claims_that_anyone_may_take(self) -> None:
        def apply_for_any_token(known, operation):
            stage = claims.Stage.RUNNING
            if operation.wish is claims.OperationKind.FINISH:
                stage = claims.Stage.DONE
            return ledger._make_claim(operation, stage)

        self._assert_detects(ledger, '_apply_operation', apply_for_any_token)

    def test_tokens_of_abandoned_attempts(self) -> None:
        def find_for_any_attempt(state, handle, attempt):
            request = state.requests.get(handle)
            if request is None or request.phase is not requests.Phase.RUNNING:
                return None
            return request

        self._assert_detects(attempts, '_current', find_for_any_attempt)

    def test_configuration_that_reverts(self) -> None:
        def adopt_any_generation(state, found, cause, now):
            state.configured = True
            if found.generation == state.index.generation:
                return []
            state.index = join.Index(configuration=found)
            return [configuration.effects.ActivateConfiguration(found)]

        def fetch_any_generation(state, generation, reply_to):
            """Fetch another generation even if it is older."""
            if generation == state.index.generation or not reply_to:
                return []
            asked = messages.ConfigurationAsked(
                have=0, reply_to=state.options.me.peers
            )
            return [configuration.effects.SendPeer(reply_to, asked)]

        with mock.patch.object(
            configuration, 'request_newer', fetch_any_generation
        ):
            self._assert_detects(configuration, 'adopt', adopt_any_generation)

    def test_refusals_that_always_say_not_run(self) -> None:
        def ran(_):
            return requests.calls.RunStatus.NOT_RUNT_RUN

        self._assert_detects(requests.Request, 'ran', property(ran))

    def test_stop_that_does_not_wait(self) -> None:
        def stop_at_once(state, now):
            if state.drain is None or state.drain.is_stopped:
                return []
            state.drain.is_stopped = True
            return [drain.effects.ExitProcess()]

        self._assert_detects(drain, 'tick', stop_at_once)

    def test_leaving_servers_that_get_work(self) -> None:
        def list_all_servers(self, pool, now):
            return self.in_pool(pool)

        self._assert_detects(
            servers.ServerRegistry, 'usable', list_all_servers
        )
