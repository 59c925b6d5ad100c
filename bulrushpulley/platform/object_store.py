"""The client of the platform's object store."""

from __future__ import annotations

import http
from urllib.parse import quote

from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.http_client import HttpAnswer, HttpClient

OBJECT_STORE_CONNECTIONS = 4


class ObjectStoreClient:
    """Puts, gets and deletes objects by key; each call blocks up to its timeout.

    Every call is idempotent. Besides the errors of `HttpClient.exchange`, an
    unexpected status raises `BulrushpulleyError`.
    """

    def __init__(self, *, url: str) -> None:
        self._http = HttpClient(
            url=url, connections=OBJECT_STORE_CONNECTIONS, service="objects"
        )

    def put(self, key: str, data: bytes, *, timeout_s: float) -> None:
        """Store `data` under `key`, replacing any existing object."""
        self._request("PUT", key, timeout_s=timeout_s, body=data)

    def get(self, key: str, *, timeout_s: float) -> bytes | None:
        """Return the object under `key`, or None if there is none."""
        answer = self._request("GET", key, timeout_s=timeout_s)
        return None if answer.status == http.HTTPStatus.NOT_FOUND else answer.body

    def delete(self, key: str, *, timeout_s: float) -> None:
        """Delete the object under `key`; it is no error if there is none."""
        self._request("DELETE", key, timeout_s=timeout_s)

    def _request(
        self, method: str, key: str, *, timeout_s: float, body: bytes | None = None
    ) -> HttpAnswer:
        path = f"/v1/objects/{quote(key)}"
        answer = self._http.exchange(method, path, timeout_s=timeout_s, body=body)
        if answer.status >= http.HTTPStatus.BAD_REQUEST and (
            answer.status != http.HTTPStatus.NOT_FOUND
        ):
            problem = self._http.invalid_answer(
                "objects.answer", f"status {answer.status}"
            )
            raise BulrushpulleyError(problem=problem)
        return answer
