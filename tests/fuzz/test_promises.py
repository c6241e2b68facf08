"""Fuzzing of several nodes against the oracle, with fixed seeds.

A longer run: ``python -m tests.fuzz.long --examples 20000 --seed 1``.
"""

from __future__ import annotations

import hypothesis

from tests.fuzz import machine

EXAMPLES = 1_000
STEPS = 25


class TestPromises(machine.Machine.TestCase):
    """The promises hold under failures in any order."""

    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
