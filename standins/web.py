"""Shared code of the HTTP stand-ins: requests, responses and the cheroot server."""

from __future__ import annotations

import errno
import http
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from cheroot import wsgi

HOST = "127.0.0.1"
SERVER_THREADS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request with its complete body, its query and its headers by name.

    Header names have the form used by WSGI, such as ``HTTP_X_REQUEST_ID``.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    header_by_name: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A response; if `lost`, the connection is closed instead of sending it."""

    status: http.HTTPStatus
    body: bytes = b""
    lost: bool = False


Handler = Callable[[Request], Response]


def as_json(status: http.HTTPStatus, body: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status=status, body=msgspec.json.encode(body))


def refusal(status: http.HTTPStatus, detail: str) -> Response:
    """Return an error response with the reason in `detail`."""
    return as_json(status, {"detail": detail})


def wait_until(at: float, now: float) -> None:
    """Block the handling thread until `at` on the clock that `now` was read from."""
    if at > now:
        threading.Event().wait(at - now)


def _parse_request(environ: dict[str, Any]) -> Request:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        body=environ["wsgi.input"].read(length),
        header_by_name={
            name: value for name, value in environ.items() if name.startswith("HTTP_")
        },
    )


def _answer(handle: Handler, request: Request) -> Response:
    try:
        return handle(request)
    except (msgspec.MsgspecError, ValueError) as error:
        return refusal(http.HTTPStatus.BAD_REQUEST, str(error))


def make_server(*, handle: Handler, port: int) -> wsgi.Server:
    """Return a server bound to `port` (0: any) that is ready to serve."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = _answer(handle, _parse_request(environ))
        if response.lost:
            # On this error cheroot closes the connection without sending a response.
            raise ConnectionResetError(errno.ECONNRESET, "answer lost")
        status = f"{response.status.value} {response.status.phrase}"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(status, headers)
        return [response.body]

    server = wsgi.Server((HOST, port), application, numthreads=SERVER_THREADS)
    server.prepare()
    return server


def serve(server: wsgi.Server) -> None:
    """Serve until interrupted."""
    try:
        server.serve()
    except KeyboardInterrupt:
        server.stop()
