"""Tests of what a node hears from its cloud."""

from __future__ import annotations

import types

import testtools

from teaselbridge.decisions import events
from teaselbridge.protocols import cloud as clouds
from teaselbridge.runtime import surroundings
from tests.decisions import samples


class TestNotices(testtools.TestCase):
    """A node stops before its host is taken back."""

    # Guards against final answers after the host is gone.
    def test_own_host(self) -> None:
        for left_ms, by in ((7_000, 6_500), (800, 600)):
            posted: list[events.Event] = []
            loop = types.SimpleNamespace(
                state=samples.state(),
                now=lambda: samples.instant(0),
                post=posted.append,
            )
            notice = clouds.ReclaimNotice(
                number=1,
                host=loop.state.options.me.name,
                at=samples.instant(left_ms).wall,
            )
            surroundings._post_notice(notice, loop)
            self.assertEqual(
                [events.DrainRequested(by, is_final=True)], posted
            )
