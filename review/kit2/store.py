"""The platform's row store, as PROTOCOL.md describes it, with its limits of sizes.

`python3 -m review.kit2.store PORT` serves it. `POST /operate` writes as an operator
does, and `POST /fault` sets how the calls of named clients end, by their port.
"""

from __future__ import annotations

import base64
import binascii
import sys
import threading
import time
from typing import Any

from review.kit2.web import serve

MAX_ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS_PER_READ = 500
TRANSACTION_S = 0.008
OPERATOR_TABLES = ("op", "servers")

Key = tuple[str, str, str]


def _key(raw: dict[str, Any]) -> Key:
    return raw["Table"], raw.get("part", ""), raw["Key"]


class Store:
    """Rows by key, each with its value (None: deleted) and version."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.rows: dict[Key, tuple[str | None, int]] = {}
        self.version = 0
        self.started_at = time.monotonic()
        self.largest: dict[str, int] = {}

    def _body(self, key: Key) -> dict[str, Any]:
        table, part, name = key
        value, version = self.rows.get(key, (None, 0))
        row: dict[str, Any] = {
            "Table": table,
            "part": part,
            "Key": name,
            "Ver": version,
        }
        if value is None:
            row["Deleted"] = True
            row["Ver"] = 0 if key not in self.rows else version
        else:
            row["Value"] = value
        return row

    def _answer(self, status: int, body: dict[str, Any]) -> tuple[int, Any]:
        now_ms = int((time.monotonic() - self.started_at) * 1_000)
        return status, {"NowMs": now_ms, **body}

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any,
        headers: dict[str, str],
    ) -> tuple[int, Any] | None:
        """Answer one call."""
        if path == "/largest":
            return 200, self.largest
        if path == "/operate":
            return self.transact(body, by_operator=True)
        if path == "/v1/rows-tx":
            if int(headers.get("content-length", 0)) > MAX_CALL_BYTES:
                return 400, {"Error": "over 1 MB"}
            time.sleep(TRANSACTION_S)
            return self.transact(body, by_operator=False)
        if path == "/v1/rows-get":
            return self.read(query)
        if path == "/v1/rows-feed":
            return self.feed(query)
        return 404, {}

    def transact(self, raw: Any, *, by_operator: bool) -> tuple[int, Any]:
        """Apply a transaction, or none of it."""
        expected = raw.get("ExpectedRev") or []
        upserts = raw.get("Upserts") or []
        deletes = raw.get("Deletes") or []
        entries = [*expected, *upserts, *deletes]
        if len(entries) > MAX_ENTRIES:
            return 400, {"Error": "too many entries"}
        if len({entry.get("part", "") for entry in entries}) > 1:
            return 400, {"Error": "several parts"}
        written = {entry["Table"] for entry in (*upserts, *deletes)}
        if not by_operator and written & set(OPERATOR_TABLES):
            return 403, {}
        for entry in upserts:
            try:
                size = len(base64.b64decode(entry["Value"], validate=True))
            except binascii.Error:
                return 400, {"Error": "no base64"}
            self.largest[entry["Key"]] = max(size, self.largest.get(entry["Key"], 0))
            if size > MAX_ROW_BYTES:
                print(f"{time.time():.3f} refused row {_key(entry)} {size}", flush=True)
                return 400, {"Error": f"{entry['Key']}: {size} > {MAX_ROW_BYTES}"}
        with self.changed:
            for entry in expected:
                value, version = self.rows.get(_key(entry), (None, 0))
                if (version if value is not None else 0) != entry["Ver"]:
                    rows = [self._body(_key(each)) for each in expected]
                    return self._answer(412, {"rows": rows})
            self.version += 1
            for entry in upserts:
                self.rows[_key(entry)] = (entry["Value"], self.version)
            for entry in deletes:
                self.rows[_key(entry)] = (None, self.version)
            self.changed.notify_all()
            return self._answer(200, {"Ver": self.version})

    def read(self, query: dict[str, str]) -> tuple[int, Any]:
        """Return a page of rows."""
        first, end = query.get("From", ""), query.get("To", "")
        limit = int(query.get("Limit") or MAX_ROWS_PER_READ)
        with self.changed:
            keys = sorted(
                key
                for key, (value, _) in self.rows.items()
                if key[:2] == (query["Table"], query.get("part", ""))
                and value is not None
                and key[2] >= first
                and (not end or key[2] < end)
            )
            page: list[dict[str, Any]] = []
            size = 0
            for key in keys:
                row = self._body(key)
                size += len(row["Value"])
                if len(page) >= limit or (page and size > MAX_CALL_BYTES):
                    break
                page.append(row)
            more = len(page) < len(keys)
            body = {"rows": page, "HasMore": more, "Ver": self.version}
            return self._answer(200, body)

    def feed(self, query: dict[str, str]) -> tuple[int, Any]:
        """Wait for changes of a table."""
        after = int(query.get("After") or 0)
        until = time.monotonic() + min(30.0, int(query.get("WaitMs") or 0) / 1_000)
        with self.changed:
            while True:
                found = sorted(
                    (version, key)
                    for key, (_, version) in self.rows.items()
                    if key[0] == query["Table"] and version > after
                )
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            rows = [self._body(key) for _, key in found]
            return self._answer(200, {"rows": rows, "Ver": self.version})


def main() -> None:
    """Serve until killed."""
    serve(int(sys.argv[1]), Store().handle)
    threading.Event().wait()


if __name__ == "__main__":
    main()
