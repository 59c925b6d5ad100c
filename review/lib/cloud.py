"""The platform's list of machines, on loopback, written from PROTOCOL.md.

All machines carry an executor on a `side` machine, so that each order of upkeep gets
409 with the reason `busy`.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HOST = "127.0.0.1"


class Cloud:
    """Lists `machines`, and refuses upkeep; `record` gets each order."""

    def __init__(
        self, *, port: int, machines: list[dict[str, Any]], record: Callable[..., None]
    ) -> None:
        known = {machine["Machine"] for machine in machines}

        class Handler(BaseHTTPRequestHandler):
            """Answers the calls of one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                """List the machines."""
                self._answer(200, {"Machines": machines, "NextToken": ""})

            def do_POST(self) -> None:
                """Refuse an order."""
                size = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(size) or b"{}")
                machine = body.get("Machine")
                record("upkeep order", machine=machine)
                if machine in known:
                    self._answer(409, {"Reason": "busy"})
                else:
                    self._answer(400, {})

            def _answer(self, status: int, value: object) -> None:
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, format: str, *args: Any) -> None:
                """Write no access log."""

        server = ThreadingHTTPServer((HOST, port), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
