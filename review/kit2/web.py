"""A small HTTP/1.1 server for the stand-ins, from the standard library."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
# A handler returns a status and a body; None closes the connection without an answer.
Handle = Callable[
    [str, str, dict[str, str], Any, dict[str, str]], tuple[int, Any] | None
]


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True


def serve(port: int, handle: Handle) -> _Server:
    """Serve `handle(method, path, query, body, headers)` on a thread of its own."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = -1
        disable_nagle_algorithm = True

        def _answer(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            data = self.rfile.read(length) if length else b""
            parts = urlsplit(self.path)
            try:
                body = json.loads(data) if data else None
            except ValueError:
                body = None
            headers = {name.lower(): value for name, value in self.headers.items()}
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            answer = handle(self.command, parts.path, query, body, headers)
            if answer is None:
                self.close_connection = True
                self.connection.shutdown(socket.SHUT_RDWR)
                return
            status, value = answer
            payload = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(payload)))
            self.end_headers()
            self.wfile.write(payload)
            self.wfile.flush()

        do_GET = do_POST = do_PUT = do_DELETE = _answer  # noqa: N815

        def log_message(self, *_: Any) -> None:
            pass

        def handle(self) -> None:
            try:
                super().handle()
            except OSError:
                self.close_connection = True

    server = _Server((HOST, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
