"""Operators' calls, the health check and the metrics page in HTTP."""

from __future__ import annotations

from collections.abc import Callable

from bulrushpulley.errors import Code
from bulrushpulley.wire.http_message import HttpReply, HttpRequest, invalid

METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"


class HealthFront:
    """Answers health checks and the metrics page of any process."""

    def __init__(
        self, *, is_leaving: Callable[[], bool], metrics_text: Callable[[], str]
    ) -> None:
        self._is_leaving = is_leaving
        self._metrics_text = metrics_text

    def handle(self, request: HttpRequest) -> HttpReply:
        """Answer a request of this front; any other path is not found."""
        if request.path == HEALTH_PATH:
            return self._health()
        if request.path == METRICS_PATH:
            body = self._metrics_text().encode()
            return HttpReply(status=200, body=body, content_type="text/plain")
        raise invalid(
            step="health.parse",
            peer=request.peer,
            field="path",
            detail="no such path",
            code=Code.NOT_FOUND,
        )

    def _health(self) -> HttpReply:
        if self._is_leaving():
            return HttpReply(status=503, body=b'{"state":"leaving"}')
        return HttpReply(status=200, body=b'{"state":"serving"}')
