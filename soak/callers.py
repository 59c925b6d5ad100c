"""Simulated callers, which submit jobs, poll their states and cancel them.

Each caller keeps its connection until it fails, then connects to the next entry, as
clients behind the platform's load balancer do.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import urllib3

from soak.invariants import Answered, Cancelled, Observation, StateReceived
from soak.plan import JobPlan

ROUTE_HOST = "push.example"
ROUTE_PREFIX = "/push/"
CALLER_TIMEOUT_S = 3.0
MAX_SUBMIT_ATTEMPTS = 8
CALLER_RETRY_DELAY_S = 0.3
STATE_POLL_INTERVAL_S = 1.0
MEMORY_MB = 100
OUTCOME_UNKNOWN_STATUSES = (502, 504)
REFUSAL_STATUSES = (429, 503)


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """The response to a request; status 0 if there was none."""

    status: int
    body: dict[str, object]


class Connection:
    """The connection of one caller to its current entry."""

    def __init__(self, urls: tuple[str, ...], first_entry: int) -> None:
        self._urls = urls
        self._entry_index = first_entry
        self._pool = urllib3.PoolManager(num_pools=4, maxsize=1, retries=False)

    def call(self, method: str, job_id: str, body: object = None) -> Reply:
        """Send one request; switch to the next entry after a failure."""
        url = self._urls[self._entry_index % len(self._urls)]
        try:
            response = self._pool.request(
                method,
                f"{url}{ROUTE_PREFIX}{job_id}",
                json=body,
                timeout=CALLER_TIMEOUT_S,
                headers={
                    "Host": ROUTE_HOST,
                    "Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1_000)),
                },
            )
        except urllib3.exceptions.NewConnectionError:
            # Nothing was sent, so the outcome is known, as with a refusal.
            self._entry_index += 1
            return Reply(status=REFUSAL_STATUSES[-1], body={})
        except urllib3.exceptions.HTTPError:
            self._entry_index += 1
            return Reply(status=0, body={})
        if response.status in (*REFUSAL_STATUSES, *OUTCOME_UNKNOWN_STATUSES):
            self._entry_index += 1
        return Reply(status=response.status, body=_parse_json(response))


def _parse_json(response: urllib3.BaseHTTPResponse) -> dict[str, object]:
    try:
        value = response.json()
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def body_of(job: JobPlan) -> dict[str, object]:
    """Return the body of the request that submits a job."""
    steps = [
        {
            "Count": count,
            "Cpu": processors_m,
            "MemMb": MEMORY_MB,
            "After": list(after),
            "EstimateMs": 1_000,
            "LongRunning": job.lasting,
            "Checkpointing": True,
        }
        for count, processors_m, after in job.steps
    ]
    return {"Spec": job.payload, "Steps": steps}


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Submits and follows one job; observations are passed to `record`."""

    connection: Connection
    record: Callable[[Observation], None]
    stop: threading.Event

    def run(self, job: JobPlan) -> None:
        """Submit a job, poll its state, and cancel it if planned."""
        if not self._submit(job):
            return
        accepted_at = time.monotonic()
        cancels = job.cancel_after_s is not None
        while not self.stop.is_set():
            waited_s = time.monotonic() - accepted_at
            if cancels and waited_s >= (job.cancel_after_s or 0.0):
                self._cancel(job)
                return
            if self.query_state(job.job_id) in ("completed", "failed"):
                return
            self.stop.wait(STATE_POLL_INTERVAL_S)

    def _submit(self, job: JobPlan) -> bool:
        outcome_unknown = False
        for attempts_left in reversed(range(MAX_SUBMIT_ATTEMPTS)):
            reply = self.connection.call("POST", job.job_id, body_of(job))
            if 200 <= reply.status < 300:
                self._record_answer(job, "accepted", final=True)
                return True
            outcome_unknown = outcome_unknown or reply.status not in REFUSAL_STATUSES
            self._record_answer(
                job,
                "unknown" if outcome_unknown else "refused",
                final=not attempts_left,
            )
            self.stop.wait(CALLER_RETRY_DELAY_S)
        return False

    def _record_answer(self, job: JobPlan, answer: str, *, final: bool) -> None:
        at = time.monotonic()
        self.record(Answered(at=at, job_id=job.job_id, answer=answer, final=final))

    def query_state(self, job_id: str) -> str:
        """Return the state of a job; empty if there was no answer."""
        reply = self.connection.call("GET", job_id)
        state = "gone" if reply.status == 410 else str(reply.body.get("State", ""))
        if state:
            self.record(StateReceived(at=time.monotonic(), job_id=job_id, state=state))
        return state

    def _cancel(self, job: JobPlan) -> None:
        while not self.stop.is_set():
            reply = self.connection.call("DELETE", job.job_id)
            if 200 <= reply.status < 300:
                self.record(Cancelled(at=time.monotonic(), job_id=job.job_id))
                return
            self.stop.wait(CALLER_RETRY_DELAY_S)
