"""Tests of what nodes tell each other of cached prompts."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import calls
from tests.decisions import cluster

HEADS = tuple(
    (calls.PromptPart(f'head-{number}', 9_000),) for number in range(12)
)


class TestCachedParts(testtools.TestCase):
    """All nodes learn on which server a shared part of a prompt is cached.

    The load is prompts with shared heads at many nodes, each of which gets
    too few of them to know where a head is cached.
    """

    def _count_informed(self, nodes: int) -> int:
        model = cluster.Cluster(
            nodes=nodes,
            servers=[cluster.Server(host=f's{number}') for number in range(6)],
        )
        model.run(3_000)
        names = list(model.nodes)
        for number, parts in enumerate(HEADS):
            model.send_request(
                names[number], parts=parts, tokens_in=9_000, streaming=True
            )
        # The longest period at 64 nodes, and the delay of a message.
        model.run(model.now + 1_100)
        now = cluster.samples.instant(model.now)
        return sum(
            any(
                node.state.loads.has_part(host, parts[0].id, now)
                for host in model.servers
            )
            for node in model.nodes.values()
            for parts in HEADS
        )

    # Guards against heads that only the receivers of one update know of, so
    # that the other nodes let another server read them again.
    def test_each_of_64_nodes_learns_of_all_heads(self) -> None:
        self.assertEqual(64 * len(HEADS), self._count_informed(64))

    def test_each_of_12_nodes_learns_of_all_heads(self) -> None:
        informed = self._count_informed(12)
        self.assertEqual(12 * len(HEADS), informed)
