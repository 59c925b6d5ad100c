"""A loopback proxy that delays, resets, cuts and silences connections.

All proxies of a run share one event loop in a thread of their own. A cut holds bytes
of one direction back until it heals, as retransmission would; a silenced connection
carries nothing any more, while new ones work.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Coroutine
from typing import Any

HOST = "127.0.0.1"
CHUNK = 65_536
DELAY_S = 0.15
POLL_S = 0.02
IN, OUT = "in", "out"


class Connection:
    """A connection and the one that carries it on."""

    def __init__(
        self, *, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    ) -> None:
        self.writers = writers
        self.silent = False


class Proxy:
    """Carries connections from `port` to `target`; `held` names directions."""

    def __init__(self, *, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self.held: frozenset[str] = frozenset()
        self.connections: list[Connection] = []

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._accept, HOST, self.port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            # Nothing listens there, which the caller sees as a reset.
            writer.transport.abort()
            return
        connection = Connection(writers=(writer, far_writer))
        self.connections.append(connection)
        await asyncio.gather(
            self._carry(connection, reader, far_writer, IN),
            self._carry(connection, far_reader, writer, OUT),
        )
        self.connections.remove(connection)

    async def _carry(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await asyncio.sleep(self.delay_s)
                while direction in self.held or connection.silent:
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        while connection.silent:
            await asyncio.sleep(POLL_S)
        writer.close()

    def reset(self) -> None:
        """Reset every connection."""
        for connection in self.connections:
            for writer in connection.writers:
                writer.transport.abort()

    def harm(self, how: str) -> None:
        """Begin one kind of harm."""
        if how == "reset":
            self.reset()
        elif how == "silence":
            for connection in self.connections:
                connection.silent = True
        elif how == "delay":
            self.delay_s = DELAY_S
        else:
            self.held = self.held | {how.removeprefix("cut_")}

    def heal(self, how: str) -> None:
        """End one kind of harm; silenced connections stay silent."""
        if how == "delay":
            self.delay_s = 0.0
        self.held = self.held - {how.removeprefix("cut_")}


class Proxies:
    """All proxies of a run by name."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self.by_name: dict[str, Proxy] = {}

    def add(self, name: str, port: int, target: int) -> None:
        """Start one more."""
        proxy = Proxy(port=port, target=target)
        self._wait(proxy.start())
        self.by_name[name] = proxy

    def _wait(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(5.0)

    def harm(self, name: str, how: str) -> None:
        """Begin to harm the connections of a proxy."""
        self._loop.call_soon_threadsafe(self.by_name[name].harm, how)

    def heal(self, name: str, how: str) -> None:
        """End that harm."""
        self._loop.call_soon_threadsafe(self.by_name[name].heal, how)
