"""The queue of each service: which waiting call is served next.

Calls are served in order of arrival while the queue is short. Once the oldest has
waited for `STANDING_QUEUE_FRACTION` of its time, the newest are served first: under
overload they can still be answered in time, while the oldest mostly cannot.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.key_queue import KeyQueue
from bulrushpulley.entities.request import Request, Waiting
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.systems.route.finish import put_service

STANDING_QUEUE_FRACTION = 0.25


def is_waiting(tables: RouterTables, call_id: str) -> bool:
    """Tell whether a call in a queue is still waiting."""
    request = tables.requests.get(call_id)
    return request is not None and request.stage == Waiting()


def without_ended_calls(tables: RouterTables, queue: KeyQueue) -> KeyQueue:
    """Drop the ids of calls that no longer wait from the old end of a queue."""
    while queue and not is_waiting(tables, queue.left):
        queue = queue.popleft()
    return queue


def oldest_waiting(
    tables: RouterTables, name: str
) -> tuple[RouterTables, Request | None]:
    """Return the oldest waiting call of a service without removing it."""
    service = tables.service(name)
    queue = without_ended_calls(tables, service.queue)
    if queue is not service.queue:
        tables = put_service(tables, replace(service, queue=queue))
    return tables, tables.requests.by_key[queue.left] if queue else None


def is_standing_queue(oldest: Request, now: float) -> bool:
    """Tell by its oldest call whether the queue is persistently long."""
    total_s = oldest.deadline - oldest.received_at
    return now - oldest.received_at > STANDING_QUEUE_FRACTION * total_s


def next_waiting(
    tables: RouterTables, name: str, now: float
) -> tuple[RouterTables, Request | None]:
    """Remove the next call to serve from the queue of a service and return it.

    It is no longer counted as waiting. A call that can no longer be answered in time
    is passed over; its timer refuses it.
    """
    service = tables.service(name)
    queue = without_ended_calls(tables, service.queue)
    while queue:
        oldest = tables.requests.by_key[queue.left]
        newest_first = is_standing_queue(oldest, now)
        call_id = queue.right if newest_first else queue.left
        queue = queue.pop() if newest_first else queue.popleft()
        request = tables.requests.get(call_id)
        if request is not None and request.stage == Waiting() and request.due_at > now:
            updated = replace(service, queue=queue, waiting=service.waiting - 1)
            return put_service(tables, updated), request
        queue = without_ended_calls(tables, queue)
    if queue is service.queue:
        return tables, None
    return put_service(tables, replace(service, queue=queue)), None
