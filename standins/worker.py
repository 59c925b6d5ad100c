"""Workers over HTTP: ``python -m standins.worker --port 7100``.

One process serves many workers, each under ``/w/WORKER_ID``. Any id is served, so
that only the records decide which workers exist.
"""

from __future__ import annotations

import enum
import http
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from absl import app, flags

from bulrushpulley.entities.resources import Resources
from standins import worker_core
from standins.web import (
    Request,
    Response,
    as_json,
    make_server,
    refusal,
    serve,
    wait_until,
)
from standins.worker_core import Renew, Run, Start, WorkerState

FLAGS = flags.FLAGS
WORKERS_PER_RACK = 3


class Mode(enum.Enum):
    """How a worker answers; runs that start in mode ``fail_all`` fail."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    FAIL_ALL = "fail_all"


@dataclass(frozen=True, kw_only=True, slots=True)
class Switch:
    """Sets a mode for `seconds` (0: until the next switch).

    In mode ``slow`` each request is delayed by `delay_s`.
    """

    mode: Mode
    seconds: float = 0.0
    delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StartForm:
    """The body of a request to start a task."""

    task_id: str
    generation: int
    processors_m: int
    memory_mb: int
    lease_s: float
    run_s: float
    accelerators: int = 0
    checkpoint: str = ""
    task_class: str = "batch"


@dataclass(frozen=True, kw_only=True, slots=True)
class StopForm:
    """The body of a request to stop a task."""

    task_id: str
    generation: int
    checkpoint: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleForm:
    """The body of a request to throttle a task."""

    task_id: str
    generation: int
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportForm:
    """The body of a request for a report."""

    renew: tuple[Renew, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SimulatedWorker:
    """The runs of a worker and its fault mode, which ends at `until`."""

    state: WorkerState
    switch: Switch = Switch(mode=Mode.UP)
    until: float = float("inf")

    def mode_at(self, now: float) -> Mode:
        """Return the current mode at `now`."""
        return self.switch.mode if now < self.until else Mode.UP


_decode_start = msgspec.json.Decoder(StartForm).decode
_decode_stop = msgspec.json.Decoder(StopForm).decode
_decode_throttle = msgspec.json.Decoder(ThrottleForm).decode
_decode_report = msgspec.json.Decoder(ReportForm).decode
_decode_switch = msgspec.json.Decoder(Switch).decode


class Workers:
    """Keeps all workers, protected by one lock, and answers requests."""

    def __init__(
        self,
        *,
        capacity: Resources,
        failure_domain: str = "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._capacity = capacity
        self._failure_domain = failure_domain
        self._worker_by_id: dict[str, SimulatedWorker] = {}
        self._change_by_path = {
            "/v1/tasks": self._start,
            "/v1/tasks/stop": self._stop,
            "/v1/tasks/throttle": self._throttle,
            "/v1/report": self._renew,
        }

    def handle(self, request: Request) -> Response:
        """Answer one request for the worker named in the path."""
        _, prefix, worker_id, *rest = [*request.path.split("/"), "", "", ""]
        path = "/" + "/".join(part for part in rest if part)
        if prefix != "w" or not worker_id:
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        if path == "/switch":
            return self._switch(worker_id, request)
        worker = self._find_worker(worker_id)
        mode = worker.mode_at(self._clock())
        if mode is Mode.DOWN:
            return refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, "down")
        if mode is Mode.SLOW:
            now = self._clock()
            wait_until(now + worker.switch.delay_s, now)
        response = self._answer(worker_id, path, request)
        return replace(response, lost=mode is Mode.LOSE_ANSWERS)

    def _find_worker(self, worker_id: str) -> SimulatedWorker:
        known = self._worker_by_id.get(worker_id)
        return known or SimulatedWorker(state=WorkerState.empty())

    def _switch(self, worker_id: str, request: Request) -> Response:
        switch = _decode_switch(request.body)
        with self._lock:
            now = self._clock()
            until = now + switch.seconds if switch.seconds else float("inf")
            worker = replace(self._find_worker(worker_id), switch=switch, until=until)
            self._worker_by_id[worker_id] = worker
        return as_json(http.HTTPStatus.OK, {"mode": switch.mode.value})

    def _answer(self, worker_id: str, path: str, request: Request) -> Response:
        if path == "/v1/worker":
            return self._describe(worker_id)
        change = self._change_by_path.get(path)
        if change is None:
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        with self._lock:
            now = self._clock()
            worker = self._find_worker(worker_id)
            failing = worker.mode_at(now) is Mode.FAIL_ALL
            state = replace(worker.state, fail_all=failing)
            state = worker_core.advance(change(state, request.body, now), now)
            self._worker_by_id[worker_id] = replace(worker, state=state)
        if path == "/v1/report":
            return as_json(http.HTTPStatus.OK, _report(state, now))
        return as_json(http.HTTPStatus.OK, {})

    def _describe(self, worker_id: str) -> Response:
        number = int(worker_id[1:]) if worker_id[1:].isdecimal() else 0
        capacity = self._capacity
        body = {
            "worker_id": worker_id,
            "processors_m": capacity.processors_m,
            "memory_mb": capacity.memory_mb,
            "accelerators": capacity.accelerators,
            "rack": f"rack-{number // WORKERS_PER_RACK}",
            "failure_domain": self._failure_domain,
        }
        return as_json(http.HTTPStatus.OK, body)

    def _start(self, state: WorkerState, body: bytes, now: float) -> WorkerState:
        form = _decode_start(body)
        size = Resources(
            processors_m=form.processors_m,
            memory_mb=form.memory_mb,
            accelerators=form.accelerators,
        )
        order = Start(
            task_id=form.task_id,
            generation=form.generation,
            lease_s=form.lease_s,
            run_s=form.run_s,
            size=size,
            checkpoint=form.checkpoint,
            task_class=form.task_class,
        )
        return worker_core.start(state, order, now)

    def _stop(self, state: WorkerState, body: bytes, now: float) -> WorkerState:
        form = _decode_stop(body)
        return worker_core.stop(
            state, form.task_id, form.generation, form.checkpoint, now
        )

    def _throttle(self, state: WorkerState, body: bytes, now: float) -> WorkerState:
        form = _decode_throttle(body)
        return worker_core.throttle(
            state, form.task_id, form.generation, form.share, now
        )

    def _renew(self, state: WorkerState, body: bytes, now: float) -> WorkerState:
        return worker_core.renew(state, _decode_report(body).renew, now)


def _report(state: WorkerState, now: float) -> dict[str, object]:
    return {
        "tasks": [_run_form(run) for run in state.runs.rows()],
        "usage": [
            _usage_form(state, run, now)
            for run in worker_core.runs_with_usage(state, now)
        ],
    }


def _run_form(run: Run) -> dict[str, object]:
    return {
        "task_id": run.start.task_id,
        "generation": run.start.generation,
        "state": run.state.value,
        "checkpoint": run.checkpoint,
        "detail": run.detail,
    }


def _usage_form(state: WorkerState, run: Run, now: float) -> dict[str, object]:
    return {
        "task_id": run.start.task_id,
        "generation": run.start.generation,
        "processors_m": int(run.start.size.processors_m * run.share),
        "memory_mb": run.start.size.memory_mb,
        "latency_ms": worker_core.latency_ms(state, run, now - worker_core.USAGE_LAG_S),
    }


def main(argv: list[str]) -> None:
    """Serve on the port given by the flags."""
    del argv
    capacity = Resources(
        processors_m=FLAGS.processors_m,
        memory_mb=FLAGS.memory_mb,
        accelerators=FLAGS.accelerators,
    )
    workers = Workers(capacity=capacity, failure_domain=FLAGS.failure_domain)
    serve(make_server(handle=workers.handle, port=FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 7100, "Port on 127.0.0.1.")
    flags.DEFINE_integer(
        "processors_m", 32_000, "Processors of each worker in thousandths."
    )
    flags.DEFINE_integer("memory_mb", 125_000, "Memory of each worker in MB.")
    flags.DEFINE_integer("accelerators", 0, "Accelerators of each worker.")
    flags.DEFINE_string("failure_domain", "", "Failure domain of the workers.")
    app.run(main)
