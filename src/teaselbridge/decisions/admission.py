"""Order of waiting requests, and whether one can finish in time."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import calls

SMOOTHING = 0.1
FIRST_MS = 100.0
BETWEEN_MS = 10.0
ANSWER_MS = 30.0
TOKENS = 64.0


@dataclasses.dataclass(slots=True, order=True)
class _Entry:
    deadline: int
    number: int
    call: calls.Call = dataclasses.field(compare=False)
    gone: bool = dataclasses.field(default=False, compare=False)


class _Lane:
    """Requests of one pool and priority, in fair shares by workspace."""

    def __init__(self) -> None:
        self._heaps: dict[str, list[_Entry]] = {}
        self._served: dict[str, float] = {}
        self._level = 0.0

    def push(self, entry: _Entry) -> None:
        """Add an entry; a workspace that was idle starts at the level."""
        workspace = entry.call.key.workspace
        if workspace not in self._heaps:
            served = self._served.get(workspace, 0.0)
            self._served[workspace] = max(served, self._level)
            self._heaps[workspace] = []
        heapq.heappush(self._heaps[workspace], entry)

    def peek(self) -> _Entry | None:
        """Give the entry that goes next: fewest served, then deadline."""
        best: _Entry | None = None
        best_served = 0.0
        for workspace in list(self._heaps):
            entry = self._head(workspace)
            if entry is None:
                continue
            served = self._served[workspace]
            if best is None or (served, entry) < (best_served, best):
                best = entry
                best_served = served
        return best

    def charge(self, call: calls.Call, weight: int) -> None:
        """Count the cost of a request against its workspace."""
        workspace = call.key.workspace
        served = self._served.get(workspace, self._level)
        self._level = max(self._level, served)
        cost = 1.0 + call.max_tokens + call.prompt_size / 16
        self._served[workspace] = served + cost / weight

    def _head(self, workspace: str) -> _Entry | None:
        heap = self._heaps[workspace]
        while heap and heap[0].gone:
            heapq.heappop(heap)
        if heap:
            return heap[0]
        del self._heaps[workspace]
        return None


class Queue:
    """Requests that wait for a backend server."""

    def __init__(self) -> None:
        self._lanes: dict[str, dict[int, _Lane]] = {}
        self._entries: dict[int, _Entry] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, handle: int) -> bool:
        return handle in self._entries

    def push(self, call: calls.Call) -> None:
        """Add a request."""
        entry = _Entry(call.deadline, next(self._numbers), call)
        lanes = self._lanes.setdefault(call.route.pool, {})
        lane = lanes.setdefault(call.route.priority, _Lane())
        lane.push(entry)
        self._entries[call.handle] = entry

    def remove(self, handle: int) -> None:
        """Take a request out, wherever it stands."""
        entry = self._entries.pop(handle, None)
        if entry is not None:
            entry.gone = True

    def pools(self) -> list[str]:
        """List the pools that requests wait for."""
        return list(self._lanes)

    def peek(self, pool: str) -> calls.Call | None:
        """Give the request of a pool that goes next.

        :return: lowest priority number first, none where nobody waits.
        """
        lanes = self._lanes.get(pool, {})
        for priority in sorted(lanes):
            entry = lanes[priority].peek()
            if entry is not None:
                return entry.call
            del lanes[priority]
        return None

    def charge(self, call: calls.Call, weight: int) -> None:
        """Count the cost of a request that is now served."""
        lane = self._lanes.get(call.route.pool, {}).get(call.route.priority)
        if lane is not None:
            lane.charge(call, weight)

    def ahead(self, call: calls.Call) -> int:
        """Count the waiting requests of a request's pool and priority."""
        return sum(
            1
            for entry in self._entries.values()
            if entry.call.route.pool == call.route.pool
            and entry.call.route.priority == call.route.priority
        )

    def worst(self) -> calls.Call | None:
        """Give the request that is shed first: last priority, deadline."""
        if not self._entries:
            return None
        entry = max(
            self._entries.values(),
            key=lambda entry: (entry.call.route.priority, entry.deadline),
        )
        return entry.call


@dataclasses.dataclass(slots=True)
class _Figures:
    first_ms: float = FIRST_MS
    between_ms: float = BETWEEN_MS
    answer_ms: float = ANSWER_MS
    tokens: float = TOKENS


@dataclasses.dataclass(slots=True)
class _LanePace:
    """How fast the waiting requests of a pool and priority go.

    :param gap: milliseconds from one to the next, smoothed.
    :param last: monotonic milliseconds when the last one went.
    :param waiting: whether others waited then.
    """

    gap: float = 0.0
    last: int = 0
    waiting: bool = False


class Pace:
    """Recent speed, smoothed: of routes, and of each pool's queue."""

    def __init__(self) -> None:
        self._routes: dict[str, _Figures] = {}
        self._lanes: dict[tuple[str, int], _LanePace] = {}

    def first(self, route: str, span: int) -> None:
        """Take in the time to a first token, in milliseconds."""
        figures = self._figures(route)
        figures.first_ms += SMOOTHING * (span - figures.first_ms)

    def between(self, route: str, span: int) -> None:
        """Take in the time between two tokens, in milliseconds."""
        figures = self._figures(route)
        figures.between_ms += SMOOTHING * (span - figures.between_ms)

    def answer(self, route: str, span: int) -> None:
        """Take in the time to a whole answer, in milliseconds."""
        figures = self._figures(route)
        figures.answer_ms += SMOOTHING * (span - figures.answer_ms)

    def tokens(self, route: str, count: int) -> None:
        """Take in the length of an answer, in tokens."""
        figures = self._figures(route)
        figures.tokens += SMOOTHING * (count - figures.tokens)

    def dispatch(self, call: calls.Call, now: int, waiting: bool) -> None:
        """Take in that a waiting request was sent.

        :param now: monotonic milliseconds.
        :param waiting: whether others of its priority still wait; an idle
            queue says nothing about how fast a full one drains.
        """
        lane = self._lanes.setdefault(_lane_of(call), _LanePace())
        span = now - lane.last
        if lane.waiting:
            lane.gap += SMOOTHING * (span - lane.gap)
        lane.last = now
        lane.waiting = waiting

    def wait(self, call: calls.Call, ahead: int, now: int) -> float:
        """Predict the wait behind others of the same priority.

        More urgent work counts by how much it slows this priority down.

        :param now: monotonic milliseconds.
        :return: milliseconds.
        """
        lane = self._lanes.get(_lane_of(call))
        if lane is None or not ahead:
            return 0.0
        stalled = now - lane.last if lane.waiting else 0
        return max(ahead * lane.gap, float(stalled))

    def service(self, call: calls.Call, done: int) -> float:
        """Predict the time of service, in milliseconds.

        :param done: tokens that the caller already has.
        """
        figures = self._figures(call.route.name)
        if not call.max_tokens:
            return figures.answer_ms
        tokens = min(float(call.max_tokens), figures.tokens)
        return figures.first_ms + max(0.0, tokens - done) * figures.between_ms

    def between_ms(self, route: str) -> float:
        """Recent time between two tokens, in milliseconds."""
        return self._figures(route).between_ms

    def answer_ms(self, route: str) -> float:
        """Recent time to a whole answer, in milliseconds."""
        return self._figures(route).answer_ms

    def first_ms(self, route: str) -> float:
        """Recent time to a first token, in milliseconds."""
        return self._figures(route).first_ms

    def _figures(self, route: str) -> _Figures:
        return self._routes.setdefault(route, _Figures())


def _lane_of(call: calls.Call) -> tuple[str, int]:
    return (call.route.pool, call.route.priority)
