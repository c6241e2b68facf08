"""Tokens that requests hold in the KV caches of model engines.

Load pattern: many long prompts on engines with more slots than their caches
hold of such prompts. A request holds its prompt from its start and its output
as that grows, until it ends. Parts of a prompt that the engine had cached are
not counted again.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import prefill
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# Weight of a new sample in the moving averages.
SMOOTHING = 0.1


class Usual:
    """Usual sizes of the outputs of routes and of the requests to pools."""

    def __init__(self) -> None:
        self._output_by_route: dict[str, float] = {}
        self._held_by_pool: dict[str, float] = {}

    def get_output(self, route: str) -> float:
        """Return the usual output tokens of a route, 0 for unknown."""
        return self._output_by_route.get(route, 0.0)

    def record_output(self, route: str, tokens: int) -> None:
        """Record the output tokens of a complete response."""
        known = self._output_by_route.get(route, float(tokens))
        self._output_by_route[route] = known + SMOOTHING * (tokens - known)

    def get_held(self, pool: str) -> float:
        """Return the usual tokens of a request to a pool, 0 for unknown."""
        return self._held_by_pool.get(pool, 0.0)

    def record_held(self, pool: str, tokens: int) -> None:
        """Record the tokens of a request that was sent to a pool."""
        known = self._held_by_pool.get(pool, float(tokens))
        self._held_by_pool[pool] = known + SMOOTHING * (tokens - known)


def count_cached(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    now: clock.Instant,
) -> int:
    """Count the leading prompt tokens in a server's prefix cache."""
    tokens = 0
    for part in call.parts:
        if not state.loads.has_part(server.host, part.id, now):
            break
        tokens += part.tokens
    return min(tokens, call.tokens_in)


def expect_output(state: states.State, call: calls.Call) -> int:
    """Return how many tokens the output of a request is expected to have.

    The caller's hint comes first, then past responses of the route, then the
    most that the caller wants.
    """
    tokens = call.length_hint
    if not tokens:
        tokens = round(state.usual.get_output(call.route.name))
    if not tokens:
        return call.max_tokens
    return min(tokens, call.max_tokens or tokens)


def hold(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    work: prefill.PrefillWork,
) -> None:
    """Count the tokens of a request that is sent to an engine.

    :param work: what the engine has to do for its prompt.
    """
    call = request.call
    tokens = work.uncached_tokens + work.copied_tokens
    tokens += expect_output(state, call)
    request.held_tokens = tokens
    server.profile.tokens += tokens
    state.usual.record_held(call.route.pool, tokens)


def release(server: servers.Server, request: requests.Request) -> None:
    """Subtract the tokens of a request that left its server."""
    known = server.profile
    known.tokens = max(0, known.tokens - request.held_tokens)
    request.held_tokens = 0
