"""Time after which the caller of a refused request should return."""

from __future__ import annotations

from teaselbridge import clock

# Callers honour a delay of at most a third of the time that they have left.
TIME_LEFT_DIVISOR = 3
# A caller that returns within this part of its goal time can be in time.
GOAL_DIVISOR = 2
# Longest delay where the refill is close to none.
MAX_RETURN_MS = 10 * clock.MINUTE_MS


def compute_return_ms(
    needed: float, refill_per_s: float, waiting: float, draw: float
) -> int:
    """Compute when the level for a request is expected.

    Callers that were refused together would return together if each were
    told the time of its own request alone. They are spread over the time in
    which the refill covers all of them.

    :param needed: tokens that the bucket lacks for the request.
    :param refill_per_s: tokens that are added per second.
    :param waiting: tokens of the other requests that wait for the refill.
    :param draw: position of this request among them, from 0 to 1.
    :return: milliseconds, at least 1.
    """
    if refill_per_s <= 0:
        return MAX_RETURN_MS
    tokens = max(0.0, needed) + max(0.0, waiting) * draw
    ms = clock.SECOND_MS * tokens / refill_per_s
    return round(min(MAX_RETURN_MS, max(1.0, ms)))


def limit_waiting(
    waiting: float, needed: float, refill_per_s: float, goal_ms: int
) -> float:
    """Limit what waits before a request to what its goal time allows.

    While more is asked for than is refilled, the level is no higher later,
    so that a later return only makes the answer late. Where the level of the
    request alone comes too late for that, all that waits counts.

    :param waiting: tokens of the other requests that wait for the refill.
    :param needed: tokens that the bucket lacks for the request.
    :param refill_per_s: tokens that are added per second.
    :param goal_ms: goal time of the route, 0 for none.
    """
    within = refill_per_s * goal_ms / GOAL_DIVISOR / clock.SECOND_MS
    if within <= needed:
        return waiting
    return min(waiting, within - max(0.0, needed))


def cap_return_ms(return_ms: int, time_left_ms: int) -> int:
    """Limit a delay to what the caller honours, at least 1 ms."""
    return max(1, min(return_ms, time_left_ms // TIME_LEFT_DIVISOR))
