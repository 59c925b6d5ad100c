"""A backend server as a value: its slots, and how often each request has run.

Requests beyond the slots wait in the order in which they came.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace

from pyrsistent import PMap, pmap


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendState:
    """`free_at` holds for each slot when it is free; `run_count_by_id` counts runs."""

    free_at: tuple[float, ...]
    run_count_by_id: PMap[str, int]

    @staticmethod
    def empty(*, slots: int) -> BackendState:
        """Return a server that has run nothing."""
        return BackendState(free_at=(0.0,) * slots, run_count_by_id=pmap())


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """The state with one more run, and when that run ends."""

    state: BackendState
    ends_at: float


def admit(state: BackendState, *, request_id: str, service_s: float, now: float) -> Run:
    """Put a request into the slot that is free first."""
    free_at = list(state.free_at)
    ends_at = max(now, heapq.heappop(free_at)) + service_s
    heapq.heappush(free_at, ends_at)
    count = state.run_count_by_id.get(request_id, 0) + 1
    after = replace(
        state,
        free_at=tuple(free_at),
        run_count_by_id=state.run_count_by_id.set(request_id, count),
    )
    return Run(state=after, ends_at=ends_at)
