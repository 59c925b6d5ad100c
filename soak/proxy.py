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
CHUNK_BYTES = 65_536
FORWARD_DELAY_S = 0.15
HOLD_POLL_INTERVAL_S = 0.02
IN, OUT = "in", "out"


class ProxiedConnection:
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
        self.held_directions: frozenset[str] = frozenset()
        self.connections: list[ProxiedConnection] = []

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._accept, HOST, self.port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target
            )
        except OSError:
            # Nothing listens there, which the caller sees as a reset.
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
        """Begin one kind of harm."""
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
        """End one kind of harm; silenced connections stay silent."""
        if fault_kind == "delay":
            self.delay_s = 0.0
        self.held_directions = self.held_directions - {fault_kind.removeprefix("cut_")}


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

    def start_fault(self, name: str, fault_kind: str) -> None:
        """Begin to harm the connections of a proxy."""
        self._loop.call_soon_threadsafe(self.by_name[name].start_fault, fault_kind)

    def end_fault(self, name: str, fault_kind: str) -> None:
        """End that harm."""
        self._loop.call_soon_threadsafe(self.by_name[name].end_fault, fault_kind)
