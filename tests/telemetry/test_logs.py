"""Tests of the log on standard output."""

from __future__ import annotations

import subprocess
import sys

import testtools

# More than a pipe and the queue of lines hold.
PROGRAM = """
import logging
from teaselbridge.telemetry import logs

with logs.log_to_stdout():
    for number in range(5_000):
        logging.info('%s', 'x' * 100)
"""
MAX_END_S = 20.0


class TestStdout(testtools.TestCase):
    """The log never holds up the process."""

    # Guards against a stopped process that stays until it is killed.
    def test_stalled_reader(self) -> None:
        process = subprocess.Popen(
            [sys.executable, '-c', PROGRAM], stdout=subprocess.PIPE
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        self.assertEqual(0, process.wait(MAX_END_S))

    def test_all_lines_reach_a_reader(self) -> None:
        program = PROGRAM.replace('5_000', '500')
        done = subprocess.run(
            [sys.executable, '-c', program],
            stdout=subprocess.PIPE,
            timeout=MAX_END_S,
            check=True,
        )
        self.assertEqual(500, done.stdout.count(b'\n'))
