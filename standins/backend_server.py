"""A backend server over HTTP: ``python -m standins.backend_server --port 7100``.

A request is answered with its id, a line feed and its body, after a log-normal
service time. Mode ``slow`` of /switch adds a delay to each request. On SIGTERM the
server finishes the requests in flight and exits.
"""

from __future__ import annotations

import http
import math
import random
import signal
import threading
import time
from collections.abc import Callable

import msgspec
from absl import app, flags

from standins.backend_core import BackendState, admit
from standins.faults import Faults, Mode, Switch
from standins.web import (
    Request,
    Response,
    as_json,
    make_server,
    refusal,
    serve,
    wait_until,
)

FLAGS = flags.FLAGS
DEFAULT_SLOTS = 8
DEFAULT_MEAN_S = 0.02
DEFAULT_SPREAD = 0.5

_decode_switch = msgspec.json.Decoder(Switch).decode


class BackendServer:
    """Keeps the state, protected by one lock, and answers requests."""

    def __init__(
        self,
        *,
        slots: int = DEFAULT_SLOTS,
        mean_s: float = DEFAULT_MEAN_S,
        spread: float = DEFAULT_SPREAD,
        seed: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._state = BackendState.empty(slots=slots)
        self._faults = Faults()
        self._rng = random.Random(seed)
        # This location gives the log-normal distribution the mean `mean_s`.
        self._mu = math.log(mean_s) - spread * spread / 2
        self._spread = spread
        self._handler_by_path = {
            ("POST", "/v1/run"): self._run,
            ("GET", "/v1/health"): self._health,
            ("GET", "/v1/runs"): self._runs,
            ("POST", "/switch"): self._switch,
        }

    def handle(self, request: Request) -> Response:
        """Answer one request; block until its run has ended."""
        handler = self._handler_by_path.get((request.method, request.path))
        if handler is None:
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        return handler(request)

    def _run(self, request: Request) -> Response:
        request_id = request.header_by_name.get("HTTP_X_REQUEST_ID", "")
        with self._lock:
            now = self._clock()
            mode = self._faults.mode_at(now)
            if mode is Mode.DOWN:
                return refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, mode.value)
            service_s = self._rng.lognormvariate(self._mu, self._spread)
            service_s += self._faults.delay_at(now)
            admission = admit(
                self._state, request_id=request_id, service_s=service_s, now=now
            )
            self._state = admission.state
        wait_until(admission.ends_at, now)
        body = request_id.encode() + b"\n" + request.body
        lost = mode is Mode.LOSE_ANSWERS
        return Response(status=http.HTTPStatus.OK, body=body, lost=lost)

    def _health(self, request: Request) -> Response:
        mode = self._faults.mode_at(self._clock())
        if mode is Mode.DOWN:
            return refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, mode.value)
        return as_json(http.HTTPStatus.OK, {"mode": mode.value})

    def _runs(self, request: Request) -> Response:
        with self._lock:
            counts = dict(self._state.run_count_by_id)
        return as_json(http.HTTPStatus.OK, counts)

    def _switch(self, request: Request) -> Response:
        switch = _decode_switch(request.body)
        with self._lock:
            self._faults = self._faults.switched(switch, self._clock())
        return as_json(http.HTTPStatus.OK, {"mode": switch.mode.value})


def main(argv: list[str]) -> None:
    """Serve on the port given by the flags."""
    del argv
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    server = BackendServer(
        slots=FLAGS.slots, mean_s=FLAGS.mean_s, spread=FLAGS.spread, seed=FLAGS.seed
    )
    serve(make_server(handle=server.handle, port=FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 7100, "Port on 127.0.0.1.")
    flags.DEFINE_integer(
        "slots", DEFAULT_SLOTS, "Maximum requests that run at the same time."
    )
    flags.DEFINE_float("mean_s", DEFAULT_MEAN_S, "Mean service time in seconds.")
    flags.DEFINE_float(
        "spread", DEFAULT_SPREAD, "Sigma of the log-normal service time."
    )
    flags.DEFINE_integer("seed", 1, "Seed of the service times.")
    app.run(main)
