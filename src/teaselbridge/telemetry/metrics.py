"""Counters, gauges and histograms of a node, in Prometheus format."""

from __future__ import annotations

import typing

import prometheus_client

from teaselbridge import clock

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects


# Upper bounds in seconds. The latency goals of routes range from 0.1 s to a
# few seconds.
BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8)

LAG_BUCKETS_S = (0.005, 0.025, 0.1, 0.25, 0.5, 1, 2, 4)


class Meter:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._decisions = prometheus_client.Counter(
            'teaselbridge_decisions',
            'Decisions by kind and by route, fault or reason.',
            ['kind', 'label'],
            registry=self._registry,
        )
        self._spans = prometheus_client.Histogram(
            'teaselbridge_request_seconds',
            'Time from arrival to the first byte and to the whole answer, '
            'age of the load at the choice of a server, and wait for it.',
            ['span', 'route'],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._lag = prometheus_client.Histogram(
            'teaselbridge_loop_lag_seconds',
            'How much later than due the event loop runs its timer.',
            buckets=LAG_BUCKETS_S,
            registry=self._registry,
        )
        self._keyvalue = prometheus_client.Counter(
            'teaselbridge_keyvalue_calls',
            'Calls to the key-value service, by kind and purpose.',
            ['kind', 'purpose'],
            registry=self._registry,
        )
        self._bytes = prometheus_client.Counter(
            'teaselbridge_peer_bytes',
            'Bytes exchanged with other nodes, by direction and message.',
            ['direction', 'message'],
            registry=self._registry,
        )
        self._connections = prometheus_client.Counter(
            'teaselbridge_server_connections_opened',
            'Connections opened to backend servers for requests.',
            registry=self._registry,
        )
        self._listed = prometheus_client.Counter(
            'teaselbridge_listed',
            'Answers to callers that list a node, by node.',
            ['node'],
            registry=self._registry,
        )
        self._held = prometheus_client.Gauge(
            'teaselbridge_requests_held',
            'Requests that the node holds.',
            registry=self._registry,
        )
        self._queued = prometheus_client.Gauge(
            'teaselbridge_requests_queued',
            'Requests that wait for a backend server.',
            registry=self._registry,
        )
        self._generation = prometheus_client.Gauge(
            'teaselbridge_generation',
            'Generation of the configuration in force.',
            registry=self._registry,
        )
        self._peers = prometheus_client.Gauge(
            'teaselbridge_peers',
            'Other nodes that are believed to be alive.',
            registry=self._registry,
        )
        self._era = prometheus_client.Gauge(
            'teaselbridge_store_era',
            'Era of the store, which rises with each restore.',
            registry=self._registry,
        )
        self._in_backoff = prometheus_client.Gauge(
            'teaselbridge_servers_in_backoff',
            'Backend servers that asked for no requests of this node.',
            registry=self._registry,
        )
        self._refused_parts = prometheus_client.Gauge(
            'teaselbridge_prompt_parts_refused',
            'Prompt parts that are refused because engines crashed.',
            registry=self._registry,
        )
        prometheus_client.ProcessCollector(registry=self._registry)
        # Looking up a counter by its labels takes longer than to add to it.
        self._decisions_by_label: dict[
            tuple[str, str], prometheus_client.Counter
        ] = {}
        self._bytes_by_label: dict[
            tuple[str, str], prometheus_client.Counter
        ] = {}

    def count(self, effect: effects.Count) -> None:
        """Add to the counter of a kind of decision."""
        key = (effect.counter.value, effect.label)
        counter = self._decisions_by_label.get(key)
        if counter is None:
            counter = self._decisions.labels(*key)
            self._decisions_by_label[key] = counter
        counter.inc(effect.amount)

    def observe(self, effect: effects.ObserveLatency) -> None:
        """Add a latency to its histogram."""
        span = effect.elapsed_ms / clock.SECOND_MS
        self._spans.labels(effect.span.value, effect.label).observe(span)

    def observe_lag(self, lag_ms: int) -> None:
        """Add the lag of the event loop to its histogram."""
        self._lag.observe(lag_ms / clock.SECOND_MS)

    def count_keyvalue(self, kind: str, purpose: str) -> None:
        """Count a call to the key-value service.

        :param kind: ``read``, ``write`` or ``watch``.
        :param purpose: label of the call's purpose.
        """
        self._keyvalue.labels(kind, purpose).inc()

    def count_listed(self, nodes: typing.Iterable[str]) -> None:
        """Count an answer that lists nodes.

        :param nodes: their names.
        """
        for node in nodes:
            self._listed.labels(node).inc()

    def count_bytes(self, direction: str, message: str, size: int) -> None:
        """Count the bytes of a message between nodes.

        :param direction: ``sent`` or ``received``.
        :param message: name of the message's class, or ``malformed``.
        :param size: size of the encoded message in bytes.
        """
        key = (direction, message)
        counter = self._bytes_by_label.get(key)
        if counter is None:
            counter = self._bytes.labels(*key)
            self._bytes_by_label[key] = counter
        counter.inc(size)

    def count_connection(self) -> None:
        """Count a connection that was opened to a backend server."""
        self._connections.inc()

    def show(
        self,
        *,
        held: int,
        queued: int,
        generation: int,
        peers: int,
        era: int,
        in_backoff: int,
        refused_parts: int,
    ) -> None:
        """Set the gauges.

        :param held: requests that the node holds.
        :param queued: requests that wait for a backend server.
        :param generation: active configuration generation.
        :param peers: other nodes that are considered alive.
        :param era: era of the store.
        :param in_backoff: backend servers that get no requests for a time.
        :param refused_parts: prompt parts that are refused.
        """
        self._held.set(held)
        self._queued.set(queued)
        self._generation.set(generation)
        self._peers.set(peers)
        self._era.set(era)
        self._in_backoff.set(in_backoff)
        self._refused_parts.set(refused_parts)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def value(self, kind: str, label: str = '') -> float:
        """Return the value of one counter of decisions."""
        labels = {'kind': kind, 'label': label}
        name = 'teaselbridge_decisions_total'
        return self._registry.get_sample_value(name, labels) or 0.0

    def sent(self, message: str) -> float:
        """Return the number of bytes sent for a kind of message."""
        labels = {'direction': 'sent', 'message': message}
        name = 'teaselbridge_peer_bytes_total'
        return self._registry.get_sample_value(name, labels) or 0.0
