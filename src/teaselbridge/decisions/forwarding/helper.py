"""Requests that other nodes forwarded to this one.

They are served like those of callers. The other node has admitted them by the
rate of their workspace, and counted them as first attempts.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import relay_checks

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states

# Bounds the memory and the connections that other nodes' requests take.
MAX_FORWARDED_REQUESTS = 200


def check(state: states.State, call: calls.Call) -> calls.Refusal | None:
    """Check whether this node can serve a forwarded request.

    :return: the refusal, none where the request is accepted.
    """
    if state.links.is_cut(call.route.pool):
        return relay_checks.build_refusal(
            state, calls.Reason.NO_SERVER, 'this node reaches no server either'
        )
    held = sum(bool(item.call.origin) for item in state.requests.values())
    if held <= MAX_FORWARDED_REQUESTS:
        return None
    return relay_checks.build_refusal(
        state, calls.Reason.OVERLOAD, 'too many forwarded requests'
    )
