"""The open links of a process, and sending on them from any thread."""

from __future__ import annotations

import asyncio
import threading
from collections import deque

from bulrushpulley.entities.link import Send
from bulrushpulley.errors import Code
from bulrushpulley.wire.link_stream import LinkStream, link_error


class Links:
    """The open streams, one for each peer; a newer stream replaces an older one.

    `send` may be called from any thread. Everything else runs on the event loop.
    An item for a peer without a stream is dropped, like items queued on a stream
    that ends.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._by_peer: dict[str, LinkStream] = {}
        self._lock = threading.Lock()
        self._unsent: deque[Send] = deque()

    def send(self, command: Send) -> None:
        """Queue an item; the event loop is woken once for all unsent items."""
        with self._lock:
            self._unsent.append(command)
            is_first = len(self._unsent) == 1
        if is_first:
            self._loop.call_soon_threadsafe(self._distribute)

    def _distribute(self) -> None:
        with self._lock:
            unsent, self._unsent = self._unsent, deque()
        for command in unsent:
            stream = self._by_peer.get(command.peer)
            if stream is not None:
                stream.put(command.item)

    def has(self, peer: str) -> bool:
        """Return whether there is a stream to `peer`."""
        return peer in self._by_peer

    async def run(self, stream: LinkStream) -> None:
        """Run a stream until it ends, after closing an older one of its peer.

        Several streams may wait for the end of the same older one. The first of them is
        open when the next one goes on, and is closed in its turn.
        """
        while (older := self._by_peer.get(stream.peer)) is not None:
            older.close(
                link_error(
                    code=Code.CONFLICT,
                    step="link.replace",
                    peer=stream.peer,
                    detail="the peer opened a newer stream",
                ).problem
            )
            await older.wait_ended()
        self._by_peer[stream.peer] = stream
        try:
            await stream.run()
        finally:
            if self._by_peer.get(stream.peer) is stream:
                del self._by_peer[stream.peer]

    async def close(self, timeout_s: float) -> None:
        """Flush queued items for at most `timeout_s`, then end every stream."""
        self._distribute()
        streams = list(self._by_peer.values())
        if not streams:
            return
        flushes = [asyncio.ensure_future(stream.wait_flushed()) for stream in streams]
        _, unflushed = await asyncio.wait(flushes, timeout=timeout_s)
        for flush in unflushed:
            flush.cancel()
        for stream in streams:
            stream.close()
        await asyncio.gather(*(stream.wait_ended() for stream in streams))
