"""Tests of the reservation of ports."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

import testtools

from teaselbridge.standins import ports

COUNT = 500
PROCESSES = 3
PRINT_PORTS = f"""
import pathlib, sys, time
from teaselbridge.standins import ports
found = ports.PortReservations(folder=pathlib.Path(sys.argv[1]))
print(*[found.take() for _ in range({COUNT})], flush=True)
sys.stdin.read()
"""


class TestPorts(testtools.TestCase):
    """No port is given out twice while its user may still listen on it."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'ports'

    def _start(self) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, '-c', PRINT_PORTS, str(self.folder)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def test_processes_get_different_ports(self) -> None:
        running = [self._start() for _ in range(PROCESSES)]
        found = []
        for process in running:
            assert process.stdout is not None
            found += process.stdout.readline().split()
        for process in running:
            process.communicate('')
        self.assertEqual(PROCESSES * COUNT, len(found))
        self.assertEqual(len(found), len(set(found)))

    def test_ports_of_an_ended_process_are_free(self) -> None:
        self._start().communicate('')
        own = ports.PortReservations(folder=self.folder)
        total = ports.PORT_END - ports.MIN_PORT
        found = {own.take() for _ in range(total)}
        self.assertEqual(total, len(found))

    def test_ports_are_given_out_again_when_all_were(self) -> None:
        own = ports.PortReservations(folder=self.folder)
        for _ in range(ports.PORT_END - ports.MIN_PORT):
            own.take()
        self.assertTrue(ports.MIN_PORT <= own.take() < ports.PORT_END)
