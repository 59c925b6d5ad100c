"""HTTP handlers of operators' calls, the health check and the metrics page."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qsl

from bulrushpulley.entities.operations import Reject
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Code, Problem
from bulrushpulley.wire import operator_http
from bulrushpulley.wire.http_message import HttpReply, HttpRequest, request_error
from bulrushpulley.wire.pending import PendingCall, PendingCalls

OPERATOR_ANSWER_TIMEOUT_S = 15.0
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
        """Answer a health check or a metrics request; other paths are not found."""
        if request.path == HEALTH_PATH:
            return self._health()
        if request.path == METRICS_PATH:
            body = self._metrics_text().encode()
            return HttpReply(status=200, body=body, content_type="text/plain")
        raise request_error(
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


class OperatorFront:
    """Passes operators' calls to the controller; `HealthFront` answers the rest."""

    def __init__(
        self,
        *,
        health: HealthFront,
        pending: PendingCalls,
        tell: Callable[[Event], None],
    ) -> None:
        self._health = health
        self._pending = pending
        self._tell = tell

    def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request of an operator."""
        if request.path in (HEALTH_PATH, METRICS_PATH):
            return self._health.handle(request)
        call = self._pending.open()
        try:
            parsed = operator_http.parse(
                request.method,
                request.path,
                dict(parse_qsl(request.query, keep_blank_values=True)),
                request.header_by_name,
                request.body,
                call.call_id,
            )
        except Exception as error:
            self._pending.abandon(call.call_id)
            return _reply(
                operator_http.render_problems(operator_http.problems_of(error))
            )
        self._tell(parsed)
        return _reply(operator_http.render(self._wait(call)))

    def _wait(self, call: PendingCall) -> Command:
        answer = self._pending.wait(call, OPERATOR_ANSWER_TIMEOUT_S)
        if answer is not None:
            return answer
        problem = Problem(
            code=Code.OUTCOME_UNKNOWN,
            step="operators.wait",
            peer="controller",
            detail=f"no answer within {OPERATOR_ANSWER_TIMEOUT_S:g} s",
        )
        return Reject(call_id=call.call_id, problem=problem)


def _reply(answer: operator_http.HttpAnswer) -> HttpReply:
    return HttpReply(status=answer.status, body=answer.body)
