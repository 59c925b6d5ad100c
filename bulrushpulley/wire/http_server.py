"""The HTTP server for callers and operators, built on cheroot.

A request occupies one thread from its first byte to the last byte of its answer.
The thread pool and its queue are bounded; a connection that exceeds both gets 503
immediately. A request that is not completely read within `REQUEST_READ_TIMEOUT_S` gets
408, even if bytes keep arriving slowly. Bodies larger than `MAX_HTTP_BODY_BYTES`
are refused before they are read.
"""

from __future__ import annotations

import http
import math
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
from cheroot import makefile, wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.wire.http_message import (
    HttpReply,
    HttpRequest,
    error_reply,
    problem_value,
)

MAX_HTTP_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
REQUEST_READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60
EXPIRATION_CHECK_INTERVAL_S = 0.5
MAX_QUEUED_CONNECTIONS_PER_THREAD = 2
MAX_KEEP_ALIVE_CONNECTIONS = 4_096
HTTP_LISTEN_BACKLOG = 512

Handler = Callable[[HttpRequest], HttpReply]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_CODE_BY_STATUS: Mapping[str, Code] = {
    "404": Code.NOT_FOUND,
    "408": Code.DEADLINE,
    "413": Code.TOO_LARGE,
    "414": Code.TOO_LARGE,
    "500": Code.UNAVAILABLE,
    "503": Code.OVERLOADED,
}


class TimedReader(socket.SocketIO):
    """Reads a socket with one deadline for the whole request."""

    deadline = 0.0

    def readinto(self, buffer: Any) -> int | None:
        """Read what has arrived, or fail when the deadline has passed."""
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            # cheroot answers 408 only to an error with exactly this text.
            raise TimeoutError("timed out")
        self._sock.settimeout(remaining_s)  # type: ignore[attr-defined]
        try:
            return super().readinto(buffer)
        finally:
            self._sock.settimeout(REQUEST_READ_TIMEOUT_S)  # type: ignore[attr-defined]


def _timed_file(sock: Any, mode: str, size: int) -> Any:
    file = makefile.MakeFile(sock, mode, size)
    if "r" in mode:
        file._raw = TimedReader(sock, "r")
    return file


class JsonErrorRequest(HTTPRequest):
    """A request whose protocol errors are answered in JSON."""

    def read_request_headers(self) -> bool:
        """Run cheroot's checks, and refuse bodies of unknown or negative length."""
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        if self.chunked_read:
            self.simple_response("411 Length Required", "a Content-Length is required")
            return False
        if int(self.inheaders.get(b"Content-Length", 0)) < 0:
            self.simple_response("400 Bad Request", "negative Content-Length")
            return False
        return True

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer with a JSON error, after which the connection is closed."""
        self.close_connection = True
        problem = Problem(
            code=_CODE_BY_STATUS.get(status[:3], Code.INVALID),
            step="http.read",
            peer=f"{self.conn.remote_addr}:{self.conn.remote_port}",
            detail=msg or status,
        )
        body = msgspec.json.encode(problem_value(problem, Ran.NO))
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            self.server.error_log(f"could not answer {problem.peer}: {status}")


class TimedConnection(HTTPConnection):
    """A connection that sets a read deadline for each request."""

    RequestHandlerClass = JsonErrorRequest

    def communicate(self) -> bool:
        """Read one request and answer it."""
        self.rfile.raw.deadline = time.monotonic() + REQUEST_READ_TIMEOUT_S
        return bool(super().communicate())  # type: ignore[no-untyped-call]


def _connection(server: Any, sock: Any, _: Any) -> TimedConnection:
    return TimedConnection(server, sock, _timed_file)


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    return {
        key[5:].lower().replace("_", "-"): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }


def read_request(environ: Mapping[str, Any]) -> HttpRequest:
    """Read the complete request from a WSGI environment."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
        query=environ.get("QUERY_STRING", ""),
        header_by_name=_headers(environ),
        body=environ["wsgi.input"].read(length) if length else b"",
        peer=f"{environ.get('REMOTE_ADDR')}:{environ.get('REMOTE_PORT')}",
    )


def wsgi_app(
    handler: Handler,
) -> Callable[[Mapping[str, Any], StartResponse], Iterable[bytes]]:
    """Return the WSGI application that calls `handler`."""

    def serve(environ: Mapping[str, Any], start: StartResponse) -> Iterable[bytes]:
        request = read_request(environ)
        try:
            reply = handler(request)
        except Exception as error:
            reply = error_reply(error)
        status = f"{reply.status} {_phrase(reply.status)}"
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.ran is not None:
            headers.append(("X-Ran", reply.ran.value))
        if reply.retry_after_s is not None:
            headers.append(("Retry-After", str(math.ceil(reply.retry_after_s))))
        start(status, headers)
        return [reply.body]

    return serve


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class HttpServer:
    """A cheroot server with its own threads; `start` does not block."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Handler,
        threads: int,
        report: Callable[[Problem], None],
    ) -> None:
        server: Any = wsgi.Server(
            (host, port),
            wsgi_app(handler),
            numthreads=threads,
            max=threads,
            request_queue_size=HTTP_LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            accepted_queue_size=threads * MAX_QUEUED_CONNECTIONS_PER_THREAD,
            accepted_queue_timeout=0,
        )
        server.ConnectionClass = _connection
        server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        server.max_request_body_size = MAX_HTTP_BODY_BYTES
        server.max_request_header_size = MAX_HEADER_BYTES
        server.expiration_interval = EXPIRATION_CHECK_INTERVAL_S
        server.error_log = self._log
        self._server = server
        self._report = report
        self._thread = threading.Thread(target=server.serve, daemon=True)

    @property
    def port(self) -> int:
        """The port it listens on, once started."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Bind, listen and serve on the server's own threads."""
        self._server.prepare()
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """Stop accepting and let requests in flight finish within `timeout_s`."""
        self._server.shutdown_timeout = timeout_s
        self._server.stop()

    def _log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        self._report(
            Problem(code=Code.UNAVAILABLE, step="http.serve", peer="self", detail=msg)
        )
