"""End of completions by engines of the project's own interface."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import requests

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states

# Finish reason of a completion that has `max_tokens` tokens.
FINISH_LENGTH = 'length'


def finish(
    state: states.State, request: requests.Request, ended: events.StreamEnded
) -> list[effects.Effect]:
    """End a completion, or keep it until its caller attaches."""
    route = request.call.route.name
    detail = f'{len(request.tokens)} tokens, {request.attempt} attempts'
    out: list[effects.Effect] = [
        effects.Count(effects.Counter.ANSWERED, route),
        requests.build_record(request, effects.Mark.ANSWERED, detail),
    ]
    if not request.attached:
        request.phase = requests.Phase.FINISHED
        request.finished = ended
        return out
    end = effects.SendEnd(
        request.caller_handle,
        ended.finish,
        ended.prompt_tokens,
        len(request.tokens),
    )
    return [*out, end, *requests.remove_request(state, request)]


def resume(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    """Queue a completion for another engine, unless it lacks only its end.

    An engine generates at least one more token.
    """
    if request.has_all_tokens:
        return finish_at_token_limit(state, request)
    requests.enqueue(state, request)
    return []


def finish_at_token_limit(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    """End a completion that has all its tokens, but no end from an engine."""
    ended = events.StreamEnded(
        handle=request.handle,
        attempt=request.attempt,
        finish=FINISH_LENGTH,
        cached_tokens=0,
        prompt_tokens=0,
    )
    return finish(state, request, ended)
