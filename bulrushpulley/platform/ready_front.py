"""The HTTP front of an entry for readiness, metrics and explanations of jobs."""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import singledispatch

from bulrushpulley.entities.jobs.explanation import (
    ExplainJob,
    JobExplained,
    JobNotKnown,
    RedirectToOwner,
)
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Code, Problem
from bulrushpulley.platform.agent_front import METRICS_PATH, metrics_reply
from bulrushpulley.wire.http_message import (
    STATUS_BY_CODE,
    HttpReply,
    HttpRequest,
    json_reply,
    problem_value,
)
from bulrushpulley.wire.pending import PendingCalls

READY_PATH = "/v1/readyz"
EXPLAIN_PATH = re.compile(r"/v1/explain/([0-9a-fA-F]{16})")
STEP = "job.explain"
EXPLAIN_TIMEOUT_S = 2.0


@singledispatch
def encode_explanation(answer: Command) -> HttpReply:
    """Encode an answer about a job as an HTTP reply."""
    raise NotImplementedError(f"no reply for {type(answer).__name__}")


@encode_explanation.register
def _(answer: JobExplained) -> HttpReply:
    return json_reply(200, answer)


@encode_explanation.register
def _(answer: JobNotKnown) -> HttpReply:
    detail = f"the owner of the shard knows no job {answer.job_id}"
    return _problem_reply(Code.NOT_FOUND, "self", detail)


@encode_explanation.register
def _(answer: RedirectToOwner) -> HttpReply:
    owner = answer.owner or "nobody"
    detail = f"this entry does not own the shard; {owner} does"
    return _problem_reply(Code.UNAVAILABLE, owner, detail)


def _problem_reply(code: Code, peer: str, detail: str) -> HttpReply:
    problem = Problem(code=code, step=STEP, peer=peer, detail=detail)
    value = {"problems": [problem_value(problem)]}
    return json_reply(STATUS_BY_CODE[code], value)


class ReadyFront:
    """Answers whether new callers should use this entry, and explains jobs' states."""

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        metrics_text: Callable[[], str],
        pending: PendingCalls,
        tell: Callable[[Event], None],
    ) -> None:
        self._is_ready = is_ready
        self._metrics_text = metrics_text
        self._pending = pending
        self._tell = tell

    def handle(self, request: HttpRequest) -> HttpReply:
        """Handle a readiness check, or a request for metrics or an explanation."""
        if request.path == READY_PATH:
            return json_reply(200 if self._is_ready() else 503, {})
        if request.path == METRICS_PATH:
            return metrics_reply(self._metrics_text)
        explain_match = EXPLAIN_PATH.fullmatch(request.path)
        if explain_match is not None:
            return self._explain(explain_match.group(1))
        return json_reply(404, {"Error": "no such path"})

    def _explain(self, job_id: str) -> HttpReply:
        pending = self._pending.open()
        self._tell(ExplainJob(call_id=pending.call_id, job_id=job_id))
        answer = self._pending.wait(pending, EXPLAIN_TIMEOUT_S)
        if answer is not None:
            return encode_explanation(answer)
        detail = f"the scheduler did not answer within {EXPLAIN_TIMEOUT_S} s"
        return _problem_reply(Code.UNAVAILABLE, "self", detail)
