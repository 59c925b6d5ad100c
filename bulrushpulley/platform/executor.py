"""The client of the backend server on an agent's host; decodes its announcements."""

from __future__ import annotations

import http
from functools import singledispatchmethod
from typing import Any

import msgspec

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    ExecutorCommand,
    ExecutorEvent,
    OtherIncarnation,
    PaceAnswered,
    PaceFailed,
    PaceRun,
    PollFailed,
    PollRuns,
    RunsListed,
    RunStarted,
    StartDenied,
    StartRun,
    StartUnanswered,
    StartUnhealthy,
    StopAnswered,
    StopRun,
    StopUnanswered,
)
from bulrushpulley.entities.jobs.runs import RunEnd, RunRef, RunStatus
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.errors import NoListenerError, RefusedError
from bulrushpulley.platform.fields import (
    Fields,
    check_object,
    decode_object,
    field_error,
    integer,
    items,
    number,
    text,
)
from bulrushpulley.platform.http_client import HttpAnswer, HttpClient
from bulrushpulley.platform.job_bodies import decode_resources

STEP = "executor.decode"
# A constant token is enough: only the agent on the same host calls a backend server,
# and the run numbers make orders that arrive late harmless.
FENCING_TOKEN = 1
EXECUTOR_CONNECTIONS = 10
DRAINING = "draining"
READY = "ready"


class ExecutorClient:
    """Calls one backend server; each call blocks up to its timeout."""

    def __init__(self) -> None:
        self._client_by_address: dict[str, HttpClient] = {}

    @singledispatchmethod
    def call(self, command: ExecutorCommand) -> ExecutorEvent:
        """Make a call and return its answer as an event."""
        raise NotImplementedError(type(command).__name__)

    @call.register
    def _(self, command: PollRuns) -> ExecutorEvent:
        body: dict[str, Any] = {
            "FencingToken": FENCING_TOKEN,
            "LastSeen": command.noted,
            "WaitMs": command.wait_ms,
        }
        if command.lease_until_ms is not None:
            body["DeadlineMs"] = command.lease_until_ms
        try:
            answer = self._post(command, "/v1/hold", body)
            if answer.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                return OtherIncarnation(server_id=command.server_id)
            if answer.status != http.HTTPStatus.OK:
                reason = f"status {answer.status}: {answer.body[:200]!r}"
                return PollFailed(server_id=command.server_id, reason=reason)
            return _decode_runs(command, decode_object(answer.body, STEP))
        except NoListenerError as error:
            return PollFailed(
                server_id=command.server_id, reason=str(error), connection_refused=True
            )
        except BulrushpulleyError as error:
            return PollFailed(server_id=command.server_id, reason=str(error))

    @call.register
    def _(self, command: StartRun) -> ExecutorEvent:
        order = command.order
        run = RunRef(task_id=order.task_id, run=order.run)
        body: dict[str, Any] = {
            "Task": order.task_id,
            "RunId": order.run,
            "Spec": order.payload,
            "DeadlineMs": command.lease_until_ms,
            "FencingToken": FENCING_TOKEN,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        try:
            answer = self._post(command, "/v1/run-start", body)
        except RefusedError as error:
            return StartUnhealthy(
                server_id=command.server_id, run=run, reason=str(error)
            )
        except BulrushpulleyError as error:
            return StartUnanswered(
                server_id=command.server_id, run=run, reason=str(error)
            )
        return _start_outcome(command, run, answer)

    @call.register
    def _(self, command: StopRun) -> ExecutorEvent:
        body = {
            "Task": command.run.task_id,
            "RunId": command.run.run,
            "FencingToken": FENCING_TOKEN,
        }
        try:
            answer = self._post(command, "/v1/run-stop", body)
        except BulrushpulleyError as error:
            return StopUnanswered(
                server_id=command.server_id, run=command.run, reason=str(error)
            )
        if answer.status != http.HTTPStatus.OK:
            reason = f"status {answer.status}: {answer.body[:200]!r}"
            return StopUnanswered(
                server_id=command.server_id, run=command.run, reason=reason
            )
        return StopAnswered(server_id=command.server_id, run=command.run)

    @call.register
    def _(self, command: PaceRun) -> ExecutorEvent:
        body = {
            "Task": command.run.task_id,
            "RunId": command.run.run,
            "Percent": command.percent,
            "FencingToken": FENCING_TOKEN,
        }
        try:
            answer = self._post(command, "/v1/pace", body)
        except BulrushpulleyError as error:
            return PaceFailed(
                server_id=command.server_id, run=command.run, reason=str(error)
            )
        if answer.status != http.HTTPStatus.OK:
            reason = f"status {answer.status}: {answer.body[:200]!r}"
            return PaceFailed(
                server_id=command.server_id, run=command.run, reason=reason
            )
        return PaceAnswered(server_id=command.server_id, run=command.run)

    def _post(
        self, command: ExecutorCommand, path: str, body: dict[str, Any]
    ) -> HttpAnswer:
        client = self._client_by_address.get(command.address)
        if client is None:
            client = HttpClient(
                url=f"http://{command.address}",
                connections=EXECUTOR_CONNECTIONS,
                service="executor",
            )
            # The server on the host has one address; older clients are not needed.
            self._client_by_address = {command.address: client}
        return client.exchange(
            "POST",
            path,
            timeout_s=command.timeout_s,
            body=msgspec.json.encode(body),
            headers={
                "Content-Type": "application/json",
                "Expected-Instance": command.server_id,
            },
        )


def _start_outcome(command: StartRun, run: RunRef, answer: HttpAnswer) -> ExecutorEvent:
    if answer.status == http.HTTPStatus.OK:
        return RunStarted(server_id=command.server_id, run=run)
    reason = f"status {answer.status}"
    if answer.status == http.HTTPStatus.CONFLICT:
        # `Reason` is one of fence, old, late, room and ticket. After "old" the run
        # can never start.
        reason = text(decode_object(answer.body, STEP), "Reason", STEP)
    return StartDenied(
        server_id=command.server_id, run=run, reason=reason, final=reason == "old"
    )


def _decode_runs(command: PollRuns, raw: Fields) -> RunsListed:
    return RunsListed(
        server_id=command.server_id,
        started_at_ms=integer(raw, "born", STEP),
        clock_ms=integer(raw, "ClockMs", STEP),
        runs=tuple(_decode_status(row) for row in items(raw, "Running", STEP)),
        ends=tuple(_decode_end(row) for row in items(raw, "Finished", STEP)),
    )


def _decode_status(row: Any) -> RunStatus:
    # A row is [task, run, checkpoint, percent, measure]; the measure may be missing.
    if not isinstance(row, list) or len(row) < 4:
        raise field_error(STEP, "Running", "must be a list of rows of 4 or 5 values")
    measure = row[4] if len(row) > 4 and isinstance(row[4], (int, float)) else 0
    return RunStatus(
        task_id=str(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2] or ""),
        percent=int(row[3]),
        measure=int(measure),
    )


def _decode_end(row: Any) -> RunEnd:
    # A row is [number, task, run, how, checkpoint]; the checkpoint may be missing.
    if not isinstance(row, list) or len(row) < 4:
        raise field_error(STEP, "Finished", "must be a list of rows of 4 or 5 values")
    return RunEnd(
        number=int(row[0]),
        task_id=str(row[1]),
        run=int(row[2]),
        how=str(row[3]),
        checkpoint=str(row[4] or "") if len(row) > 4 else "",
    )


def decode_announcement(server_id: str, body: bytes) -> Announced:
    """Decode the announcement of a backend server.

    Raises `BulrushpulleyError` if it is malformed.
    """
    step = "announce.decode"
    raw = decode_object(body, step)
    state = text(raw, "State", step)
    if state not in (READY, DRAINING):
        raise field_error(step, "State", f"{state!r} is no state that is known")
    if not text(raw, "Addr", step) or not text(raw, "Service", step):
        raise field_error(step, "Addr", "and Service must not be empty")
    return Announced(
        server_id=server_id,
        # When this incarnation started, in milliseconds since 1970.
        started_at_ms=integer(raw, "born", step),
        sequence=integer(raw, "Seq", step),
        service=text(raw, "Service", step),
        address=text(raw, "Addr", step),
        failure_domain=text(raw, "Zone", step),
        is_draining=state == DRAINING,
        capacity=decode_resources(
            check_object(raw.get("Capacity", {}), step, "Capacity"), step
        ),
        labels=tuple(str(label) for label in items(raw, "Labels", step)),
        leaves_in_s=number(raw, "RemainingMs", step) / 1_000,
    )
