"""The client of the platform's object store."""

from __future__ import annotations

import http
from urllib.parse import quote

from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.http_client import Exchange, HttpClient

CONNECTIONS = 4


class ObjectStoreClient:
    """Puts, gets and deletes objects by key; each call blocks up to its timeout.

    Errors are those of `HttpClient.exchange`. Every call is idempotent.
    """

    def __init__(self, *, url: str) -> None:
        self._http = HttpClient(url=url, connections=CONNECTIONS, service="objects")

    def put(self, key: str, data: bytes, *, timeout_s: float) -> None:
        """Store `data` under `key`, replacing what was there."""
        self._checked("PUT", key, timeout_s=timeout_s, body=data)

    def get(self, key: str, *, timeout_s: float) -> bytes | None:
        """Return the object under `key`, or None if there is none."""
        found = self._checked("GET", key, timeout_s=timeout_s)
        return None if found.status == http.HTTPStatus.NOT_FOUND else found.body

    def delete(self, key: str, *, timeout_s: float) -> None:
        """Delete the object under `key`; an absent one is no error."""
        self._checked("DELETE", key, timeout_s=timeout_s)

    def _checked(
        self, method: str, key: str, *, timeout_s: float, body: bytes | None = None
    ) -> Exchange:
        path = f"/v1/objects/{quote(key)}"
        found = self._http.exchange(method, path, timeout_s=timeout_s, body=body)
        if found.status >= http.HTTPStatus.BAD_REQUEST and (
            found.status != http.HTTPStatus.NOT_FOUND
        ):
            problem = self._http.invalid("objects.answer", f"status {found.status}")
            raise BulrushpulleyError(problem=problem)
        return found
