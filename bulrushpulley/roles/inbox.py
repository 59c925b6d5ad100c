"""The events that wait for the next tick of a role."""

from __future__ import annotations

import threading

from bulrushpulley.entities.step import Event


class EventInbox:
    """A queue of events that any thread may fill without waking the role.

    Only the first event that cannot wait makes the caller request a tick. All events
    that arrive until then share it, so that they cost one wake-up of the role.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events: list[Event] = []
        self._is_tick_requested = False

    def put(self, event: Event, *, can_wait: bool) -> bool:
        """Queue an event; return whether the caller has to request a tick."""
        with self._lock:
            self._events.append(event)
            if can_wait or self._is_tick_requested:
                return False
            self._is_tick_requested = True
            return True

    def take(self) -> list[Event]:
        """Return the queued events in order, and empty the queue."""
        with self._lock:
            events, self._events = self._events, []
            self._is_tick_requested = False
        return events
