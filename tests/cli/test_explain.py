"""Tests of the command that explains where a request would be sent."""

from __future__ import annotations

import dataclasses
import pathlib

import testtools

from teaselbridge.cli import explain
from teaselbridge.decisions.spreading import explanation
from tests.cli import test_main

ANSWER = explanation.Explanation(
    node='n',
    pool='p',
    admitted=True,
    chosen='h2',
    candidates=(
        explanation.Ranked(
            server='h2',
            wait_ms=143.8,
            reported_ms=133.2,
            inflight=0,
            others=1,
            slots=64,
            cached_tokens=13_000,
            age_ms=700.0,
        ),
    ),
    excluded=(explanation.Excluded(server='h0', reason='leaving'),),
)


class TestCommand(testtools.TestCase):
    """Output and error messages."""

    def test_output(self) -> None:
        """The choice, each candidate and each reason are shown."""
        lines = explain.format_answer(ANSWER)
        self.assertEqual('admitted, sent to h2', lines[1])
        candidate = lines[4].split()
        self.assertEqual(['h2', '144', 'ms', '133', 'ms'], candidate[:5])
        self.assertEqual(['13000', '700', 'ms'], candidate[-3:])
        self.assertEqual(['h0', 'leaving'], lines[-1].split())

    def test_outcomes_without_a_server(self) -> None:
        """A request that is not sent now is told apart from a refused one."""
        waiting = dataclasses.replace(ANSWER, chosen='', ahead=3)
        refused = dataclasses.replace(
            ANSWER, admitted=False, refusal='overload', detail='full'
        )
        cut = dataclasses.replace(ANSWER, chosen='', forwarded=True)
        self.assertIn('behind 3', explain.format_answer(waiting)[1])
        self.assertIn('overload', explain.format_answer(refused)[1])
        self.assertIn('another node', explain.format_answer(cut)[1])

    def test_bad_input(self) -> None:
        """The field that is wrong is named, before a node is asked."""
        node = ('--node', '127.0.0.1:9')
        missing = str(pathlib.Path(__file__).parent / 'no-such-file')
        for expected, arguments in (
            ('$.route', ()),
            ('$.parts', ('--route', 'r', '--part', 'x')),
            ('no-such-file', ('--file', missing)),
            ('RemoteError: 127.0.0.1:9', ('--route', 'r')),
        ):
            completed = test_main.run('explain', *arguments, *node)
            self.assertEqual(test_main.USAGE, completed.returncode)
            self.assertIn(expected, completed.stderr)
