"""Injected faults of a backend server's version."""

from __future__ import annotations

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Behaviour:
    """Faults of a version and the conditions under which they apply.

    All conditions must hold; the defaults always hold.

    :param error_share: fraction of requests that fail, 0 to 1.
    :param slow_factor: factor by which processing times are multiplied.
    :param after_ms: minimum time since the server started the version.
    :param from_load: minimum load, as a fraction of the slots.
    :param only_model: the only model name affected; empty for all models.
    """

    error_share: float = 0.0
    slow_factor: float = 1.0
    after_ms: int = 0
    from_load: float = 0.0
    only_model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Treatment:
    """Outcome of the faults for one request.

    :param fails: whether the request fails.
    :param time_factor: factor by which its processing times are multiplied.
    """

    fails: bool
    time_factor: float


def choose_treatment(
    behaviour: Behaviour,
    *,
    age_ms: int,
    load: float,
    model: str,
    generator: random.Random,
) -> Treatment:
    """Return the outcome of the faults for a request.

    :param age_ms: time since the server started the version.
    :param load: running requests as a fraction of the slots.
    :param model: model name of the request.
    :param generator: seeded random generator.
    """
    is_faulty = (
        age_ms >= behaviour.after_ms
        and load >= behaviour.from_load
        and behaviour.only_model in ('', model)
    )
    if not is_faulty:
        return Treatment(False, 1.0)
    fails = generator.random() < behaviour.error_share
    return Treatment(fails, behaviour.slow_factor)
