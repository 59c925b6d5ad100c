"""One open stream between two processes: batching, bounds and keepalive.

Both ends of a link run the same code. The writer batches queued items into frames;
when nothing is queued for `HEARTBEAT_INTERVAL_S` it sends an empty frame. The reader
closes the stream after `SILENCE_TIMEOUT_S` without a frame, so that a frozen peer is
detected within seconds. The stream is closed if its queue exceeds its bounds: the
roles on both ends treat items on a broken link as lost.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, cast

from bulrushpulley.entities.link import LinkDown, LinkUp
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.link_codec import decode_item, encode_item
from bulrushpulley.wire.link_pb2 import Frame, Item

HEARTBEAT_INTERVAL_S = 1.5
SILENCE_TIMEOUT_S = 5.0
MAX_QUEUED_ITEMS = 16_384
MAX_QUEUED_BYTES = 16 * 1024 * 1024
# No item is added to a frame of this size; the last one may make it larger.
MAX_FRAME_BYTES = 256 * 1024
HELLO_TIMEOUT_S = 5.0
# The prefix of a gRPC message (5 bytes) and the header of an HTTP/2 frame (9 bytes).
FRAME_OVERHEAD_BYTES = 14


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkHooks:
    """The identity of this process, and the callbacks and timing of its links.

    `receive` gets each decoded item and the `LinkUp` and `LinkDown` of each
    stream; `count` gets the byte counters; `report` gets the reason why a stream was
    closed. All are called on the event loop and must not block. When nothing is queued
    for `heartbeat_interval_s`, an empty frame is sent. A link is closed when no frame
    was received, or sending one did not finish, within `silence_timeout_s`.
    """

    incarnation: str
    region: str
    receive: Callable[[Event], None]
    count: Callable[[Count], None]
    report: Callable[[Problem], None]
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    silence_timeout_s: float = SILENCE_TIMEOUT_S


def link_error(*, code: Code, step: str, peer: str, detail: str) -> BulrushpulleyError:
    """Return the error of a link at `step` with `peer`."""
    problem = Problem(code=code, step=step, peer=peer, detail=detail)
    return BulrushpulleyError(problem=problem)


@singledispatch
def stream_problem(error: Exception, peer: str) -> Problem:
    """Return the problem that describes the error with which a stream ended."""
    detail = f"{type(error).__name__}: {error}"
    return Problem(code=Code.UNAVAILABLE, step="link.stream", peer=peer, detail=detail)


@stream_problem.register
def _(error: BulrushpulleyError, peer: str) -> Problem:
    return error.problem


@stream_problem.register
def _(error: TimeoutError, peer: str) -> Problem:
    detail = "no frame was received or sent within the timeout"
    return Problem(code=Code.DEADLINE, step="link.stream", peer=peer, detail=detail)


async def receive_hello(stream: Any, peer: str) -> Frame:
    """Receive the first frame of the other side, which names its process.

    `peer` describes the other side in an error.
    """
    async with asyncio.timeout(HELLO_TIMEOUT_S):
        frame = await stream.recv_message()
    if frame is None or not frame.peer:
        raise link_error(
            code=Code.INVALID,
            step="link.hello",
            peer=peer,
            detail="the first frame does not name the peer",
        )
    return cast(Frame, frame)


async def send_hello(stream: Any, hooks: LinkHooks) -> None:
    """Send the first frame of this side."""
    await stream.send_message(Frame(peer=hooks.incarnation, region=hooks.region))


class LinkStream:
    """An open stream; every method runs on the event loop's thread."""

    def __init__(
        self, *, peer: str, region: str, stream: Any, hooks: LinkHooks
    ) -> None:
        self.peer = peer
        self.region = region
        self._stream = stream
        self._hooks = hooks
        self._queue: deque[Item] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._flushed = asyncio.Event()
        self._flushed.set()
        self._closed: asyncio.Future[Problem | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._ended = asyncio.Event()
        now = asyncio.get_running_loop().time()
        self._received_at = now
        self._sent_at = now
        self._sending_since: float | None = None

    def put(self, event: Event) -> None:
        """Queue an item; closes the stream when the queue exceeds its bounds."""
        item = encode_item(event)
        self._queue.append(item)
        self._queued_bytes += item.ByteSize()
        self._flushed.clear()
        self._wake.set()
        if len(self._queue) > MAX_QUEUED_ITEMS or self._queued_bytes > MAX_QUEUED_BYTES:
            detail = f"{len(self._queue)} items, {self._queued_bytes} bytes queued"
            self.close(self._problem(Code.OVERLOADED, "link.send", detail))

    def close(self, problem: Problem | None = None) -> None:
        """End the stream; `run` returns soon after."""
        if not self._closed.done():
            self._closed.set_result(problem)

    async def wait_flushed(self) -> None:
        """Wait until everything queued has been handed to the transport."""
        await self._flushed.wait()

    async def wait_ended(self) -> None:
        """Wait until `LinkDown` has been reported."""
        await self._ended.wait()

    async def run(self) -> None:
        """Exchange frames until either side ends the stream or fails."""
        tasks: list[asyncio.Future[None]] = [
            asyncio.ensure_future(work())
            for work in (self._read, self._write, self._watch_silence, self._beat)
        ]
        self._hooks.receive(LinkUp(peer=self.peer, region=self.region))
        try:
            ends: list[asyncio.Future[Any]] = [*tasks, self._closed]
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._finish(*tasks)

    def _finish(self, *tasks: asyncio.Future[None]) -> None:
        """Report the end without waiting, as grpclib may cancel `run` repeatedly."""
        errors = [task.exception() for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        problem = self._closed.result() if self._closed.done() else None
        self.close()
        self._hooks.receive(LinkDown(peer=self.peer))
        self._flushed.set()
        self._ended.set()
        if problem is not None:
            self._hooks.report(problem)
        for error in errors:
            if isinstance(error, Exception):
                self._hooks.report(stream_problem(error, self.peer))

    def _problem(self, code: Code, step: str, detail: str) -> Problem:
        return Problem(code=code, step=step, peer=self.peer, detail=detail)

    async def _read(self) -> None:
        while True:
            frame = await self._stream.recv_message()
            if frame is None:
                return
            self._received_at = asyncio.get_running_loop().time()
            self._count("link_bytes_received", frame)
            for item in frame.items:
                event = decode_item(item, self.peer)
                if event is not None:
                    self._hooks.receive(event)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            # An empty frame is sent when a heartbeat is due and nothing is queued.
            await self._send_frame()
            while self._queue:
                await self._send_frame()
            self._flushed.set()

    async def _send_frame(self) -> None:
        loop = asyncio.get_running_loop()
        frame = self._next_frame()
        self._count("link_bytes_sent", frame)
        self._sending_since = loop.time()
        await self._stream.send_message(frame)
        self._sending_since = None
        self._sent_at = loop.time()

    async def _beat(self) -> None:
        """Have an empty frame sent whenever none was sent for the interval.

        One timer for each interval costs less than one for each frame.
        """
        loop = asyncio.get_running_loop()
        while True:
            due_at = self._sent_at + self._hooks.heartbeat_interval_s
            if loop.time() >= due_at:
                self._wake.set()
                due_at = loop.time() + self._hooks.heartbeat_interval_s
            await asyncio.sleep(due_at - loop.time())

    async def _watch_silence(self) -> None:
        """Raise `TimeoutError` once nothing was received, or a frame not sent."""
        loop = asyncio.get_running_loop()
        timeout_s = self._hooks.silence_timeout_s
        while True:
            since = min(self._received_at, self._sending_since or loop.time())
            silent_s = loop.time() - since
            if silent_s >= timeout_s:
                raise TimeoutError
            await asyncio.sleep(timeout_s - silent_s)

    def _next_frame(self) -> Frame:
        batch: list[Item] = []
        size = 0
        while self._queue and size < MAX_FRAME_BYTES:
            item = self._queue.popleft()
            size += item.ByteSize()
            batch.append(item)
        self._queued_bytes -= size
        return Frame(items=batch)

    def _count(self, name: str, frame: Frame) -> None:
        size = frame.ByteSize() + FRAME_OVERHEAD_BYTES
        self._hooks.count(Count(name=name, label=self.region, by=size))
