"""Structured log lines, for changes of state only."""

from __future__ import annotations

import contextlib
import json
import logging as python_logging
from logging import handlers
import queue
import sys
import time
import typing

from absl import logging

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.telemetry import timeline

QUIET = ('httpx', 'httpcore', 'uvicorn', 'uvicorn.error', 'litestar')

REQUEST_PREFIX = 'request-'
# Lines that may wait for a slow reader, and lines of requests in a second:
# beyond them lines are dropped and counted.
WAITING_MOST = 4_000
REQUEST_LINES_PER_S = 1_000


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


class _Handler(handlers.QueueHandler):
    """Hands lines to a thread, and drops them where that is too slow."""

    dropped = 0

    def enqueue(self, record: python_logging.LogRecord) -> None:
        """Take a line."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Limit:
    """Bounds the lines of requests in each second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0
        self._dropped = 0
        self.requests = False

    def lets(self) -> bool:
        """Tell whether one more line may be written."""
        if not self.requests:
            return False
        second = int(time.monotonic())
        if second != self._second:
            self._tell()
            self._second = second
            self._count = 0
        self._count += 1
        if self._count <= REQUEST_LINES_PER_S:
            return True
        self._dropped += 1
        return False

    def _tell(self) -> None:
        if self._dropped:
            told = {'event': 'lines-dropped', 'count': self._dropped}
            logging.info('%s', json.dumps(told))
            self._dropped = 0


_limit = _Limit()


@contextlib.contextmanager
def lines() -> collections.abc.Iterator[None]:
    """Write lines to standard output, one for each decision on a request.

    A thread writes them, so that a slow reader holds nothing up.
    """
    waiting: queue.Queue[python_logging.LogRecord] = queue.Queue(WAITING_MOST)
    root = python_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_Handler(waiting))
    root.setLevel(python_logging.INFO)
    logging.set_verbosity(logging.INFO)
    for name in QUIET:
        python_logging.getLogger(name).setLevel(python_logging.WARNING)
    hush()
    output = python_logging.StreamHandler(sys.stdout)
    output.setFormatter(python_logging.Formatter('%(message)s'))
    listener = handlers.QueueListener(waiting, output)
    listener.start()
    _limit.requests = True
    try:
        yield
    finally:
        _limit.requests = False
        listener.stop()


def change(entry: timeline.Entry) -> None:
    """Log a change of state, and decisions on requests where asked for.

    :param entry: entry of the time line.
    """
    if entry.mark.startswith(REQUEST_PREFIX) and not _limit.lets():
        return
    fields: dict[str, object] = {
        'at': entry.wall,
        'node': entry.node,
        'event': entry.mark,
        'request': entry.request,
        'route': entry.route,
        'pool': entry.pool,
        'host': entry.host,
        'detail': entry.detail,
    }
    told = {name: value for name, value in fields.items() if value}
    logging.info('%s', json.dumps(told))
