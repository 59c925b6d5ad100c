"""The project's stand-in of the platform's store, with the limits of PROTOCOL.md.

A value may have `MaxRowBytes` bytes and a call 1 MB; what is larger gets 400, as any
other invalid call. The largest accepted and the refused values are reported.
"""

from __future__ import annotations

import base64
import http
import json
import sys
import time
from typing import Any

import msgspec

from standins.row_store import RowStoreServer
from standins.web import Request, Response, make_server, refusal, serve

MAX_ROW_BYTES = 65_536
MAX_CALL_BYTES = 1_000_000


class LimitedStore:
    """Checks the sizes of transactions, and passes the rest on."""

    def __init__(self) -> None:
        self._store = RowStoreServer()

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/v1/rows-tx":
            defect = self._defect(request)
            if defect:
                line = {"at": round(time.monotonic(), 4), "what": "store.refused"}
                print(json.dumps({**line, "why": defect}), flush=True)
                return refusal(http.HTTPStatus.BAD_REQUEST, defect)
        return self._store.handle(request)

    def _defect(self, request: Request) -> str:
        if len(request.body) > MAX_CALL_BYTES:
            return f"the call has {len(request.body)} bytes"
        raw: dict[str, Any] = msgspec.json.decode(request.body)
        for put in raw.get("Upserts") or ():
            size = len(base64.b64decode(put["Value"]))
            if size > MAX_ROW_BYTES:
                return f"{put['Table']}/{put['Key']} has {size} bytes"
        return ""


def main() -> None:
    """Serve on the port given as the argument."""
    serve(make_server(handle=LimitedStore().handle, port=int(sys.argv[1])))


if __name__ == "__main__":
    main()
