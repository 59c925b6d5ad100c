"""The HTTP front of an agent: announcements of its backend server, and metrics."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace

from bulrushpulley.entities.jobs.executor_calls import Withdrawn
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.executor import ANNOUNCE_STEP, decode_announcement
from bulrushpulley.platform.server_ids import check_server_id
from bulrushpulley.wire.http_message import HttpReply, HttpRequest, json_reply

ANNOUNCE_PATH = re.compile(r"/v1/instances/([^/]+)/heartbeat")
WITHDRAW_PATH = re.compile(r"/v1/instances/([^/]+)/deregister")
METRICS_PATH = "/metrics"
# Bounds the memory for sources of ids that cannot be used; others are not logged.
MAX_LOGGED_SOURCES = 1_000


def metrics_reply(text: Callable[[], str]) -> HttpReply:
    """Return the metrics page."""
    return HttpReply(status=200, body=text().encode(), content_type="text/plain")


class AgentFront:
    """Passes announcements to the job agent; reports and rejects malformed ones.

    Ids that cannot be used are reported once for each source.
    """

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
        self._logged_sources: set[str] = set()

    def handle(self, request: HttpRequest) -> HttpReply:
        """Handle an announcement, a withdrawal or a request for the metrics page."""
        announce_match = ANNOUNCE_PATH.fullmatch(request.path)
        withdraw_match = WITHDRAW_PATH.fullmatch(request.path)
        match = announce_match or withdraw_match
        if match is not None:
            server_id = match.group(1)
            try:
                check_server_id(server_id, ANNOUNCE_STEP)
            except BulrushpulleyError as error:
                return self._reject_id(error.problem, request.peer)
            if announce_match is not None:
                return self._announce(server_id, request.body)
            self._tell(Withdrawn(server_id=server_id))
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

    def _reject_id(self, problem: Problem, peer: str) -> HttpReply:
        source = peer.rpartition(":")[0]
        is_known = source in self._logged_sources
        if not is_known and len(self._logged_sources) < MAX_LOGGED_SOURCES:
            self._logged_sources.add(source)
            self._report(replace(problem, peer=source))
        return json_reply(400, {"Error": str(problem)})
