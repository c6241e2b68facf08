"""Fuzzing of several nodes against the oracle, with fixed seeds.

The runs are dealt to parts, so that they spread over the cores. A longer
run: ``python -m tests.fuzz.long --examples 20000 --seed 1``.
"""

from __future__ import annotations

import hypothesis

from tests.fuzz import machine

PARTS = 8
EXAMPLES = 160
STEPS = 25


class Part0(machine.Machine):
    """The machine with the first seed."""


class Part1(machine.Machine):
    """The machine with another seed."""


class Part2(machine.Machine):
    """The machine with another seed."""


class Part3(machine.Machine):
    """The machine with another seed."""


class Part4(machine.Machine):
    """The machine with another seed."""


class Part5(machine.Machine):
    """The machine with another seed."""


class Part6(machine.Machine):
    """The machine with another seed."""


class Part7(machine.Machine):
    """The machine with another seed."""


def _prepare(part: type[machine.Machine], seed: int) -> type:
    """Give the test case of a part.

    :param seed: decides the part's runs.
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


class TestPromises0(_prepare(Part0, 0)):
    """The promises hold under failures in any order."""


class TestPromises1(_prepare(Part1, 1)):
    """The promises hold under failures in any order."""


class TestPromises2(_prepare(Part2, 2)):
    """The promises hold under failures in any order."""


class TestPromises3(_prepare(Part3, 3)):
    """The promises hold under failures in any order."""


class TestPromises4(_prepare(Part4, 4)):
    """The promises hold under failures in any order."""


class TestPromises5(_prepare(Part5, 5)):
    """The promises hold under failures in any order."""


class TestPromises6(_prepare(Part6, 6)):
    """The promises hold under failures in any order."""


class TestPromises7(_prepare(Part7, 7)):
    """The promises hold under failures in any order."""
