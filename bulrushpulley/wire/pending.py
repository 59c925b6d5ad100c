"""The pending calls of the front end, each with the future of its answer."""

from __future__ import annotations

import itertools
import threading
from concurrent.futures import Future
from dataclasses import dataclass

from bulrushpulley.entities.step import Command


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingCall:
    """A call and the future of the command that answers it."""

    call_id: str
    answer: Future[Command]


class PendingCalls:
    """Assigns call ids and passes each answer to the thread that waits for it."""

    def __init__(self, *, incarnation: str) -> None:
        self._incarnation = incarnation
        self._number = itertools.count(1)
        self._lock = threading.Lock()
        self._by_call_id: dict[str, PendingCall] = {}

    def open(self) -> PendingCall:
        """Register a new call."""
        call_id = f"{self._incarnation}/{next(self._number)}"
        call = PendingCall(call_id=call_id, answer=Future())
        with self._lock:
            self._by_call_id[call_id] = call
        return call

    def resolve(self, call_id: str, command: Command) -> None:
        """Set the answer of a call; ignored if the call has been abandoned."""
        with self._lock:
            call = self._by_call_id.pop(call_id, None)
        if call is not None:
            call.answer.set_result(command)

    def wait(self, call: PendingCall, timeout_s: float) -> Command | None:
        """Wait for the answer of a call, and abandon the call after `timeout_s`."""
        try:
            return call.answer.result(timeout_s)
        except TimeoutError:
            if self.abandon(call.call_id):
                return None
        # The answer arrived after the timeout, but before the call was abandoned.
        return call.answer.result()

    def abandon(self, call_id: str) -> bool:
        """Remove a call; return False if its answer arrived first."""
        with self._lock:
            return self._by_call_id.pop(call_id, None) is not None
