"""The HTTP front of an agent: announcements of its backend server, and metrics."""

from __future__ import annotations

import re
from collections.abc import Callable

from bulrushpulley.entities.jobs.executor_calls import Withdrawn
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.executor import decode_announcement
from bulrushpulley.wire.http_message import HttpReply, HttpRequest, json_reply

ANNOUNCE_PATH = re.compile(r"/v1/instances/([^/]+)/heartbeat")
WITHDRAW_PATH = re.compile(r"/v1/instances/([^/]+)/deregister")
METRICS_PATH = "/metrics"


def metrics_reply(text: Callable[[], str]) -> HttpReply:
    """Return the metrics page."""
    return HttpReply(status=200, body=text().encode(), content_type="text/plain")


class AgentFront:
    """Passes announcements to the job agent; reports and rejects malformed ones."""

    def __init__(
        self,
        *,
        tell: Callable[[Event], None],
        report: Callable[[Problem], None],
        metrics_text: Callable[[], str],
    ) -> None:
        self._tell = tell
        self._report = report
        self._metrics_text = metrics_text

    def handle(self, request: HttpRequest) -> HttpReply:
        """Handle an announcement, a withdrawal or a request for the metrics page."""
        announce_match = ANNOUNCE_PATH.fullmatch(request.path)
        if announce_match is not None:
            return self._announce(announce_match.group(1), request.body)
        withdraw_match = WITHDRAW_PATH.fullmatch(request.path)
        if withdraw_match is not None:
            self._tell(Withdrawn(server_id=withdraw_match.group(1)))
            return json_reply(200, {})
        if request.path == METRICS_PATH:
            return metrics_reply(self._metrics_text)
        return json_reply(404, {"Error": "no such path"})

    def _announce(self, server_id: str, body: bytes) -> HttpReply:
        try:
            self._tell(decode_announcement(server_id, body))
        except BulrushpulleyError as error:
            self._report(error.problem)
            return json_reply(400, {"Error": str(error.problem)})
        return json_reply(200, {})
