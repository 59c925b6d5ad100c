"""A backend server on loopback that announces itself to the agent of its host.

Each start, end and acknowledged end of a run is written to standard output as a line
of JSON with the monotonic time, the host, the task and the number of the run, so that
a soak run can be checked afterwards. On SIGUSR1 the server announces that it drains.
"""

from __future__ import annotations

import http
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType
from typing import Any

import msgspec
import urllib3
from absl import app, flags

from bulrushpulley.entities.jobs.executor_calls import (
    ExecutorEvent,
    PaceRun,
    PollRuns,
    RunsListed,
    StartDenied,
    StartRun,
    StopRun,
)
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from standins.executor_core import FakeExecutor
from standins.fenced_calls import FENCED
from standins.web import HOST, Request, Response, as_json, make_server, refusal, serve

FLAGS = flags.FLAGS
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
ADVANCE_INTERVAL_S = 0.02
EXECUTOR_CALL_TIMEOUT_S = 1.0
# How long a backend server keeps running after the signal to drain.
DRAIN_TIME_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerDescription:
    """The location, service and capacity of a backend server."""

    host: str
    service: str
    failure_domain: str
    rack: str
    port: int
    capacity: Resources


def write_line(fields: dict[str, Any]) -> None:
    """Write one line in a single call, so that lines of threads are not mixed."""
    sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
    sys.stdout.flush()


class ExecutorServer:
    """One incarnation of a backend server, protected by one lock."""

    def __init__(
        self,
        *,
        description: ServerDescription,
        clock: Callable[[], float] = time.monotonic,
        report: Callable[[dict[str, Any]], None] = write_line,
    ) -> None:
        self._lock = threading.RLock()
        self._clock = clock
        self._report = report
        self._description = description
        self.incarnation_started_at_ms = int(time.time() * 1_000)
        self.leaving_at: float | None = None
        self._sequence = 0
        self._core = FakeExecutor(
            host=description.host,
            capacity=description.capacity,
            listener=self._report_event,
            incarnation_started_at=clock(),
            incarnation=self.incarnation_started_at_ms,
            checkpoints=True,
        )
        self._handler_by_path = {
            "/v1/hold": self._poll,
            "/v1/run-start": self._start,
            "/v1/run-stop": self._stop,
            "/v1/pace": self._pace,
        }

    @property
    def server_id(self) -> str:
        """The id of this incarnation."""
        return self._core.server_id

    def _report_event(
        self, what: str, core: FakeExecutor, run: RunOrder | RunEnd
    ) -> None:
        self._report(
            {
                "at": self._clock(),
                "what": what,
                "host": core.host,
                "failure_domain": self._description.failure_domain,
                "life": core.incarnation,
                "task": run.task_id,
                "run": run.run,
                "how": getattr(run, "how", ""),
            }
        )

    def advance(self) -> None:
        """End the runs that are due to end or whose lease has expired."""
        with self._lock:
            self._core.advance(self._clock())

    def handle(self, request: Request) -> Response:
        """Answer one call of the agent."""
        handler = self._handler_by_path.get(request.path)
        if handler is None:
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        expected_id = request.header_by_name.get(
            "HTTP_EXPECTED_INSTANCE", self.server_id
        )
        if expected_id != self.server_id:
            return refusal(http.HTTPStatus.MISDIRECTED_REQUEST, "another instance")
        raw = msgspec.json.decode(request.body)
        if raw.get("FencingToken", 0) < self._core.fencing_token:
            return self._answer({"Reason": FENCED}, http.HTTPStatus.CONFLICT)
        return handler(raw)

    def _call(self, command: Any) -> ExecutorEvent:
        with self._lock:
            now = self._clock()
            self._core.advance(now)
            return self._core.call(command, now)

    def _common_fields(self, raw: dict[str, Any]) -> dict[str, Any]:
        return {
            "server_id": self.server_id,
            "address": "",
            "timeout_s": EXECUTOR_CALL_TIMEOUT_S,
            "fencing_token": raw.get("FencingToken", 0),
        }

    def _answer(
        self, body: dict[str, Any], status: http.HTTPStatus = http.HTTPStatus.OK
    ) -> Response:
        clock_ms = int((self._clock() - self._core.incarnation_started_at) * 1_000)
        return as_json(
            status,
            {"ClockMs": clock_ms, "born": self.incarnation_started_at_ms, **body},
        )

    def _poll(self, raw: dict[str, Any]) -> Response:
        until = self._clock() + raw.get("WaitMs", 0) / 1_000
        command = PollRuns(
            **self._common_fields(raw),
            noted=raw.get("LastSeen", 0),
            wait_ms=0,
            lease_until_ms=raw.get("DeadlineMs"),
        )
        listed = self._list_runs(command)
        while not listed.ends and self._clock() < until:
            threading.Event().wait(ADVANCE_INTERVAL_S)
            listed = self._list_runs(command)
        runs = [
            [run.task_id, run.run, run.checkpoint, run.percent, run.measure]
            for run in listed.runs
        ]
        ends = [
            [end.number, end.task_id, end.run, end.how, end.checkpoint]
            for end in listed.ends
        ]
        return self._answer({"Running": runs, "Finished": ends})

    def _list_runs(self, command: PollRuns) -> RunsListed:
        listed = self._call(command)
        # `handle` has checked that the call names this instance.
        assert isinstance(listed, RunsListed)
        return listed

    def _start(self, raw: dict[str, Any]) -> Response:
        order = RunOrder(
            task_id=raw["Task"],
            run=raw["RunId"],
            payload=raw.get("Spec", ""),
            committed=NO_RESOURCES,
            checkpoint=raw.get("Checkpoint", ""),
        )
        command = StartRun(
            **self._common_fields(raw), order=order, lease_until_ms=raw["DeadlineMs"]
        )
        event = self._call(command)
        if isinstance(event, StartDenied):
            return self._answer({"Reason": event.reason}, http.HTTPStatus.CONFLICT)
        return self._answer({})

    def _stop(self, raw: dict[str, Any]) -> Response:
        run = RunRef(task_id=raw["Task"], run=raw["RunId"])
        self._call(StopRun(**self._common_fields(raw), run=run))
        return self._answer({})

    def _pace(self, raw: dict[str, Any]) -> Response:
        run = RunRef(task_id=raw["Task"], run=raw["RunId"])
        self._call(PaceRun(**self._common_fields(raw), run=run, percent=raw["Percent"]))
        return self._answer({})

    def announcement(self) -> dict[str, Any]:
        """Return the body of the next announcement."""
        self._sequence += 1
        description = self._description
        remaining_s = (
            DRAIN_TIME_S if self.leaving_at is None else self.leaving_at - self._clock()
        )
        return {
            "Service": description.service,
            "Addr": f"{HOST}:{description.port}",
            "Zone": description.failure_domain,
            "State": "ready" if self.leaving_at is None else "draining",
            "RemainingMs": int(1_000 * max(0.0, remaining_s)),
            "Capacity": {
                "Cpu": description.capacity.processors_m,
                "MemMb": description.capacity.memory_mb,
                "Gpu": description.capacity.accelerators,
            },
            "Labels": ["a", description.rack],
            "Seq": self._sequence,
            "born": self.incarnation_started_at_ms,
        }

    def drain(self) -> None:
        """Announce the state "draining" from now on, and leave after `DRAIN_TIME_S`."""
        self.leaving_at = self._clock() + DRAIN_TIME_S


def announce(server: ExecutorServer, agent: str, *, withdraw: bool = False) -> None:
    """Announce a server to its agent, or withdraw it.

    A failure is only logged: the next heartbeat announces the server again, and a
    withdrawal is not repeated.
    """
    verb = "deregister" if withdraw else "heartbeat"
    body = {} if withdraw else server.announcement()
    try:
        urllib3.request(
            "POST",
            f"http://{agent}/v1/instances/{server.server_id}/{verb}",
            json=body,
            timeout=HEARTBEAT_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        write_line(
            {
                "at": time.monotonic(),
                "what": "announce_failed",
                "reason": str(error),
            }
        )


def _send_heartbeats(
    server: ExecutorServer, agent: str, stop: Callable[[], None]
) -> None:
    while True:
        announce(server, agent)
        threading.Event().wait(HEARTBEAT_INTERVAL_S)
        if server.leaving_at is not None and time.monotonic() > server.leaving_at:
            announce(server, agent, withdraw=True)
            stop()
            return


def _advance_regularly(server: ExecutorServer) -> None:
    while True:
        server.advance()
        threading.Event().wait(ADVANCE_INTERVAL_S)


def main(argv: list[str]) -> None:
    """Serve on the port given by the flags until drained."""
    del argv
    description = ServerDescription(
        host=FLAGS.host,
        service=FLAGS.service,
        failure_domain=FLAGS.failure_domain,
        rack=FLAGS.rack,
        port=FLAGS.port,
        capacity=Resources(processors_m=FLAGS.processors_m, memory_mb=FLAGS.memory_mb),
    )
    server = ExecutorServer(description=description)

    def drain(signum: int, frame: FrameType | None) -> None:
        server.drain()

    signal.signal(signal.SIGUSR1, drain)
    web_server = make_server(handle=server.handle, port=FLAGS.port)
    for target, arguments in (
        (_advance_regularly, (server,)),
        (_send_heartbeats, (server, FLAGS.agent, web_server.stop)),
    ):
        threading.Thread(target=target, args=arguments, daemon=True).start()
    serve(web_server)


if __name__ == "__main__":
    flags.DEFINE_integer("port", 7400, "Port on 127.0.0.1.")
    flags.DEFINE_string("host", "host-1", "Name of the host.")
    flags.DEFINE_string("service", "ovens", "Service that the server runs.")
    flags.DEFINE_string("failure_domain", "z1", "Failure domain of the host.")
    flags.DEFINE_string("rack", "r1", "Rack of the host.")
    flags.DEFINE_string("agent", "127.0.0.1:7500", "Address of the agent.")
    flags.DEFINE_integer("processors_m", 4_000, "Processors in thousandths.")
    flags.DEFINE_integer("memory_mb", 8_000, "Memory in MB.")
    app.run(main)
