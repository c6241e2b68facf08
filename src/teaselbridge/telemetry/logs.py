"""Structured log lines for state changes and request decisions."""

from __future__ import annotations

import contextlib
import json
import logging as python_logging
from logging import handlers
import os
import queue
import sys
import time
import typing

from absl import logging

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.telemetry import timeline

QUIET_LOGGERS = ('httpx', 'httpcore', 'uvicorn', 'uvicorn.error', 'litestar')

REQUEST_MARK_PREFIX = 'request-'
# Bounds of the queue of lines for a slow reader, and of the lines about
# requests per second. Lines beyond them are dropped and counted.
MAX_QUEUED_LINES = 4_000
MAX_REQUEST_LINES_PER_S = 1_000
# How long a stopping process waits for a slow reader of its last lines.
MAX_FLUSH_S = 0.2
STALLED_EXIT_STATUS = 0


def silence_web_server() -> None:
    """Suppress the web server's errors about aborted connections.

    The simulated services abort connections on purpose.
    """
    python_logging.getLogger('uvicorn.error').setLevel(python_logging.CRITICAL)


class _DroppingQueueHandler(handlers.QueueHandler):
    """Queue handler that drops lines when the queue is full."""

    dropped = 0

    def enqueue(self, record: python_logging.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Writer(handlers.QueueListener):
    """Thread that writes the queued lines."""

    is_stalled = False

    def stop(self) -> None:
        """Write what is queued, unless the reader takes too long."""
        thread = self._thread
        if thread is None:
            return
        with contextlib.suppress(queue.Full):
            self.enqueue_sentinel()
        thread.join(MAX_FLUSH_S)
        self.is_stalled = thread.is_alive()
        self._thread = None


class _LineLimiter:
    """Rate limiter of the lines about requests."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0
        self._dropped = 0
        self.is_enabled = False

    def allows_line(self) -> bool:
        """Return whether another line may be written in this second."""
        if not self.is_enabled:
            return False
        second = int(time.monotonic())
        if second != self._second:
            self._log_dropped_count()
            self._second = second
            self._count = 0
        self._count += 1
        if self._count <= MAX_REQUEST_LINES_PER_S:
            return True
        self._dropped += 1
        return False

    def _log_dropped_count(self) -> None:
        if self._dropped:
            line = {'event': 'lines-dropped', 'count': self._dropped}
            logging.info('%s', json.dumps(line))
            self._dropped = 0


_limiter = _LineLimiter()


@contextlib.contextmanager
def log_to_stdout() -> collections.abc.Iterator[None]:
    """Log to standard output, with a line for each request decision.

    A thread writes the lines, so that a slow reader does not block the
    event loop. If the reader has stalled at the end, the process ends at
    once: the interpreter would wait for the thread.
    """
    waiting: queue.Queue[python_logging.LogRecord] = queue.Queue(
        MAX_QUEUED_LINES
    )
    root = python_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_DroppingQueueHandler(waiting))
    root.setLevel(python_logging.INFO)
    logging.set_verbosity(logging.INFO)
    for name in QUIET_LOGGERS:
        python_logging.getLogger(name).setLevel(python_logging.WARNING)
    output = python_logging.StreamHandler(sys.stdout)
    output.setFormatter(python_logging.Formatter('%(message)s'))
    listener = _Writer(waiting, output)
    listener.start()
    _limiter.is_enabled = True
    try:
        yield
    finally:
        _limiter.is_enabled = False
        listener.stop()
        if listener.is_stalled:
            os._exit(STALLED_EXIT_STATUS)


def change(entry: timeline.Entry) -> None:
    """Log a timeline entry as a line of JSON.

    Decisions on requests are logged only where they are enabled, and only
    up to a bounded rate.

    :param entry: entry of the timeline.
    """
    if (
        entry.mark.startswith(REQUEST_MARK_PREFIX)
        and not _limiter.allows_line()
    ):
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
    line = {name: value for name, value in fields.items() if value}
    logging.info('%s', json.dumps(line))
