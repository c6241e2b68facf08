"""Tests of the order in which nodes get updates."""

from __future__ import annotations

import collections

import testtools

from teaselbridge.decisions.sharing import rotation


def name_nodes(count: int) -> list[str]:
    """Return the sorted names of some nodes."""
    return [f'n{number:03}' for number in range(count)]


class TestRotation(testtools.TestCase):
    """Each node gets an update from each other one once a period."""

    def test_gaps_are_at_most_a_period(self) -> None:
        for count in (1, 5, 24, 25, 63, 194):
            names = name_nodes(count)
            last = 'n'
            sent_at: dict[str, list[int]] = collections.defaultdict(list)
            for number in range(40):
                chosen = rotation.choose_window(names, last)
                self.assertEqual(
                    min(count, rotation.MAX_UPDATE_PEERS), len(set(chosen))
                )
                last = chosen[-1]
                for name in chosen:
                    sent_at[name].append(number)
            period = rotation.get_period_ms(count)
            most = period // rotation.UPDATE_INTERVAL_MS
            self.assertEqual(set(names), set(sent_at))
            for times in sent_at.values():
                gaps = {
                    second - first
                    for first, second in zip(times, times[1:], strict=False)
                }
                self.assertLessEqual(max(gaps), most, count)

    # Guards against a burst of updates on the link of one node.
    def test_senders_begin_at_different_receivers(self) -> None:
        names = name_nodes(64)
        received = collections.Counter(
            receiver
            for name in names
            for receiver in rotation.choose_window(
                [item for item in names if item != name], name
            )
        )
        self.assertEqual({rotation.MAX_UPDATE_PEERS}, set(received.values()))

    # Guards against nodes that are skipped when others leave.
    def test_receivers_change(self) -> None:
        names = name_nodes(60)
        chosen = rotation.choose_window(names, 'n000')
        self.assertEqual('n024', chosen[-1])
        fewer = [name for name in names if name not in chosen]
        following = rotation.choose_window(fewer, chosen[-1])
        self.assertEqual('n025', following[0])
        self.assertEqual([], rotation.choose_window([], 'n000'))
