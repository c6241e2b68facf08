"""Queue of waiting requests, and predictions of when they can finish."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import calls

SMOOTHING = 0.1
# Times that nothing has renewed for so long refuse no request that could renew
# them: a stall may have made them too long.
MAX_AGE_MS = 1_000
INITIAL_FIRST_TOKEN_MS = 100.0
INITIAL_TOKEN_GAP_MS = 10.0
INITIAL_ANSWER_MS = 30.0
INITIAL_ANSWER_TOKENS = 64.0


@dataclasses.dataclass(slots=True, order=True)
class _Entry:
    deadline: int
    number: int
    call: calls.Call = dataclasses.field(compare=False)
    is_removed: bool = dataclasses.field(default=False, compare=False)


class _PriorityQueue:
    """Queue of one pool and priority, with fair queuing by workspace.

    The virtual time is the highest served cost that a workspace had when one
    of its requests was charged. A workspace that was idle starts from it, so
    that idle time earns no credit.
    """

    def __init__(self) -> None:
        self._heaps: dict[str, list[_Entry]] = {}
        self._served_cost: dict[str, float] = {}
        self._virtual_time = 0.0

    def push(self, entry: _Entry) -> None:
        """Add an entry; an idle workspace starts at the virtual time."""
        workspace = entry.call.key.workspace
        if workspace not in self._heaps:
            served = self._served_cost.get(workspace, 0.0)
            self._served_cost[workspace] = max(served, self._virtual_time)
            self._heaps[workspace] = []
        heapq.heappush(self._heaps[workspace], entry)

    def peek(self) -> _Entry | None:
        """Return the next entry: lowest served cost, then first deadline."""
        best: _Entry | None = None
        best_served = 0.0
        for workspace in list(self._heaps):
            entry = self._first_entry(workspace)
            if entry is None:
                continue
            served = self._served_cost[workspace]
            if best is None or (served, entry) < (best_served, best):
                best = entry
                best_served = served
        return best

    def charge(self, call: calls.Call, weight: int) -> None:
        """Charge the cost of a request to its workspace."""
        workspace = call.key.workspace
        served = self._served_cost.get(workspace, self._virtual_time)
        self._virtual_time = max(self._virtual_time, served)
        cost = 1.0 + call.max_tokens + call.prompt_size / 16
        self._served_cost[workspace] = served + cost / weight

    def _first_entry(self, workspace: str) -> _Entry | None:
        heap = self._heaps[workspace]
        while heap and heap[0].is_removed:
            heapq.heappop(heap)
        if heap:
            return heap[0]
        del self._heaps[workspace]
        return None


class RequestQueue:
    """Requests that wait for a backend server, by pool and priority."""

    def __init__(self) -> None:
        self._queues: dict[str, dict[int, _PriorityQueue]] = {}
        self._entries: dict[int, _Entry] = {}
        self._sequence_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, handle: int) -> bool:
        return handle in self._entries

    def push(self, call: calls.Call) -> None:
        """Add a request."""
        entry = _Entry(call.deadline, next(self._sequence_numbers), call)
        queues = self._queues.setdefault(call.route.pool, {})
        queue = queues.setdefault(call.route.priority, _PriorityQueue())
        queue.push(entry)
        self._entries[call.handle] = entry

    def remove(self, handle: int) -> None:
        """Remove a request if it is queued."""
        entry = self._entries.pop(handle, None)
        if entry is not None:
            entry.is_removed = True

    def pools(self) -> list[str]:
        """List the pools for which requests were queued."""
        return list(self._queues)

    def peek(self, pool: str) -> calls.Call | None:
        """Return the next request of a pool, lowest priority number first.

        :return: the request, none where the queue is empty.
        """
        queues = self._queues.get(pool, {})
        for priority in sorted(queues):
            entry = queues[priority].peek()
            if entry is not None:
                return entry.call
            del queues[priority]
        return None

    def charge(self, call: calls.Call, weight: int) -> None:
        """Charge the cost of a request that is now served."""
        queue = self._queues.get(call.route.pool, {}).get(call.route.priority)
        if queue is not None:
            queue.charge(call, weight)

    def count_ahead(self, call: calls.Call) -> int:
        """Count the waiting requests of the same pool and priority."""
        return sum(
            1
            for entry in self._entries.values()
            if entry.call.route.pool == call.route.pool
            and entry.call.route.priority == call.route.priority
        )

    def count_before(self, call: calls.Call) -> int:
        """Count the waiting requests that are served before a request.

        They are those of the same pool that are more urgent, or as urgent and
        queued earlier.
        """
        own = self._entries.get(call.handle)
        priority = call.route.priority
        return sum(
            1
            for entry in self._entries.values()
            if entry.call.route.pool == call.route.pool
            and (
                entry.call.route.priority < priority
                or (
                    entry.call.route.priority == priority
                    and (own is None or entry.number < own.number)
                )
            )
        )

    def find_shed_candidate(
        self, kept: collections.abc.Container[int] = ()
    ) -> calls.Call | None:
        """Return the request to shed first: last priority, last deadline.

        :param kept: handles of those that are not shed.
        """
        entry = max(
            (
                entry
                for entry in self._entries.values()
                if entry.call.handle not in kept
            ),
            key=lambda entry: (entry.call.route.priority, entry.deadline),
            default=None,
        )
        return None if entry is None else entry.call


@dataclasses.dataclass(slots=True)
class _RouteStats:
    first_ms: float = INITIAL_FIRST_TOKEN_MS
    between_ms: float = INITIAL_TOKEN_GAP_MS
    answer_ms: float = INITIAL_ANSWER_MS
    tokens: float = INITIAL_ANSWER_TOKENS


@dataclasses.dataclass(slots=True)
class _DispatchRate:
    """Rate at which requests of a pool and priority are dispatched.

    :param interval_ms: milliseconds between dispatches, smoothed.
    :param last: monotonic milliseconds of the last dispatch.
    :param waiting: whether other requests waited then.
    """

    interval_ms: float = 0.0
    last: int = 0
    waiting: bool = False


class LatencyEstimator:
    """Moving averages of route latencies and of queue dispatch rates."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteStats] = {}
        self._dispatch_rates: dict[tuple[str, int], _DispatchRate] = {}
        self._renewed_at: dict[str, int] = {}

    def record_renewal(self, route: str, now: int) -> None:
        """Record that a server's data renewed the times of a route.

        :param now: monotonic milliseconds.
        """
        self._renewed_at[route] = now

    def is_outdated(self, route: str, now: int) -> bool:
        """Return whether nothing has renewed the times of a route lately."""
        renewed_at = self._renewed_at.get(route)
        return renewed_at is not None and now - renewed_at > MAX_AGE_MS

    def first(self, route: str, span: int) -> None:
        """Record the time to a first token, in milliseconds."""
        stats = self._get_stats(route)
        stats.first_ms += SMOOTHING * (span - stats.first_ms)

    def between(self, route: str, span: int) -> None:
        """Record the time between two tokens, in milliseconds."""
        stats = self._get_stats(route)
        stats.between_ms += SMOOTHING * (span - stats.between_ms)

    def answer(self, route: str, span: int) -> None:
        """Record the time to a complete answer, in milliseconds."""
        stats = self._get_stats(route)
        stats.answer_ms += SMOOTHING * (span - stats.answer_ms)

    def tokens(self, route: str, count: int) -> None:
        """Record the length of an answer, in tokens."""
        stats = self._get_stats(route)
        stats.tokens += SMOOTHING * (count - stats.tokens)

    def observe_dispatch(
        self, call: calls.Call, now: int, waiting: bool
    ) -> None:
        """Record the dispatch of a waiting request.

        :param now: monotonic milliseconds.
        :param waiting: whether other requests of its priority still wait;
            intervals of an idle queue do not show how fast a full one
            drains.
        """
        rate = self._dispatch_rates.setdefault(
            _queue_key(call), _DispatchRate()
        )
        span = now - rate.last
        if rate.waiting:
            rate.interval_ms += SMOOTHING * (span - rate.interval_ms)
        rate.last = now
        rate.waiting = waiting

    def wait(self, call: calls.Call, ahead: int, now: int) -> float:
        """Predict the queueing time behind requests of the same priority.

        More urgent requests are not counted; they show in the measured
        dispatch interval of this priority.

        :param ahead: number of requests that wait already.
        :param now: monotonic milliseconds.
        :return: milliseconds.
        """
        rate = self._dispatch_rates.get(_queue_key(call))
        if rate is None or not ahead:
            return 0.0
        stalled = now - rate.last if rate.waiting else 0
        return max(ahead * rate.interval_ms, float(stalled))

    def service(self, call: calls.Call, done: int) -> float:
        """Predict the service time, in milliseconds.

        :param done: number of tokens that the caller already has.
        """
        stats = self._get_stats(call.route.name)
        if not call.max_tokens:
            return stats.answer_ms
        tokens = min(float(call.max_tokens), stats.tokens)
        return stats.first_ms + max(0.0, tokens - done) * stats.between_ms

    def mean_token_gap_ms(self, route: str) -> float:
        """Return the recent time between two tokens, in milliseconds."""
        return self._get_stats(route).between_ms

    def mean_answer_ms(self, route: str) -> float:
        """Return the recent time to a complete answer, in milliseconds."""
        return self._get_stats(route).answer_ms

    def first_ms(self, route: str) -> float:
        """Return the recent time to a first token, in milliseconds."""
        return self._get_stats(route).first_ms

    def _get_stats(self, route: str) -> _RouteStats:
        return self._routes.setdefault(route, _RouteStats())


def _queue_key(call: calls.Call) -> tuple[str, int]:
    return (call.route.pool, call.route.priority)
