"""Logs decisions and problems through eliot, one JSON line for each.

A thread that logs only queues the message; a separate thread encodes and writes it.
When the queue is full, because the reader of the log is slow or absent, lines are
dropped and counted, and the count is logged once there is room again. A slow log
therefore never delays a request. Lines are written whole, several in a piece.
"""

from __future__ import annotations

import itertools
import os
import threading
import time
import uuid
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

import eliot
import msgspec

from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.errors import Problem

MAX_QUEUED_LINES = 20_000
MAX_LINES_PER_WRITE = 500
FLUSH_TIMEOUT_S = 2.0
# A pipe passes a write of this size (Linux's PIPE_BUF) on whole, a larger one in parts
# that the log's reader may lose.
MAX_PIECE_BYTES = 4_096
# Lines that arrive within this time are written together, since waking the writer
# for each of them costs more than writing the line.
MAX_BATCH_DELAY_S = 0.1


_logger = eliot.Logger()
_TASK_ID = str(uuid.uuid4())
_message_numbers = itertools.count(1)


class LineWriter:
    """A bounded queue of log messages and the thread that writes them to `fd`."""

    def __init__(self, *, fd: int, count: Callable[[Count], None]) -> None:
        self._fd = fd
        self._count = count
        self._queue: deque[dict[str, Any]] = deque()
        self._ready = threading.Condition()
        self._dropped = 0
        self._stopping = False
        self._thread = threading.Thread(target=self._write_all, daemon=True)

    def start(self) -> None:
        """Start the thread and receive every eliot message."""
        self._thread.start()
        eliot.add_destinations(self.put)

    def put(self, message: dict[str, Any]) -> None:
        """Queue one message, or drop it if the queue is full; called on any thread."""
        with self._ready:
            if len(self._queue) >= MAX_QUEUED_LINES:
                self._dropped += 1
                return
            self._queue.append(message)
            if len(self._queue) in (1, MAX_LINES_PER_WRITE):
                self._ready.notify()

    def stop(self) -> None:
        """Write the queued messages and stop the thread."""
        eliot.remove_destination(self.put)
        with self._ready:
            self._stopping = True
            self._ready.notify()
        self._thread.join(FLUSH_TIMEOUT_S)

    def _is_batch_due(self) -> bool:
        return self._stopping or len(self._queue) >= MAX_LINES_PER_WRITE

    def _write_all(self) -> None:
        while batch := self._next_batch():
            lines = (
                msgspec.json.encode(message, enc_hook=str) + b"\n" for message in batch
            )
            for piece in pack_lines(lines):
                try:
                    _write(self._fd, piece)
                except OSError:
                    lost = piece.count(b"\n")
                    self._count(Count(name="log_lines_lost", by=lost))

    def _next_batch(self) -> list[dict[str, Any]]:
        with self._ready:
            self._ready.wait_for(lambda: self._queue or self._stopping)
            self._ready.wait_for(self._is_batch_due, MAX_BATCH_DELAY_S)
            size = min(len(self._queue), MAX_LINES_PER_WRITE)
            batch = [self._queue.popleft() for _ in range(size)]
            dropped, self._dropped = self._dropped, 0
        if dropped:
            self._count(Count(name="log_lines_lost", by=dropped))
            batch.append({"message_type": "log.dropped", "lines": dropped})
        return batch


def pack_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Join whole lines to pieces of `MAX_PIECE_BYTES` at most.

    A line that is longer than that is a piece of its own.
    """
    piece: list[bytes] = []
    size_bytes = 0
    for line in lines:
        if piece and size_bytes + len(line) > MAX_PIECE_BYTES:
            yield b"".join(piece)
            piece, size_bytes = [], 0
        piece.append(line)
        size_bytes += len(line)
    if piece:
        yield b"".join(piece)


def _write(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _log(**fields: object) -> None:
    """Log a message; all messages of a process belong to one task of eliot."""
    message = {
        "timestamp": time.time(),
        "task_uuid": _TASK_ID,
        "task_level": [next(_message_numbers)],
        **fields,
    }
    _logger.write(message)


def log_decision(command: Decision, *, process: str) -> None:
    """Log one routing or placement decision."""
    _log(
        message_type=command.kind,
        process=process,
        subject=command.subject,
        chosen=command.chosen,
        reason=command.reason,
        passed_over=command.passed_over,
        revision=command.revision,
        epoch=command.epoch,
    )


def log_problem(problem: Problem, *, process: str) -> None:
    """Log one failure."""
    _log(
        message_type="problem",
        process=process,
        code=problem.code.value,
        step=problem.step,
        peer=problem.peer,
        field=problem.field,
        detail=problem.detail,
    )


def log_process(*, process: str, stage: str, detail: str = "") -> None:
    """Log a stage of the process, such as ``started``."""
    _log(message_type="process", process=process, stage=stage, detail=detail)


def decision_logger(process: str) -> Callable[[Decision], None]:
    """Return the function that logs the decisions of a process."""
    return partial(log_decision, process=process)


def problem_logger(process: str) -> Callable[[Problem], None]:
    """Return the function that logs the problems of a process."""
    return partial(log_problem, process=process)
