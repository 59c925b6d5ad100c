"""The client of the advice service, which knows which servers may run a step."""

from __future__ import annotations

import http
from collections.abc import Callable
from typing import Any

import msgspec

from bulrushpulley.entities.jobs.advice import (
    AdviceFailed,
    AdviceReceived,
    RequestAdvice,
)
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.fields import (
    decode_object,
    field_error,
    items,
    sound_values,
    text_value,
)
from bulrushpulley.platform.http_client import HttpClient

STEP = "advice.decode"
JSON_HEADERS = {"Content-Type": "application/json"}


class AdviceClient:
    """Requests advice; each call blocks up to its timeout.

    A malformed approval is passed to `report` and left out.
    """

    def __init__(self, *, address: str, report: Callable[[Problem], None]) -> None:
        self._report = report
        self._http = HttpClient(
            url=f"http://{address}", connections=1, service="advice"
        )

    def request_advice(self, command: RequestAdvice) -> Event:
        """Ask which of the given backend servers may run a step, with their tickets."""
        # `Workers` lists backend servers, despite its name.
        body = {"StepId": command.step_key, "Workers": list(command.server_ids)}
        try:
            answer = self._http.exchange(
                "POST",
                "/v1/advise",
                timeout_s=command.timeout_s,
                body=msgspec.json.encode(body),
                headers=JSON_HEADERS,
            )
            if answer.status != http.HTTPStatus.OK:
                reason = f"status {answer.status}: {answer.body[:200]!r}"
                return AdviceFailed(step_key=command.step_key, reason=reason)
            raw = decode_object(answer.body, STEP)
            approved = sound_values(
                items(raw, "Approved", STEP), _decode_approval, self._report
            )
        except BulrushpulleyError as error:
            return AdviceFailed(step_key=command.step_key, reason=str(error))
        ticket_by_server = dict(approved)
        return AdviceReceived(
            step_key=command.step_key, ticket_by_server=ticket_by_server
        )


def _decode_approval(row: Any) -> tuple[str, str]:
    """Decode a row of a server id and its ticket."""
    if not isinstance(row, list) or len(row) < 2:
        detail = "must be a list of [server id, ticket] rows"
        raise field_error(STEP, "Approved", detail)
    server_id, ticket = (text_value(value, "Approved", STEP) for value in row[:2])
    return server_id, ticket
