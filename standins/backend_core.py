"""The state of a simulated backend server: its slots and the run count by request.

Requests that find no free slot wait in the order of their arrival.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace

from pyrsistent import PMap, pmap


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendState:
    """When each slot becomes free, and how often each request id has run."""

    free_at: tuple[float, ...]
    run_count_by_id: PMap[str, int]

    @staticmethod
    def empty(*, slots: int) -> BackendState:
        """Return a server that has not run anything."""
        return BackendState(free_at=(0.0,) * slots, run_count_by_id=pmap())


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """The state after one more run was admitted, and when that run ends."""

    state: BackendState
    ends_at: float


def admit(
    state: BackendState, *, request_id: str, service_s: float, now: float
) -> Admission:
    """Assign a request to the slot that becomes free first."""
    free_at = list(state.free_at)
    ends_at = max(now, heapq.heappop(free_at)) + service_s
    heapq.heappush(free_at, ends_at)
    count = state.run_count_by_id.get(request_id, 0) + 1
    next_state = replace(
        state,
        free_at=tuple(free_at),
        run_count_by_id=state.run_count_by_id.set(request_id, count),
    )
    return Admission(state=next_state, ends_at=ends_at)
