"""An executor of the platform on loopback, written from PROTOCOL.md.

One process is one life of an executor. It announces itself to the agent of its
machine, starts, stops and lists runs, and keeps its lease on its own steady clock. The
``Spec`` of a job is JSON; ``seconds`` is the duration of a task, ``lasts`` marks one
that runs until it is stopped. Every event is appended to a file as a line of JSON.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import signal
import sys
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HOST = "127.0.0.1"
TICK_S = 0.01
MAX_LISTED_ENDS = 500
MAX_WAIT_MS = 2_000
HEARTBEAT_TIMEOUT_S = 1.0
STARTUP_S = 0.4
DRAIN_S = 3.0


@dataclass(kw_only=True)
class Run:
    """A run in progress; `left_s` is the work that is left."""

    task: str
    run: int
    left_s: float
    total_s: float
    lasts: bool
    cpu: int
    saved: str
    started_at: float
    pace: float = 1.0
    unsaved_s: float = 0.0
    stop_at: float | None = None


class Executor:
    """One life of an executor; a single lock protects it."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.config = config
        self.born = int(time.time() * 1_000)
        self.started_at = time.monotonic()
        self.changed = threading.Condition()
        self.runs: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self.ended = 0
        self.highest_run: dict[str, int] = {}
        self.fence = 0
        self.lease_ms = 0
        self.sequence = 0
        self.leaving_at: float | None = None
        self._advanced_at = time.monotonic()
        self._record = pathlib.Path(config["record"])

    def record(self, what: str, **fields: Any) -> None:
        """Append an event to the record."""
        line = {
            "at": round(time.monotonic(), 4),
            "what": what,
            "host": self.config["host"],
            "id": self.config["id"],
            "born": self.born,
            **fields,
        }
        with self._record.open("a") as output:
            output.write(json.dumps(line) + "\n")

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.started_at) * 1_000)

    def advance(self) -> None:
        """Let the runs work, and end those that are due."""
        with self.changed:
            now = time.monotonic()
            elapsed_s, self._advanced_at = now - self._advanced_at, now
            lapsed = self.clock_ms() >= self.lease_ms
            for run in list(self.runs.values()):
                self._work(run, elapsed_s * run.pace)
                if run.stop_at is not None and now >= run.stop_at:
                    run.saved = self._checkpoint(run)
                    self._end(run, "stopped")
                elif run.left_s <= 0 and not run.lasts:
                    self._end(run, "done")
                elif lapsed:
                    self._end(run, "lapsed")

    def _work(self, run: Run, work_s: float) -> None:
        run.left_s -= work_s
        run.unsaved_s += work_s
        if run.unsaved_s >= self.config["checkpoint_s"]:
            run.unsaved_s = 0.0
            run.saved = self._checkpoint(run)

    def _checkpoint(self, run: Run) -> str:
        """Return the work done in milliseconds and a random part, 16 digits."""
        done_ms = int(max(0.0, run.total_s - run.left_s) * 1_000)
        return f"{done_ms:08x}{os.urandom(4).hex()}"

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.ended += 1
        self.ends.append([self.ended, run.task, run.run, how, run.saved])
        self.record("end", task=run.task, run=run.run, how=how, number=self.ended)
        self.changed.notify_all()

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Handle ``run-start``."""
        task, number = body["Task"], body["RunId"]
        with self.changed:
            if body.get("FencingToken", 0) < self.fence:
                return 409, {"Reason": "fence"}
            self.fence = body.get("FencingToken", 0)
            known = self.runs.get(task)
            if known is not None and known.run == number:
                self._extend(body)
                return 200, {}
            if number <= self.highest_run.get(task, 0):
                self._extend(body)
                return 409, {"Reason": "old"}
            if body["DeadlineMs"] <= self.clock_ms():
                return 409, {"Reason": "late"}
            self._extend(body)
            spec = json.loads(body.get("Spec") or "{}")
            total_s = float(spec.get("seconds", 0.2))
            saved = body.get("Checkpoint", "")
            left_s = total_s - (int(saved[:8], 16) / 1_000 if saved else 0.0)
            self.highest_run[task] = number
            self.runs[task] = Run(
                task=task,
                run=number,
                left_s=left_s,
                total_s=total_s,
                lasts=bool(spec.get("lasts")),
                cpu=int(spec.get("cpu", 100)),
                saved=saved,
                started_at=time.monotonic(),
            )
            self.record("start", task=task, run=number, cpu=int(spec.get("cpu", 100)))
            return 200, {}

    def _extend(self, body: dict[str, Any]) -> None:
        longest = self.clock_ms() + self.config["max_hold_ms"]
        until = min(body.get("DeadlineMs") or 0, longest)
        self.lease_ms = max(self.lease_ms, until)

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Handle ``run-stop``; a run that is not there yet never starts."""
        task, number = body["Task"], body["RunId"]
        with self.changed:
            if body.get("FencingToken", 0) < self.fence:
                return 409, {"Reason": "fence"}
            self.highest_run[task] = max(number, self.highest_run.get(task, 0))
            run = self.runs.get(task)
            if run is not None and run.run == number and run.stop_at is None:
                run.stop_at = time.monotonic() + self.config["kill_ms"] / 2_000
            return 200, {}

    def pace(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Handle ``pace``."""
        with self.changed:
            run = self.runs.get(body["Task"])
            if run is not None and run.run == body["RunId"]:
                run.pace = body["Percent"] / 100
            return 200, {}

    def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Handle ``hold``: renew the lease, forget ends, and list."""
        wait_s = min(MAX_WAIT_MS, body.get("WaitMs", 0)) / 1_000
        with self.changed:
            if body.get("FencingToken", 0) < self.fence:
                return 409, {"Reason": "fence"}
            self._extend(body)
            noted = body.get("LastSeen", 0)
            if any(end[0] <= noted for end in self.ends):
                self.ends = [end for end in self.ends if end[0] > noted]
                self.record("noted", up_to=noted)
            if not self.ends:
                self.changed.wait(wait_s)
            listed = self.ends[:MAX_LISTED_ENDS]
            if listed:
                self.record("listed", up_to=listed[-1][0], unnoted=len(self.ends))
            running = [
                [run.task, run.run, run.saved, self._percent(run), run.cpu]
                for run in self.runs.values()
            ]
            return 200, {"Running": running, "Finished": [list(end) for end in listed]}

    def _percent(self, run: Run) -> int:
        if run.lasts:
            return 100 if time.monotonic() - run.started_at >= STARTUP_S else 50
        return max(0, min(99, int(100 * (1 - run.left_s / max(run.total_s, 0.001)))))

    def announcement(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        config = self.config
        body = {
            "Service": config["service"],
            "Addr": f"{HOST}:{config['dialled_port']}",
            "Zone": config["zone"],
            "Version": "v1",
            "Slots": 8,
            "State": "ready" if self.leaving_at is None else "draining",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": config["cpu"], "MemMb": config["mem_mb"], "Gpu": 0},
            "Labels": ["a", config["rack"]],
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
            "born": self.born,
        }
        if self.leaving_at is not None:
            left_s = max(0.0, self.leaving_at - time.monotonic())
            body["RemainingMs"] = int(left_s * 1_000)
        return body

    def announce(self, verb: str, body: dict[str, Any]) -> bool:
        """Send a heartbeat or the deregistration; return whether it got a 2xx."""
        host, _, port = self.config["agent"].rpartition(":")
        path = f"/v1/instances/{self.config['id']}/{verb}"
        connection = http.client.HTTPConnection(
            host, int(port), timeout=HEARTBEAT_TIMEOUT_S
        )
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("POST", path, json.dumps(body), headers)
            return 200 <= connection.getresponse().status < 300
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def live(self) -> None:
        """Send heartbeats until the planned end, then deregister and exit."""
        while True:
            self.announce("heartbeat", self.announcement())
            due = time.monotonic() + self.config["heartbeat_ms"] / 1_000
            while time.monotonic() < due:
                if self.leaving_at is not None and time.monotonic() >= self.leaving_at:
                    answered = self.announce("deregister", {"born": self.born})
                    self.record("leave", answered=answered)
                    os._exit(0)
                time.sleep(TICK_S)


class Handler(BaseHTTPRequestHandler):
    """Answers the calls of the agent."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    executor: Executor

    def do_POST(self) -> None:
        """Answer one call."""
        size = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(size) or b"{}")
        expected = self.headers.get("Expected-Instance")
        handler_by_path = {
            "/v1/run-start": self.executor.start,
            "/v1/run-stop": self.executor.stop,
            "/v1/hold": self.executor.hold,
            "/v1/pace": self.executor.pace,
        }
        handler = handler_by_path.get(self.path)
        if handler is None:
            status, answer = 404, {}
        elif expected not in (None, self.executor.config["id"]):
            status, answer = 421, {}
        else:
            status, answer = handler(body)
        clock = {"ClockMs": self.executor.clock_ms(), "born": self.executor.born}
        data = json.dumps({**clock, **answer}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""


class Server(ThreadingHTTPServer):
    """The server of one executor."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64


def main() -> None:
    """Run one life of an executor; the argument is the path of its settings."""
    executor = Executor(json.loads(pathlib.Path(sys.argv[1]).read_text()))
    Handler.executor = executor

    def drain(signum: int, frame: object) -> None:
        executor.leaving_at = time.monotonic() + DRAIN_S

    signal.signal(signal.SIGUSR1, drain)
    server = Server((HOST, executor.config["port"]), Handler)
    executor.record("born")
    for work in (server.serve_forever, executor.live):
        threading.Thread(target=work, daemon=True).start()
    while True:
        executor.advance()
        time.sleep(TICK_S)


if __name__ == "__main__":
    main()
