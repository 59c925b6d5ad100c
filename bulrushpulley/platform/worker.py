"""The HTTP client of workers.

Every call has a timeout, and none is sent after its `not_after`, which is checked
on an open connection right before the request is written. A start is written at
most once: it is never retried, and after any failure past that check its outcome
is unknown.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from bulrushpulley.entities.owner_times import WORKER_CALL_TIMEOUT_S
from bulrushpulley.entities.worker_calls import (
    Renewal,
    ReportUnanswered,
    RequestReport,
    RunReport,
    RunUsage,
    Started,
    StartNotSent,
    StartOutcome,
    StartTask,
    StartUnknown,
    StopAnswered,
    StopTask,
    StopUnanswered,
    ThrottleAnswered,
    ThrottleTask,
    ThrottleUnanswered,
    WorkerCommand,
    WorkerEvent,
    WorkerReported,
)
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.platform.http_body import read_body
from bulrushpulley.wire.decoding import DECODING_ERRORS

MAX_REPORT_BYTES = 4 * 1024 * 1024
STEP = "worker.call"
# A connection without a pool does not convert the errors of http.client.
CALL_ERRORS = (HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclass(frozen=True, kw_only=True, slots=True)
class StartForm:
    """The body of a request to start a task."""

    task_id: str
    generation: int
    processors_m: int
    memory_mb: int
    accelerators: int
    lease_s: float
    run_s: float
    checkpoint: str
    task_class: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StopForm:
    """The body of a request to stop a task."""

    task_id: str
    generation: int
    checkpoint: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleForm:
    """The body of a request to throttle a task."""

    task_id: str
    generation: int
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportForm:
    """The body of a request for a report."""

    renew: tuple[Renewal, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportAnswer:
    """The body of a report."""

    tasks: tuple[RunReport, ...]
    usage: tuple[RunUsage, ...] = ()


_decode_report = msgspec.json.Decoder(ReportAnswer).decode


class WorkerClient:
    """Calls workers, with a new connection for each call.

    A start that is written to a reused connection which the worker has just closed
    would have an unknown outcome; new connections avoid this.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock

    def start(self, command: StartTask) -> StartOutcome:
        """Start a task unless the deadline of the command has passed."""
        form = StartForm(
            task_id=command.task_id,
            generation=command.generation,
            processors_m=command.size.processors_m,
            memory_mb=command.size.memory_mb,
            accelerators=command.size.accelerators,
            lease_s=command.lease_s,
            run_s=command.run_s,
            checkpoint=command.checkpoint,
            task_class=command.task_class.value,
        )
        try:
            self._post(command, "/v1/tasks", form)
        except BulrushpulleyError as error:
            return _start_failed(command, error.problem)
        return Started(
            worker_id=command.worker_id,
            task_key=command.task_key,
            generation=command.generation,
        )

    def stop(self, command: StopTask) -> WorkerEvent:
        """Stop a task."""
        form = StopForm(
            task_id=command.task_id,
            generation=command.generation,
            checkpoint=command.checkpoint,
        )
        try:
            self._post(command, "/v1/tasks/stop", form)
        except BulrushpulleyError as error:
            return StopUnanswered(worker_id=command.worker_id, problem=error.problem)
        return StopAnswered(worker_id=command.worker_id)

    def throttle(self, command: ThrottleTask) -> WorkerEvent:
        """Limit a task to a share of its full speed."""
        form = ThrottleForm(
            task_id=command.task_id,
            generation=command.generation,
            share=command.share,
        )
        try:
            self._post(command, "/v1/tasks/throttle", form)
        except BulrushpulleyError as error:
            return ThrottleUnanswered(
                worker_id=command.worker_id, problem=error.problem
            )
        return ThrottleAnswered(
            worker_id=command.worker_id,
            task_key=command.task_key,
            generation=command.generation,
            share=command.share,
        )

    def report(self, command: RequestReport) -> WorkerEvent:
        """Renew leases and read the report on all runs."""
        form = ReportForm(renew=command.renewals)
        try:
            answer = _decode_report_answer(
                command, self._post(command, "/v1/report", form)
            )
        except BulrushpulleyError as error:
            return ReportUnanswered(
                worker_id=command.worker_id,
                requested_at=command.requested_at,
                problem=error.problem,
            )
        return WorkerReported(
            worker_id=command.worker_id,
            requested_at=command.requested_at,
            runs=answer.tasks,
            usages=answer.usage,
        )

    def _post(self, command: WorkerCommand, path: str, form: object) -> bytes:
        connection = _connection(command)
        try:
            self._connect(connection, command)
            prefix = urlsplit(command.url).path
            return _exchange(connection, command, f"{prefix}{path}", form)
        finally:
            connection.close()

    def _connect(self, connection: HTTPConnection, command: WorkerCommand) -> None:
        try:
            connection.connect()
        except CALL_ERRORS as error:
            raise _not_sent_error(
                command, Code.UNAVAILABLE, _describe_error(error)
            ) from error
        if self._clock() > command.not_after:
            detail = "its deadline passed before it could be sent"
            raise _not_sent_error(command, Code.DEADLINE, detail)


def _connection(command: WorkerCommand) -> HTTPConnection:
    try:
        url = urlsplit(command.url)
        port = url.port or http.client.HTTP_PORT
        return HTTPConnection(url.hostname or "", port, timeout=WORKER_CALL_TIMEOUT_S)
    except CALL_ERRORS as error:
        raise _not_sent_error(command, Code.INVALID, _describe_error(error)) from error


def _describe_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _exchange(
    connection: HTTPConnection, command: WorkerCommand, path: str, form: object
) -> bytes:
    headers = {"Content-Type": "application/json"}
    try:
        connection.request(
            "POST",
            path,
            body=msgspec.json.encode(form),
            headers=headers,
            preload_content=False,
        )
        response = connection.getresponse()
        body = read_body(
            response,
            deadline=time.monotonic() + WORKER_CALL_TIMEOUT_S,
            max_bytes=MAX_REPORT_BYTES,
            step=STEP,
            peer=command.worker_id,
        )
    except (*CALL_ERRORS, BulrushpulleyError) as error:
        raise _unknown_outcome_error(command, _describe_error(error)) from error
    if response.status != 200:
        raise _unknown_outcome_error(command, f"status {response.status}")
    return body


def _decode_report_answer(command: RequestReport, body: bytes) -> ReportAnswer:
    try:
        return _decode_report(body)
    except DECODING_ERRORS as error:
        raise _unknown_outcome_error(command, str(error)) from error


def _start_failed(command: StartTask, problem: Problem) -> StartOutcome:
    may_have_arrived = problem.code is Code.OUTCOME_UNKNOWN
    outcome_class = StartUnknown if may_have_arrived else StartNotSent
    return outcome_class(
        worker_id=command.worker_id,
        task_key=command.task_key,
        generation=command.generation,
        problem=problem,
    )


def _not_sent_error(
    command: WorkerCommand, code: Code, detail: str
) -> BulrushpulleyError:
    return _error(command, code, detail)


def _unknown_outcome_error(command: WorkerCommand, detail: str) -> BulrushpulleyError:
    return _error(command, Code.OUTCOME_UNKNOWN, detail)


def _error(command: WorkerCommand, code: Code, detail: str) -> BulrushpulleyError:
    problem = Problem(code=code, step=STEP, peer=command.worker_id, detail=detail)
    return BulrushpulleyError(problem=problem)
