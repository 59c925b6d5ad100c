"""Parses callers' HTTP requests into `CallReceived` and encodes the answers.

Example::

    POST /v1/call/oven-conductor
    Idempotency-Key: oven-7-42
    X-Deadline-Ms: 1500
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from functools import singledispatch

from bulrushpulley.entities.calls import (
    AnswerCall,
    CallAbandoned,
    CallReceived,
    RefuseCall,
)
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import BulrushpulleyError, Code, Problem, Ran
from bulrushpulley.wire.http_message import (
    STATUS_BY_CODE,
    HttpReply,
    HttpRequest,
    error_reply,
    json_reply,
    problem_value,
    request_error,
)
from bulrushpulley.wire.pending import PendingCall, PendingCalls

STEP = "call.parse"
DEFAULT_CALL_TIMEOUT_S = 5.0
MAX_CALL_TIMEOUT_S = 60.0
# The router answers at the deadline at the latest, and only its refusal can say
# whether the request ran, so the front waits a little longer for it.
CALL_TIMEOUT_MARGIN_S = 0.5
MAX_KEY_CHARACTERS = 200
_SERVICE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
_BOOL_BY_TEXT = {"true": True, "false": False}
# Any other refusal gets 503 if the request did not run, and 504 if it may have run.
_CALLER_ERROR_STATUSES = frozenset({400, 404, 413})


def parse_call(request: HttpRequest, call_id: str, now: float) -> CallReceived:
    """Parse a call; raises `BulrushpulleyError` that names the invalid field."""
    segments = request.path_segments
    if len(segments) != 3 or segments[:2] != ("v1", "call"):
        raise _field_error(request, "path", "no such path", Code.NOT_FOUND)
    if request.method != "POST":
        raise _field_error(request, "method", "must be POST")
    if _SERVICE_NAME_PATTERN.fullmatch(segments[2]) is None:
        raise _field_error(request, "service", "is no name of a service")
    key = _idempotency_key(request)
    return CallReceived(
        call_id=call_id,
        service=segments[2],
        request_id=key,
        repeatable=_repeatable(request, key),
        within_s=_timeout_s(request),
        body=request.body,
        received_at=now,
    )


def _idempotency_key(request: HttpRequest) -> str:
    key = request.header_by_name.get("idempotency-key", "")
    if key and _KEY_PATTERN.fullmatch(key) is None:
        raise _field_error(
            request,
            "Idempotency-Key",
            f"must be 1 to {MAX_KEY_CHARACTERS} visible ASCII characters",
        )
    return key


def _repeatable(request: HttpRequest, key: str) -> bool:
    text = request.header_by_name.get("x-repeatable")
    if text is None:
        return not key
    if text not in _BOOL_BY_TEXT:
        raise _field_error(request, "X-Repeatable", "must be true or false")
    if not _BOOL_BY_TEXT[text] and not key:
        raise _field_error(
            request, "Idempotency-Key", "is required for an unrepeatable request"
        )
    return _BOOL_BY_TEXT[text]


def _timeout_s(request: HttpRequest) -> float:
    text = request.header_by_name.get("x-deadline-ms")
    if text is None:
        return DEFAULT_CALL_TIMEOUT_S
    if not text.isdecimal() or not 0 < int(text) <= MAX_CALL_TIMEOUT_S * 1000:
        limit = int(MAX_CALL_TIMEOUT_S * 1000)
        raise _field_error(request, "X-Deadline-Ms", f"must be from 1 to {limit}")
    return int(text) / 1000


def _field_error(
    request: HttpRequest, field: str, detail: str, code: Code = Code.INVALID
) -> BulrushpulleyError:
    return request_error(
        step=STEP, peer=request.peer, field=field, detail=detail, code=code
    )


@singledispatch
def encode_answer(command: Command) -> HttpReply:
    """Encode the command that answers a call."""
    raise NotImplementedError(f"no reply for {type(command).__name__}")


@encode_answer.register
def _(command: AnswerCall) -> HttpReply:
    return HttpReply(
        status=command.status,
        body=command.body,
        content_type="application/octet-stream",
        ran=Ran.YES,
    )


@encode_answer.register
def _(command: RefuseCall) -> HttpReply:
    status = STATUS_BY_CODE[command.problem.code]
    if status not in _CALLER_ERROR_STATUSES:
        status = 503 if command.ran is Ran.NO else 504
    value = problem_value(command.problem, command.ran)
    return json_reply(status, value, command.ran)


class CallerFront:
    """Passes each call to the router and waits for its answer or its deadline."""

    def __init__(self, *, pending: PendingCalls, tell: Callable[[Event], None]) -> None:
        self._pending = pending
        self._tell = tell

    def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call of a caller."""
        call = self._pending.open()
        try:
            received = parse_call(request, call.call_id, time.monotonic())
        except BulrushpulleyError as error:
            self._pending.abandon(call.call_id)
            return error_reply(error, Ran.NO)
        self._tell(received)
        return encode_answer(self._wait(call, received))

    def _wait(self, call: PendingCall, received: CallReceived) -> Command:
        answer = self._pending.wait(call, received.within_s + CALL_TIMEOUT_MARGIN_S)
        if answer is not None:
            return answer
        self._tell(CallAbandoned(call_id=call.call_id))
        return _deadline_refusal(received)


def _deadline_refusal(received: CallReceived) -> RefuseCall:
    problem = Problem(
        code=Code.DEADLINE,
        step="call.wait",
        peer="router",
        detail=f"no answer within {received.within_s:g} s",
    )
    return RefuseCall(call_id=received.call_id, ran=Ran.UNKNOWN, problem=problem)
