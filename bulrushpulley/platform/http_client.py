"""The HTTP client for the platform's services; every request has a timeout.

Requests are not retried here: only the caller knows which may be sent twice.
"""

from __future__ import annotations

import http
import time
from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
)

from bulrushpulley.errors import Code, Problem
from bulrushpulley.platform.errors import (
    AnswerLostError,
    BusyError,
    NoListenerError,
    RefusedError,
)

NOT_SENT_ERRORS = (ConnectTimeoutError, EmptyPoolError, LocationValueError)


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpAnswer:
    """A complete answer.

    It began `waited_s` after the request and was complete `transferred_s` later.
    """

    status: int
    body: bytes
    waited_s: float = 0.0
    transferred_s: float = 0.0


class HttpClient:
    """Sends requests to one base URL over pooled connections; it is thread-safe."""

    def __init__(self, *, url: str, connections: int, service: str) -> None:
        self._peer = url
        self._service = service
        self._prefix = (urllib3.util.parse_url(url).path or "").rstrip("/")
        self._pool = urllib3.connectionpool.connection_from_url(
            url, maxsize=connections, retries=False
        )

    def exchange(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send one request and return its complete answer.

        Raises `RefusedError` if the request certainly had no effect and
        `AnswerLostError` if that is unknown. `timeout_s` limits the time to connect
        plus a single wait for data of the answer, not the sum of all waits.
        """
        step = f"{self._service}.{method.lower()}"
        sent_at = time.monotonic()
        try:
            response = self._pool.urlopen(
                method,
                self._prefix + path,
                body=body,
                headers=dict(headers or {}),
                timeout=urllib3.Timeout(total=timeout_s),
                redirect=False,
                retries=False,
                preload_content=False,
            )
            answered_at = time.monotonic()
            # Returns the connection to the pool once the body is complete.
            body_bytes = response.data
        except NewConnectionError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                problem = self._unavailable(step, str(error))
                raise NoListenerError(problem=problem) from error
            raise RefusedError(problem=self._unavailable(step, str(error))) from error
        except NOT_SENT_ERRORS as error:
            raise RefusedError(problem=self._unavailable(step, str(error))) from error
        except (HTTPError, ValueError) as error:
            # http.client raises ValueError for a header that cannot be sent.
            raise AnswerLostError(
                problem=self._outcome_unknown(step, str(error))
            ) from error
        self._check_status(step, response.status)
        return HttpAnswer(
            status=response.status,
            body=body_bytes,
            waited_s=answered_at - sent_at,
            transferred_s=time.monotonic() - answered_at,
        )

    def _check_status(self, step: str, status: int) -> None:
        """Raise the error for a status that says that the service did not answer."""
        detail = f"status {status}"
        if status == http.HTTPStatus.TOO_MANY_REQUESTS:
            raise BusyError(problem=self._unavailable(step, detail))
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            raise RefusedError(problem=self._unavailable(step, detail))
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            raise AnswerLostError(problem=self._outcome_unknown(step, detail))

    def invalid_answer(self, step: str, detail: str) -> Problem:
        """Return the problem for a malformed answer or an unexpected status."""
        return Problem(code=Code.INVALID, step=step, peer=self._peer, detail=detail)

    def _unavailable(self, step: str, detail: str) -> Problem:
        return Problem(code=Code.UNAVAILABLE, step=step, peer=self._peer, detail=detail)

    def _outcome_unknown(self, step: str, detail: str) -> Problem:
        return Problem(
            code=Code.OUTCOME_UNKNOWN, step=step, peer=self._peer, detail=detail
        )
