"""The HTTP client of a backend server.

Every call has a deadline. A connection that could not be established means that
nothing was sent; after any later failure the request may have run. A body that is
shorter than its Content-Length, or that has neither a Content-Length nor chunked
encoding, is an error.
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
    HealthChecked,
    RunOnBackend,
)
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.platform.http_body import read_body

BACKEND_SERVER_CONNECTIONS = 64
MAX_BACKEND_ANSWER_BYTES = 1024 * 1024
HEALTH_TIMEOUT_S = 0.5
RUN_STEP = "backend_server.run"


class BackendServerClient:
    """Calls one backend server over a pool of at most `connections` connections."""

    def __init__(
        self, *, url: str, connections: int = BACKEND_SERVER_CONNECTIONS
    ) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(
            num_pools=2, maxsize=connections, block=True, retries=False
        )

    def run(self, command: RunOnBackend) -> BackendAnswered | BackendFailed:
        """Run one request and return its complete answer or the failure."""
        deadline = time.monotonic() + command.within_s
        try:
            response = self._post(command)
            with response:
                body = read_body(
                    response,
                    deadline=deadline,
                    max_bytes=MAX_BACKEND_ANSWER_BYTES,
                    step=RUN_STEP,
                    peer=self._url,
                )
        except (HTTPError, BulrushpulleyError, OSError) as error:
            return self._failure(command, error)
        return BackendAnswered(
            execution_id=command.execution_id, status=response.status, body=body
        )

    def check(self) -> HealthChecked:
        """Check the health of the backend server."""
        try:
            response = self._pool.request(
                "GET", f"{self._url}/v1/health", timeout=HEALTH_TIMEOUT_S
            )
        except (HTTPError, OSError) as error:
            return HealthChecked(healthy=False, detail=str(error))
        healthy = response.status == 200
        return HealthChecked(healthy=healthy, detail=f"status {response.status}")

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

    def _failure(self, command: RunOnBackend, error: Exception) -> BackendFailed:
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
    """Return whether any part of the request may have been sent before the error."""
    return True


@may_have_sent.register
def _(error: NewConnectionError) -> bool:
    return False


@may_have_sent.register
def _(error: ConnectTimeoutError) -> bool:
    return False
