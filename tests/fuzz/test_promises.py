"""Fuzzing of several nodes against the oracle, with fixed seeds.

The runs are split into parts, so that test workers can run them in parallel.
For a longer run, use
``python -m tests.fuzz.long --examples 20000 --seed 1``.
"""

from __future__ import annotations

import hypothesis

from tests.fuzz import machine

PARTS = 8
EXAMPLES = 160
STEPS = 25


class Part0(machine.Machine):
    """State machine for seed 0."""


class Part1(machine.Machine):
    """State machine for seed 1."""


class Part2(machine.Machine):
    """State machine for seed 2."""


class Part3(machine.Machine):
    """State machine for seed 3."""


class Part4(machine.Machine):
    """State machine for seed 4."""


class Part5(machine.Machine):
    """State machine for seed 5."""


class Part6(machine.Machine):
    """State machine for seed 6."""


class Part7(machine.Machine):
    """State machine for seed 7."""


def _make_test_case(part: type[machine.Machine], seed: int) -> type:
    """Return the test case of a part.

    :param seed: seed of the part's random choices.
    """
    case: type = hypothesis.seed(seed)(part).TestCase
    case.settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    return case


class TestPromises0(_make_test_case(Part0, 0)):
    """Promises that hold under faults in any order."""


class TestPromises1(_make_test_case(Part1, 1)):
    """Promises that hold under faults in any order."""


class TestPromises2(_make_test_case(Part2, 2)):
    """Promises that hold under faults in any order."""


class TestPromises3(_make_test_case(Part3, 3)):
    """Promises that hold under faults in any order."""


class TestPromises4(_make_test_case(Part4, 4)):
    """Promises that hold under faults in any order."""


class TestPromises5(_make_test_case(Part5, 5)):
    """Promises that hold under faults in any order."""


class TestPromises6(_make_test_case(Part6, 6)):
    """Promises that hold under faults in any order."""


class TestPromises7(_make_test_case(Part7, 7)):
    """Promises that hold under faults in any order."""
