"""The object store over HTTP: ``python -m standins.object_store --port 7001``."""

from __future__ import annotations

import http
import threading
import time
from collections.abc import Callable
from dataclasses import replace

import msgspec
from absl import app, flags
from pyrsistent import PMap, pmap

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
OBJECTS_PATH = "/v1/objects/"

_decode_switch = msgspec.json.Decoder(Switch).decode


class ObjectStore:
    """Keeps the objects, protected by one lock, and answers requests."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._faults = Faults()
        self._object_by_key: PMap[str, bytes] = pmap()
        self._handler_by_method = {
            "PUT": self._put,
            "GET": self._get,
            "DELETE": self._delete,
        }

    def handle(self, request: Request) -> Response:
        """Answer one request, after the delay of the fault mode."""
        if request.path == "/switch":
            return self._switch(request)
        handler = self._handler_by_method.get(request.method)
        if handler is None or not request.path.startswith(OBJECTS_PATH):
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        now = self._clock()
        if self._faults.mode_at(now) is Mode.DOWN:
            return refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, "down")
        wait_until(now + self._faults.delay_at(now), now)
        response = handler(request.path.removeprefix(OBJECTS_PATH), request.body)
        lost = self._faults.mode_at(self._clock()) is Mode.LOSE_ANSWERS
        return replace(response, lost=lost)

    def _switch(self, request: Request) -> Response:
        switch = _decode_switch(request.body)
        with self._lock:
            self._faults = self._faults.switched(switch, self._clock())
        return as_json(http.HTTPStatus.OK, {"mode": switch.mode.value})

    def _put(self, key: str, body: bytes) -> Response:
        with self._lock:
            self._object_by_key = self._object_by_key.set(key, body)
        return Response(status=http.HTTPStatus.NO_CONTENT)

    def _get(self, key: str, body: bytes) -> Response:
        found = self._object_by_key.get(key)
        if found is None:
            return refusal(http.HTTPStatus.NOT_FOUND, key)
        return Response(status=http.HTTPStatus.OK, body=found)

    def _delete(self, key: str, body: bytes) -> Response:
        with self._lock:
            self._object_by_key = self._object_by_key.discard(key)
        return Response(status=http.HTTPStatus.NO_CONTENT)


def main(argv: list[str]) -> None:
    """Serve on the port given by the flags."""
    del argv
    serve(make_server(handle=ObjectStore().handle, port=FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 7001, "Port on 127.0.0.1.")
    app.run(main)
