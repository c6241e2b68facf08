"""Structured log lines, for changes of state only."""

from __future__ import annotations

import json
import logging as python_logging
import typing

from absl import logging

if typing.TYPE_CHECKING:
    from teaselbridge.telemetry import timeline

QUIET = ('httpx', 'httpcore', 'uvicorn', 'uvicorn.error', 'litestar')

REQUEST_PREFIX = 'request-'


def set_up() -> None:
    """Send lines to standard error; libraries speak from warnings on."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('info')
    for name in QUIET:
        python_logging.getLogger(name).setLevel(python_logging.WARNING)


def hush() -> None:
    """Let the web server say nothing of connections that were broken off.

    Stand-ins break connections off on purpose.
    """
    python_logging.getLogger('uvicorn.error').setLevel(python_logging.CRITICAL)


def change(entry: timeline.Entry) -> None:
    """Log a change of state; single requests are only counted.

    :param entry: entry of the time line.
    """
    if entry.mark.startswith(REQUEST_PREFIX):
        return
    fields = {
        'node': entry.node,
        'event': entry.mark,
        'pool': entry.pool,
        'host': entry.host,
        'detail': entry.detail,
    }
    told = {name: value for name, value in fields.items() if value}
    logging.info('%s', json.dumps(told))
