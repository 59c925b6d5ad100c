"""A loopback proxy that delays, resets, cuts and silences connections.

All proxies of a run share one event loop, which runs in its own thread. A cut holds
back the bytes of one direction until the fault ends, as if packets were lost and
retransmitted. After a silence, open connections never carry data again, while new
ones work.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Coroutine
from typing import Any

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
FORWARD_DELAY_S = 0.15
HOLD_POLL_INTERVAL_S = 0.02
IN, OUT = "in", "out"


class ProxiedConnection:
    """An accepted connection and the connection to the target."""

    def __init__(
        self, *, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    ) -> None:
        self.writers = writers
        self.silent = False


class Proxy:
    """Forwards connections from `port` to `target_port`.

    The directions in `held_directions` are cut; `IN` is towards the target.
    """

    def __init__(self, *, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self.delay_s = 0.0
        self.held_directions: frozenset[str] = frozenset()
        self.connections: list[ProxiedConnection] = []

    async def start(self) -> None:
        """Start listening."""
        await asyncio.start_server(self._accept, HOST, self.port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
        except OSError:
            # The target is not listening; the client gets a reset.
            writer.transport.abort()
            return
        connection = ProxiedConnection(writers=(writer, target_writer))
        self.connections.append(connection)
        await asyncio.gather(
            self._forward(connection, reader, target_writer, IN),
            self._forward(connection, target_reader, writer, OUT),
        )
        self.connections.remove(connection)

    async def _forward(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                while direction in self.held_directions or connection.silent:
                    await asyncio.sleep(HOLD_POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()
        while connection.silent:
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)
        writer.close()

    def reset(self) -> None:
        """Reset every connection."""
        for connection in self.connections:
            for writer in connection.writers:
                writer.transport.abort()

    def start_fault(self, fault_kind: str) -> None:
        """Start a fault of one kind."""
        if fault_kind == "reset":
            self.reset()
        elif fault_kind == "silence":
            for connection in self.connections:
                connection.silent = True
        elif fault_kind == "delay":
            self.delay_s = FORWARD_DELAY_S
        else:
            self.held_directions = self.held_directions | {
                fault_kind.removeprefix("cut_")
            }

    def end_fault(self, fault_kind: str) -> None:
        """End a fault of one kind; silenced connections stay silent."""
        if fault_kind == "delay":
            self.delay_s = 0.0
        self.held_directions = self.held_directions - {fault_kind.removeprefix("cut_")}


class Proxies:
    """All proxies of a run by name."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self.by_name: dict[str, Proxy] = {}

    def add(self, name: str, port: int, target_port: int) -> None:
        """Start a proxy."""
        proxy = Proxy(port=port, target_port=target_port)
        self._run(proxy.start())
        self.by_name[name] = proxy

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    def start_fault(self, name: str, fault_kind: str) -> None:
        """Start a fault on a proxy."""
        self._loop.call_soon_threadsafe(self.by_name[name].start_fault, fault_kind)

    def end_fault(self, name: str, fault_kind: str) -> None:
        """End a fault on a proxy."""
        self._loop.call_soon_threadsafe(self.by_name[name].end_fault, fault_kind)
