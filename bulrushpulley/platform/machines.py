"""The client of the machine service, which takes machines down for upkeep."""

from __future__ import annotations

import http
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

import msgspec

from bulrushpulley.entities.jobs.machines import (
    ListMachines,
    ListMachinesFailed,
    Machine,
    MachinesListed,
    MachineState,
)
from bulrushpulley.entities.jobs.upkeep import (
    OrderUpkeep,
    UpkeepEvent,
    UpkeepOrderAccepted,
    UpkeepOrderFailed,
    UpkeepRefusal,
)
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.errors import BusyError, RefusedError
from bulrushpulley.platform.fields import (
    Fields,
    check_object,
    decode_object,
    field_error,
    items,
    sound_values,
    text,
)
from bulrushpulley.platform.http_client import HttpAnswer, HttpClient

STEP = "machines.decode"
MAX_SHOWN_CHARACTERS = 100
# Bounds a list whose pages do not end.
MAX_LIST_DURATION_S = 4.0
# The platform ends everything on a machine as it enters one of these states.
STATES_WITHOUT_SERVER = (MachineState.MOVING.value, MachineState.UPKEEP.value)
# The `Reason` of an answer with status 409.
REFUSAL_BY_REASON: Mapping[str, UpkeepRefusal] = {
    "busy": UpkeepRefusal.CANNOT_GO_DOWN,
    "wave": UpkeepRefusal.NOT_IN_WAVE,
    "fence": UpkeepRefusal.NEWER_TOKEN,
}


class MachinesClient:
    """Lists machines and orders their upkeep; each call blocks up to its timeout.

    A malformed entry of the list is passed to `report` and left out.
    """

    def __init__(self, *, address: str, report: Callable[[Problem], None]) -> None:
        self._report = report
        self._http = HttpClient(
            url=f"http://{address}", connections=2, service="machines"
        )

    def list_all(self, command: ListMachines) -> Event:
        """List all machines, page by page."""
        try:
            pages = self._read_pages(command.timeout_s)
        except BulrushpulleyError as error:
            return ListMachinesFailed(
                requested_at=command.requested_at, reason=str(error)
            )
        entries = [entry for page in pages for entry in page]
        machines = sound_values(entries, self._machine, self._report)
        return MachinesListed(
            requested_at=command.requested_at,
            machines=machines,
            running_server_ids=_running_server_ids(entries),
            complete=len(machines) == len(entries),
            one_page=len(pages) == 1,
        )

    def _read_pages(self, timeout_s: float) -> list[list[Any]]:
        pages: list[list[Any]] = []
        token = ""
        gives_up_at = time.monotonic() + MAX_LIST_DURATION_S
        while True:
            raw = self._read_page(token, timeout_s)
            pages.append(list(items(raw, "Machines", STEP)))
            token = text(raw, "NextToken", STEP)
            if not token:
                return pages
            if time.monotonic() > gives_up_at:
                detail = f"more pages follow after {MAX_LIST_DURATION_S:g} s"
                raise field_error(STEP, "NextToken", detail)

    def _machine(self, entry: Any) -> Machine:
        raw = check_object(entry, STEP, "Machines")
        machine_id = text(raw, "Machine", STEP)
        if not machine_id:
            raise field_error(STEP, "Machine", "must not be empty")
        return Machine(
            machine_id=machine_id,
            pool=text(raw, "Pool", STEP),
            state=self._state(raw),
            # The id of the backend server that runs on the machine.
            server_id=text(raw, "Id", STEP),
        )

    def _state(self, raw: Fields) -> MachineState:
        state = text(raw, "State", STEP)
        try:
            return MachineState(state)
        except ValueError:
            detail = f"unknown state {state[:MAX_SHOWN_CHARACTERS]!r}"
            self._report(field_error(STEP, "State", detail).problem)
            return MachineState.UNKNOWN

    def _read_page(self, token: str, timeout_s: float) -> Fields:
        query = f"?{urlencode({'PageToken': token})}" if token else ""
        answer = self._http.exchange("GET", f"/v1/machines{query}", timeout_s=timeout_s)
        if answer.status != http.HTTPStatus.OK:
            detail = f"status {answer.status}: {answer.body[:200]!r}"
            raise BulrushpulleyError(problem=self._http.invalid_answer(STEP, detail))
        return decode_object(answer.body, STEP)

    def order_upkeep(self, command: OrderUpkeep) -> Event:
        """Order the upkeep of one machine; a repeated order has no further effect."""
        body = {"Machine": command.machine_id, "MaintenanceWave": command.wave}
        headers = {
            "Content-Type": "application/json",
            "Lease-Holder": command.holder,
            # Increases with each owner of the shard, so that the service can detect
            # late orders of a former owner.
            "Fencing-Token": str(command.token),
        }
        try:
            answer = self._http.exchange(
                "POST",
                "/v1/machine-upkeep",
                timeout_s=command.timeout_s,
                body=msgspec.json.encode(body),
                headers=headers,
            )
        except BusyError as error:
            return _order_failed(command, UpkeepRefusal.TOO_MANY_CALLS, str(error))
        except RefusedError as error:
            return _order_failed(command, UpkeepRefusal.UNAVAILABLE, str(error))
        except BulrushpulleyError as error:
            return _order_failed(command, UpkeepRefusal.NO_ANSWER, str(error))
        if answer.status == http.HTTPStatus.OK:
            return UpkeepOrderAccepted(wave=command.wave, machine_id=command.machine_id)
        reason = f"status {answer.status}: {answer.body[:200]!r}"
        return _order_failed(command, _refusal_of(answer), reason)


def _refusal_of(answer: HttpAnswer) -> UpkeepRefusal:
    if answer.status == http.HTTPStatus.BAD_REQUEST:
        return UpkeepRefusal.NO_SUCH_MACHINE
    if answer.status != http.HTTPStatus.CONFLICT:
        return UpkeepRefusal.OTHER
    try:
        reason = text(decode_object(answer.body, STEP), "Reason", STEP)
    except BulrushpulleyError:
        return UpkeepRefusal.OTHER
    return REFUSAL_BY_REASON.get(reason, UpkeepRefusal.OTHER)


def _running_server_ids(entries: Iterable[Any]) -> frozenset[str] | None:
    """Return the backend servers that the platform may still be running.

    It is None if a machine that may be up is listed without a readable server.
    """
    server_ids: set[str] = set()
    for entry in entries:
        if not isinstance(entry, dict):
            return None
        if entry.get("State") in STATES_WITHOUT_SERVER:
            continue
        server_id = entry.get("Id")
        if not server_id and entry.get("State") == MachineState.DOWN.value:
            continue
        if not server_id or not isinstance(server_id, str):
            return None
        server_ids.add(server_id)
    return frozenset(server_ids)


def _order_failed(
    command: OrderUpkeep, refusal: UpkeepRefusal, reason: str
) -> UpkeepEvent:
    return UpkeepOrderFailed(
        wave=command.wave,
        machine_id=command.machine_id,
        refusal=refusal,
        reason=reason,
    )
