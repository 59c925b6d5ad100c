"""A proxy in front of an agent that can cut single entries off.

PROTOCOL.md leaves the links between the system's own processes to the project; the
proxy only looks for the name of an entry in the first bytes of a connection. What a cut
holds back is lost when the cut ends, and the connections that it held are reset.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
POLL_S = 0.02
RESET = struct.pack("ii", 1, 0)


class Bridge:
    """Forwards connections from `port` to `target`, but for entries in `cut`."""

    def __init__(self, *, port: int, target: int, entries: list[str]) -> None:
        self._target = target
        self._entries = entries
        self.cut: set[str] = set()
        self._listener = socket.create_server((HOST, port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection((HOST, self._target), 2.0)
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        pair = _Pair(client, server)
        threading.Thread(
            target=self._pump, args=(pair, server, client), daemon=True
        ).start()
        self._pump(pair, client, server)

    def _pump(self, pair: _Pair, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if source is pair.client and not pair.entry:
                    pair.look_for(self._entries, data)
                while pair.entry in self.cut:
                    pair.was_cut = True
                    time.sleep(POLL_S)
                if pair.was_cut:
                    break
                sink.sendall(data)
        while pair.entry in self.cut:
            pair.was_cut = True
            time.sleep(POLL_S)
        if pair.was_cut:
            _reset(pair.client)
            _reset(pair.server)
        else:
            for end in (pair.client, pair.server):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)


class _Pair:
    """Both ends of a connection, and the entry that opened it once that is known."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.entry = ""
        self.was_cut = False
        self._head = b""

    def look_for(self, entries: list[str], data: bytes) -> None:
        """Look for the name of an entry in the first bytes."""
        self._head += data
        for name in entries:
            if f"{name}-".encode() in self._head:
                self.entry = name


def _reset(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        end.close()
