"""The client of the backend server on an agent's host; decodes its announcements."""

from __future__ import annotations

import http
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import msgspec

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    ConfirmIncarnation,
    ExecutorCommand,
    ExecutorEvent,
    FenceAnswered,
    FenceUnanswered,
    IncarnationConfirmed,
    IncarnationUnconfirmed,
    OtherIncarnation,
    PaceAnswered,
    PaceFailed,
    PaceRun,
    PollFailed,
    PollRuns,
    RaiseFence,
    RunStarted,
    StartDenied,
    StartRun,
    StartUnanswered,
    StartUnhealthy,
    StopAnswered,
    StopRun,
    StopUnanswered,
)
from bulrushpulley.entities.jobs.runs import RunRef
from bulrushpulley.entities.resources import Resources
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.errors import NoListenerError, RefusedError
from bulrushpulley.platform.fields import (
    address,
    check_object,
    decode_object,
    field_error,
    integer,
    number,
    text,
    texts,
)
from bulrushpulley.platform.http_client import HttpAnswer, HttpClient
from bulrushpulley.platform.job_bodies import decode_resources
from bulrushpulley.platform.run_lists import STEP, decode_runs
from bulrushpulley.platform.server_ids import check_server_id

# The executor answers so before it has done anything.
DENYING_STATUSES = frozenset(
    {
        http.HTTPStatus.CONFLICT,
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.MISDIRECTED_REQUEST,
    }
)
ANNOUNCE_STEP = "announce.decode"
EXECUTOR_CONNECTIONS = 10
DRAINING = "draining"
READY = "ready"
# Announcements beyond these bounds cannot be true, and would attract all tasks.
MAX_SERVER_CAPACITY = Resources(
    processors_m=10_000_000, memory_mb=2**30, accelerators=100_000
)
MAX_DRAIN_S = 86_400.0


class ExecutorClient:
    """Calls one backend server; each call blocks up to its timeout.

    A malformed entry of its lists is passed to `report` and left out.
    """

    def __init__(self, *, report: Callable[[Problem], None]) -> None:
        self._report = report
        self._client_by_address: dict[str, HttpClient] = {}

    @singledispatchmethod
    def call(self, command: ExecutorCommand) -> ExecutorEvent:
        """Make a call and return its answer as an event."""
        raise NotImplementedError(type(command).__name__)

    @call.register
    def _(self, command: PollRuns) -> ExecutorEvent:
        body: dict[str, Any] = {
            "FencingToken": command.fencing_token,
            "LastSeen": command.noted,
            "WaitMs": command.wait_ms,
        }
        if command.lease_until_ms is not None:
            body["DeadlineMs"] = command.lease_until_ms
        try:
            answer = self._post(command, "/v1/hold", body)
            if answer.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                return OtherIncarnation(server_id=command.server_id, life=command.life)
            if answer.status != http.HTTPStatus.OK:
                reason = f"status {answer.status}: {answer.body[:200]!r}"
                return PollFailed(
                    server_id=command.server_id,
                    life=command.life,
                    reason=reason,
                    fenced=_is_fenced(answer),
                )
            raw = decode_object(answer.body, STEP)
            return decode_runs(command, raw, self._report)
        except NoListenerError as error:
            return PollFailed(
                server_id=command.server_id,
                life=command.life,
                reason=str(error),
                connection_refused=True,
            )
        except BulrushpulleyError as error:
            return PollFailed(
                server_id=command.server_id, life=command.life, reason=str(error)
            )

    @call.register
    def _(self, command: ConfirmIncarnation) -> ExecutorEvent:
        # The client is not kept, so that announced addresses do not replace the one in
        # use.
        client = _new_client(command.address, connections=1)
        try:
            answer = _exchange(client, command, "/v1/hold", _fence_body(command))
            if _is_fenced(answer):
                return _unconfirmed(command, "its fence is higher", fenced=True)
            started_at_ms = _started_at_ms(client, answer)
        except BulrushpulleyError as error:
            return _unconfirmed(command, str(error))
        if started_at_ms != command.started_at_ms:
            return _unconfirmed(command, f"one started at {started_at_ms} answers")
        return IncarnationConfirmed(
            server_id=command.server_id,
            started_at_ms=command.started_at_ms,
            address=command.address,
        )

    @call.register
    def _(self, command: RaiseFence) -> ExecutorEvent:
        try:
            self._post(command, "/v1/hold", _fence_body(command))
        except BulrushpulleyError as error:
            return FenceUnanswered(server_id=command.server_id, reason=str(error))
        return FenceAnswered(server_id=command.server_id)

    @call.register
    def _(self, command: StartRun) -> ExecutorEvent:
        order = command.order
        run = RunRef(task_id=order.task_id, run=order.run)
        body: dict[str, Any] = {
            "Task": order.task_id,
            "RunId": order.run,
            "Spec": order.payload,
            "DeadlineMs": command.lease_until_ms,
            "FencingToken": command.fencing_token,
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
        try:
            return start_outcome(command, run, answer)
        except BulrushpulleyError as error:
            return StartUnanswered(
                server_id=command.server_id, run=run, reason=str(error)
            )

    @call.register
    def _(self, command: StopRun) -> ExecutorEvent:
        body = {
            "Task": command.run.task_id,
            "RunId": command.run.run,
            "FencingToken": command.fencing_token,
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
            "FencingToken": command.fencing_token,
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
            client = _new_client(command.address, connections=EXECUTOR_CONNECTIONS)
            # The server on the host has one address; older clients are not needed.
            self._client_by_address = {command.address: client}
        return _exchange(client, command, path, body)


def _new_client(address_: str, *, connections: int) -> HttpClient:
    return HttpClient(
        url=f"http://{address_}", connections=connections, service="executor"
    )


def _exchange(
    client: HttpClient, command: ExecutorCommand, path: str, body: dict[str, Any]
) -> HttpAnswer:
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


def _fence_body(command: ExecutorCommand) -> dict[str, Any]:
    """Return the body of a call that renews no lease and discards no ends."""
    return {"FencingToken": command.fencing_token, "LastSeen": 0, "WaitMs": 0}


def _is_fenced(answer: HttpAnswer) -> bool:
    """Return whether a server did nothing as it has seen a higher fencing token."""
    if answer.status != http.HTTPStatus.CONFLICT:
        return False
    return text(decode_object(answer.body, STEP), "Reason", STEP) == "fence"


def _started_at_ms(client: HttpClient, answer: HttpAnswer) -> int:
    """Return when the incarnation that has answered started."""
    if answer.status != http.HTTPStatus.OK:
        detail = f"status {answer.status}: {answer.body[:200]!r}"
        raise BulrushpulleyError(problem=client.invalid_answer(STEP, detail))
    return integer(decode_object(answer.body, STEP), "born", STEP)


def _unconfirmed(
    command: ConfirmIncarnation, reason: str, *, fenced: bool = False
) -> IncarnationUnconfirmed:
    return IncarnationUnconfirmed(
        server_id=command.server_id,
        started_at_ms=command.started_at_ms,
        reason=reason,
        fenced=fenced,
    )


def start_outcome(command: StartRun, run: RunRef, answer: HttpAnswer) -> ExecutorEvent:
    """Return what an answer says about a start."""
    if answer.status == http.HTTPStatus.OK:
        return RunStarted(server_id=command.server_id, run=run)
    reason = f"status {answer.status}"
    if answer.status == http.HTTPStatus.CONFLICT:
        # `Reason` is one of fence, old, late, room and ticket. After "old" the run
        # can never start.
        reason = text(decode_object(answer.body, STEP), "Reason", STEP)
    return StartDenied(
        server_id=command.server_id,
        run=run,
        reason=reason,
        final=reason == "old",
        certainly_denied=answer.status in DENYING_STATUSES,
    )


def decode_announcement(server_id: str, body: bytes) -> Announced:
    """Decode the announcement of a backend server.

    Raises `BulrushpulleyError` if it is malformed or lacks a field that each server
    sends, as an announcement of another writer may, or if the id cannot be used.
    """
    step = ANNOUNCE_STEP
    check_server_id(server_id, step)
    raw = decode_object(body, step)
    state = text(raw, "State", step)
    if state not in (READY, DRAINING):
        raise field_error(step, "State", f"{state!r} is no state that is known")
    for name in ("Service", "Zone", "Labels"):
        if not raw.get(name):
            raise field_error(step, name, "must not be empty")
    capacity = decode_resources(
        check_object(raw.get("Capacity"), step, "Capacity"), step
    )
    if not capacity.fits(MAX_SERVER_CAPACITY):
        raise field_error(step, "Capacity", "is out of range")
    if not (capacity.processors_m and capacity.memory_mb):
        raise field_error(step, "Capacity", "must name processors and memory")
    leaves_in_s = number(raw, "RemainingMs", step) / 1_000
    if leaves_in_s > MAX_DRAIN_S:
        raise field_error(step, "RemainingMs", "is out of range")
    return Announced(
        server_id=server_id,
        # When this incarnation started, in milliseconds since 1970.
        started_at_ms=integer(raw, "born", step),
        sequence=integer(raw, "Seq", step),
        service=text(raw, "Service", step),
        address=address(raw, "Addr", step),
        failure_domain=text(raw, "Zone", step),
        is_draining=state == DRAINING,
        capacity=capacity,
        labels=texts(raw, "Labels", step),
        leaves_in_s=leaves_in_s,
    )
