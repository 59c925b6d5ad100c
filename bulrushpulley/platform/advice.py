"""The client of the advice service, which knows which servers may run a step."""

from __future__ import annotations

import http

import msgspec

from bulrushpulley.entities.jobs.advice import (
    AdviceFailed,
    AdviceReceived,
    RequestAdvice,
)
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.fields import decode_object, field_error, items
from bulrushpulley.platform.http_client import HttpClient

STEP = "advice.decode"
JSON_HEADERS = {"Content-Type": "application/json"}


class AdviceClient:
    """Requests advice; each call blocks up to its timeout."""

    def __init__(self, *, address: str) -> None:
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
            # A row is [server id, ticket].
            rows = items(raw, "Approved", STEP)
            if not all(isinstance(row, list) and len(row) > 1 for row in rows):
                raise field_error(
                    STEP, "Approved", "must be a list of [server id, ticket] rows"
                )
        except BulrushpulleyError as error:
            return AdviceFailed(step_key=command.step_key, reason=str(error))
        ticket_by_server = {str(row[0]): str(row[1]) for row in rows}
        return AdviceReceived(
            step_key=command.step_key, ticket_by_server=ticket_by_server
        )
