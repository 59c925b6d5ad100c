"""A proxy in front of an executor that carries a share of the starts out late.

While it is armed, each `one_in`-th ``run-start`` gets no answer, and is delivered to
whatever executor listens at the address `late_s` seconds later, as PROTOCOL.md allows:
"A call that receives no response may have been executed. It may also be executed
seconds later, after newer calls."
"""

from __future__ import annotations

import http.client
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 5.0
KEPT_HEADERS = ("Content-Type", "Expected-Instance")


class LateProxy:
    """Forwards calls from `port` to `target`; `record` gets what it holds back."""

    def __init__(
        self,
        *,
        port: int,
        target: int,
        one_in: int,
        late_s: float,
        record: Callable[..., None],
    ) -> None:
        self.target = target
        self.armed = False
        self._one_in = one_in
        self._late_s = late_s
        self._record = record
        self._starts = 0
        self._lock = threading.Lock()
        proxy = self

        class Handler(BaseHTTPRequestHandler):
            """Forwards the calls of one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_POST(self) -> None:
                """Forward one call."""
                proxy.forward(self)

            def log_message(self, format: str, *args: Any) -> None:
                """Write no access log."""

        class Server(ThreadingHTTPServer):
            """Does not print that a caller has closed its connection."""

            def handle_error(self, request: Any, client_address: Any) -> None:
                """Write nothing."""

        self._server = Server((HOST, port), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def forward(self, request: BaseHTTPRequestHandler) -> None:
        """Forward a call, or hold it back and close its connection."""
        size = int(request.headers.get("Content-Length", 0))
        body = request.rfile.read(size)
        headers = {
            name: request.headers[name]
            for name in KEPT_HEADERS
            if name in request.headers
        }
        if request.path == "/v1/run-start" and self._holds():
            self._record("held start", port=self.target, body=body.decode())
            arguments = (request.path, body, headers)
            threading.Thread(target=self._deliver, args=arguments, daemon=True).start()
            # No answer: the caller's own time-out ends its wait.
            time.sleep(CALL_TIMEOUT_S)
            request.close_connection = True
            return
        try:
            status, data = self._call(request.path, body, headers)
        except (OSError, http.client.HTTPException):
            request.close_connection = True
            return
        request.send_response(status)
        request.send_header("Content-Type", "application/json")
        request.send_header("Content-Length", str(len(data)))
        request.end_headers()
        request.wfile.write(data)

    def _holds(self) -> bool:
        with self._lock:
            if not self.armed:
                return False
            self._starts += 1
            return self._starts % self._one_in == 0

    def _call(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(
            HOST, self.target, timeout=CALL_TIMEOUT_S
        )
        try:
            connection.request("POST", path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def _deliver(self, path: str, body: bytes, headers: dict[str, str]) -> None:
        time.sleep(self._late_s)
        try:
            status, data = self._call(path, body, headers)
        except (OSError, http.client.HTTPException) as error:
            self._record("late start lost", port=self.target, error=str(error))
            return
        self._record(
            "late start", port=self.target, status=status, answer=data.decode()
        )
