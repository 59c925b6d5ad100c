"""The HTTP client of a backend server.

Every call has a deadline. A refused connection means that surely nothing was sent;
any later failure means that the request may have run. A body that is shorter than
its Content-Length, or that has no stated end, is never taken for an answer.
"""

from __future__ import annotations

import time
from functools import singledispatch

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from bulrushpulley.entities.execution import (
    BackendAnswered,
    BackendFailed,
    HealthSeen,
    RunOnBackend,
)
from bulrushpulley.errors import BulrushpulleyError, Code, Problem

MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 1024 * 1024
HEALTH_TIMEOUT_S = 0.5
BODILESS = frozenset({204, 304})
READ_BYTES = 64 * 1024
RUN_STEP = "backend_server.run"


class BackendServerClient:
    """Calls one backend server over a pool of at most `MAX_CONNECTIONS`."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(
            num_pools=2, maxsize=MAX_CONNECTIONS, block=True, retries=False
        )

    def run(self, command: RunOnBackend) -> BackendAnswered | BackendFailed:
        """Run one request and return its whole answer or how it failed."""
        deadline = time.monotonic() + command.within_s
        try:
            response = self._post(command)
            with response:
                body = read_whole(response, deadline, self._url)
        except (HTTPError, BulrushpulleyError, OSError) as error:
            return self._failed(command, error)
        return BackendAnswered(
            execution_id=command.execution_id, status=response.status, body=body
        )

    def check(self) -> HealthSeen:
        """Ask the backend server for its health."""
        try:
            response = self._pool.request(
                "GET", f"{self._url}/v1/health", timeout=HEALTH_TIMEOUT_S
            )
        except (HTTPError, OSError) as error:
            return HealthSeen(healthy=False, detail=str(error))
        healthy = response.status == 200
        return HealthSeen(healthy=healthy, detail=f"status {response.status}")

    def close(self) -> None:
        """Close the pool's connections."""
        self._pool.clear()

    def _post(self, command: RunOnBackend) -> urllib3.BaseHTTPResponse:
        headers = {
            "X-Request-Id": command.request_id or command.execution_id,
            "X-Deadline-Ms": str(int(command.within_s * 1000)),
        }
        return self._pool.request(
            "POST",
            f"{self._url}/v1/run",
            body=command.body,
            headers=headers,
            timeout=urllib3.Timeout(total=command.within_s),
            preload_content=False,
        )

    def _failed(self, command: RunOnBackend, error: Exception) -> BackendFailed:
        problem = Problem(
            code=Code.OUTCOME_UNKNOWN if may_have_sent(error) else Code.UNAVAILABLE,
            step=RUN_STEP,
            peer=self._url,
            detail=f"{type(error).__name__}: {error}",
        )
        return BackendFailed(
            execution_id=command.execution_id,
            sent=may_have_sent(error),
            problem=problem,
        )


@singledispatch
def may_have_sent(error: Exception) -> bool:
    """Tell whether a byte of the request may have left before the error."""
    return True


@may_have_sent.register
def _(error: NewConnectionError) -> bool:
    return False


@may_have_sent.register
def _(error: ConnectTimeoutError) -> bool:
    return False


def read_whole(response: urllib3.BaseHTTPResponse, deadline: float, peer: str) -> bytes:
    """Read the body to its end, before `deadline` and within the largest size.

    A body that ends only with its connection may have been cut short.
    """
    if not is_delimited(response):
        raise no_answer(Code.OUTCOME_UNKNOWN, peer, "the body has no stated end")
    parts: list[bytes] = []
    size = 0
    for part in response.stream(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise no_answer(Code.TOO_LARGE, peer, f"over {MAX_ANSWER_BYTES} bytes")
        if time.monotonic() > deadline:
            raise no_answer(Code.DEADLINE, peer, "the body did not end in time")
    return b"".join(parts)


def is_delimited(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether the head of an answer says where its body ends."""
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    counted = "Content-Length" in response.headers
    return chunked or counted or response.status in BODILESS


def no_answer(code: Code, peer: str, detail: str) -> BulrushpulleyError:
    """Return the error for an answer that cannot be taken whole."""
    problem = Problem(code=code, step=RUN_STEP, peer=peer, detail=detail)
    return BulrushpulleyError(problem=problem)
