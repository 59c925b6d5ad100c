"""The HTTP front for callers' job calls: decodes requests and encodes answers."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping
from functools import singledispatch

from bulrushpulley.entities.jobs.calls import (
    BacklogShown,
    BadCall,
    CallDropped,
    CancelCall,
    JobAccepted,
    JobCall,
    JobCancelled,
    JobShown,
    NoSuchJob,
    NoSuchQueue,
    OutcomeUnknown,
    ShowCall,
    SubmitCall,
    TryLater,
)
from bulrushpulley.entities.jobs.spec import MAX_SPEC_BYTES, JobSpec
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import BulrushpulleyError, Ran
from bulrushpulley.platform.fields import field_error
from bulrushpulley.platform.job_bodies import STEP, decode_job
from bulrushpulley.wire.http_message import (
    HttpReply,
    HttpRequest,
    json_reply,
    problem_value,
)
from bulrushpulley.wire.job_rows import spec_bytes
from bulrushpulley.wire.pending import PendingCall, PendingCalls

# The timeout of calls without a valid Deadline-Ms header, and the longest timeout.
DEFAULT_JOB_CALL_TIMEOUT_S = 3.0
MAX_JOB_CALL_TIMEOUT_S = 30.0
# The intake answers before the caller's deadline. If it is late, the front replies
# itself, this long before the deadline.
JOB_CALL_TIMEOUT_MARGIN_S = 0.05


def decode_call(request: HttpRequest, call_id: str, now_s: float) -> JobCall | None:
    """Decode a request received at `now_s`, in seconds since 1970.

    Returns None unless the method is GET, DELETE or POST. An invalid job becomes a
    call with its problem.
    """
    common_fields = {
        "call_id": call_id,
        "authority": request.header_by_name.get("host", ""),
        "path": request.path,
        "within_s": _timeout_s(request.header_by_name),
        "received_at_s": now_s,
    }
    if request.method == "GET":
        return ShowCall(**common_fields)  # type: ignore[arg-type]
    if request.method == "DELETE":
        return CancelCall(**common_fields)  # type: ignore[arg-type]
    if request.method != "POST":
        return None
    try:
        spec = decode_job(request.body)
        stored_bytes = _checked_spec_bytes(spec)
    except BulrushpulleyError as error:
        return SubmitCall(**common_fields, spec=None, problem=error.problem)  # type: ignore[arg-type]
    return SubmitCall(**common_fields, spec=spec, spec_bytes=stored_bytes)  # type: ignore[arg-type]


def _checked_spec_bytes(spec: JobSpec) -> int:
    """Return how much a spec takes in the store.

    Raises `BulrushpulleyError` if a row of the store cannot hold it.
    """
    stored_bytes = spec_bytes(spec)
    if stored_bytes > MAX_SPEC_BYTES:
        detail = f"take {stored_bytes} bytes to store, {MAX_SPEC_BYTES} at most"
        raise field_error(STEP, "Steps", detail)
    return stored_bytes


def _timeout_s(header_by_name: Mapping[str, str]) -> float:
    try:
        timeout_s = float(header_by_name.get("deadline-ms", "")) / 1_000
    except ValueError:
        return DEFAULT_JOB_CALL_TIMEOUT_S
    if math.isnan(timeout_s):
        return DEFAULT_JOB_CALL_TIMEOUT_S
    return min(max(timeout_s, 0.0), MAX_JOB_CALL_TIMEOUT_S)


@singledispatch
def encode_answer(answer: Command) -> HttpReply:
    """Encode an answer as an HTTP reply."""
    raise NotImplementedError(f"no reply for {type(answer).__name__}")


@encode_answer.register(JobAccepted)
@encode_answer.register(JobCancelled)
def _(answer: Command) -> HttpReply:
    return json_reply(200, {})


@encode_answer.register
def _(answer: JobShown) -> HttpReply:
    return json_reply(200, {"State": answer.state.value})


@encode_answer.register
def _(answer: BacklogShown) -> HttpReply:
    return json_reply(200, {"PendingJobs": answer.waiting})


@encode_answer.register
def _(answer: NoSuchQueue) -> HttpReply:
    return json_reply(404, {"Error": "no such queue"})


@encode_answer.register
def _(answer: NoSuchJob) -> HttpReply:
    return json_reply(410, {"Error": "no such job"})


@encode_answer.register
def _(answer: BadCall) -> HttpReply:
    return json_reply(400, problem_value(answer.problem))


@encode_answer.register
def _(answer: TryLater) -> HttpReply:
    reply = json_reply(503, {"Error": answer.reason}, Ran.NO)
    return HttpReply(
        status=reply.status,
        body=reply.body,
        ran=reply.ran,
        retry_after_s=answer.retry_after_s,
    )


@encode_answer.register
def _(answer: OutcomeUnknown) -> HttpReply:
    return json_reply(504, {"Error": answer.reason}, Ran.UNKNOWN)


class JobFront:
    """Passes callers' calls to the intake and waits for its answers."""

    def __init__(self, *, pending: PendingCalls, tell: Callable[[Event], None]) -> None:
        self._pending = pending
        self._tell = tell

    def handle(self, request: HttpRequest) -> HttpReply:
        """Handle one request and return the reply."""
        pending = self._pending.open()
        call = decode_call(request, pending.call_id, time.time())
        if call is None:
            self._pending.abandon(pending.call_id)
            return json_reply(405, {"Error": "no such method"})
        self._tell(call)
        return encode_answer(self._wait_for_answer(pending, call))

    def _wait_for_answer(self, pending: PendingCall, call: JobCall) -> Command:
        timeout_s = max(0.05, call.within_s - JOB_CALL_TIMEOUT_MARGIN_S)
        answer = self._pending.wait(pending, timeout_s)
        if answer is not None:
            return answer
        self._tell(CallDropped(call_id=pending.call_id))
        return OutcomeUnknown(call_id=pending.call_id, reason="no answer in time")
