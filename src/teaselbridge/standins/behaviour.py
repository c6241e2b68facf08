"""How a version of a backend server behaves, well or badly."""

from __future__ import annotations

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Behaviour:
    """Faults of a version.

    :param error_share: share of requests that fail.
    :param slow_factor: times are multiplied by it.
    :param after_ms: age of the server from which on it is bad.
    :param from_load: load from which on it is bad, as a share of slots.
    :param only_model: the only model name that it is bad on.
    """

    error_share: float = 0.0
    slow_factor: float = 1.0
    after_ms: int = 0
    from_load: float = 0.0
    only_model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How one request is treated.

    :param fails: whether it fails.
    :param slow: factor on its times.
    """

    fails: bool
    slow: float


def judge(
    behaviour: Behaviour,
    *,
    age_ms: int,
    load: float,
    model: str,
    generator: random.Random,
) -> Verdict:
    """Say how a request is treated.

    :param age_ms: age of the server.
    :param load: requests in it as a share of its slots.
    :param model: model name of the request.
    :param generator: seeded generator.
    """
    bad = (
        age_ms >= behaviour.after_ms
        and load >= behaviour.from_load
        and behaviour.only_model in ('', model)
    )
    if not bad:
        return Verdict(False, 1.0)
    fails = generator.random() < behaviour.error_share
    return Verdict(fails, behaviour.slow_factor)
