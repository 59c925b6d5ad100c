"""The executors of a site, as PROTOCOL.md describes them, in one process.

`python3 -m review.kit2.executors JSON` takes a list of executors (`name`, `port`,
`agent`, `zone`, `cpu`, `mem`) and bounds. Each start and end is a line of JSON on
standard output. The Spec of a job is JSON: `s` is the time that a task works.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import random
import sys
import threading
import time
import urllib.request
from dataclasses import dataclass
from typing import Any

from review.kit2.web import HOST, serve

HEARTBEAT_S = 0.5
# A process that isn't scheduled for so long was stopped.
MIN_SUSPENSION_S = 1.0
MAX_LISTED_ENDS = 500


def line(**fields: Any) -> None:
    """Write one line."""
    sys.stdout.write(json.dumps({"at": round(time.monotonic(), 4), **fields}) + "\n")
    sys.stdout.flush()


@dataclass
class Run:
    """A run at work or being stopped."""

    task: str
    run: int
    work_s: float
    done_s: float
    at: float
    saved: str
    stop_at: float | None = None
    lasts: bool = False
    measure: int = 0
    percent: int = 100
    # Of a gang: its size, and since when all its tasks are present.
    gang: int = 0
    together_at: float | None = None


class Executor:
    """One executor; `bounds` holds those of the deployment."""

    def __init__(self, raw: dict[str, Any], bounds: dict[str, Any]) -> None:
        self.raw, self.bounds = raw, bounds
        self.lock = threading.RLock()
        self.ended = threading.Condition(self.lock)
        self.paused_s = 0.0
        self.seen_at = time.monotonic()
        self.began = self.now()
        self.born = int(time.time() * 1_000)
        self.id = f"i-{raw['name']}-{self.born % 100_000:05d}"
        self.runs: dict[str, Run] = {}
        self.barred: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.number = 0
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0.0
        self.work_by_saved: dict[str, float] = {}

    def now(self) -> float:
        """Return the steady clock, which doesn't count a suspension of the machine.

        It is read at least each 20 ms while the machine runs.
        """
        with self.lock:
            now = time.monotonic()
            if now - self.seen_at > MIN_SUSPENSION_S:
                self.paused_s += now - self.seen_at
                line(what="woke", server=self.raw["name"], after=now - self.seen_at)
            self.seen_at = now
            return now - self.paused_s

    def clock_ms(self) -> int:
        """Return the executor's clock."""
        return int((self.now() - self.began) * 1_000)

    def _saved(self, run: Run, now: float) -> str:
        step_s = self.bounds["CheckpointS"]
        worked_s = run.done_s + (now - run.at)
        if worked_s - run.done_s < step_s:
            return run.saved
        whole_s = int(worked_s / step_s) * step_s
        text = hashlib.sha256(f"{run.task}.{run.run}.{whole_s}".encode()).hexdigest()
        self.work_by_saved[text[:16]] = whole_s
        WORK_BY_SAVED[text[:16]] = whole_s
        return text[:16]

    def advance(self) -> None:
        """End what is due."""
        with self.lock:
            now = self.now()
            if self.runs and self.clock_ms() >= self.lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed", now)
            for run in list(self.runs.values()):
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(run, "stopped", now)
                if run.gang and run.stop_at is None and run.together_at is None:
                    if now - run.at >= self.bounds["GangTimeoutMs"] / 1_000:
                        self._end(run, "alone", now)
                    continue
                began_at = run.at if run.together_at is None else run.together_at
                worked_s = run.done_s + now - began_at
                if run.stop_at is None and not run.lasts and worked_s >= run.work_s:
                    self._end(run, "done", now)

    def _end(self, run: Run, how: str, now: float) -> None:
        del self.runs[run.task]
        self.barred[run.task] = max(run.run, self.barred.get(run.task, 0))
        self.number += 1
        saved = "" if how == "done" else self._saved(run, now)
        self.ends.append([self.number, run.task, run.run, how, saved])
        line(what="end", server=self.raw["name"], task=run.task, run=run.run, how=how)
        self.ended.notify_all()

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any,
        headers: dict[str, str],
    ) -> tuple[int, Any] | None:
        """Answer one call of the agent."""
        if path == "/gang":
            return self._gang(body)
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        with self.lock:
            self.advance()
            token = int(body.get("FencingToken") or 0)
            if token < self.fence:
                return 409, {**self._head(), "Reason": "fence"}
            self.fence = token
            if path == "/v1/hold":
                return self._hold(body)
            if path == "/v1/run-start":
                return self._start(body)
            if path == "/v1/run-stop":
                return self._stop(body)
            if path == "/v1/pace":
                return self._pace(body)
        return 404, {}

    def _head(self) -> dict[str, Any]:
        return {"ClockMs": self.clock_ms(), "born": self.born}

    def _extend(self, deadline_ms: float | None) -> None:
        if deadline_ms is None:
            return
        longest = self.clock_ms() + self.bounds["MaxHoldMs"]
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        self._extend(body.get("DeadlineMs"))
        seen = int(body.get("LastSeen") or 0)
        while self.ends and self.ends[0][0] <= seen:
            _, task, run, how, _ = self.ends.pop(0)
            line(what="noted", server=self.raw["name"], task=task, run=run, how=how)
        until = self.now() + min(2_000, body.get("WaitMs") or 0) / 1_000
        while not self.ends:
            left = until - self.now()
            if left <= 0:
                break
            self.ended.wait(min(left, 0.05))
        now = self.now()
        running = [
            [run.task, run.run, self._saved(run, now), run.percent, _measure(run)]
            for run in self.runs.values()
        ]
        ends = self.ends[:MAX_LISTED_ENDS]
        return 200, {**self._head(), "Running": running, "Finished": ends}

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["Task"], body["RunId"]
        known = self.runs.get(task)
        if known is not None and known.run == number:
            self._extend(body.get("DeadlineMs"))
            return 200, self._head()
        if known is not None or number <= self.barred.get(task, 0):
            self._extend(body.get("DeadlineMs"))
            return 409, {**self._head(), "Reason": "old"}
        if (body.get("DeadlineMs") or 0) <= self.clock_ms():
            return 409, {**self._head(), "Reason": "late"}
        self._extend(body.get("DeadlineMs"))
        spec = json.loads(body.get("Spec") or "{}")
        saved = body.get("Checkpoint") or ""
        self.runs[task] = Run(
            task=task,
            run=number,
            work_s=float(spec.get("s", 1.0)),
            done_s=WORK_BY_SAVED.get(saved, 0.0),
            at=self.now(),
            saved=saved,
            lasts=bool(spec.get("lasts")),
            gang=int(spec.get("gang", 0)),
            measure=int(spec.get("measure", 0)),
        )
        line(what="start", server=self.raw["name"], task=task, run=number)
        return 200, self._head()

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["Task"], body["RunId"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run <= number and run.stop_at is None:
            run.stop_at = self.now() + self.bounds["KillTimeoutMs"] / 2_000
        return 200, self._head()

    def _gang(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Let the members of a gang work, or end as broken; the test bed says so."""
        with self.lock:
            now = self.now()
            for run in list(self.runs.values()):
                step = run.task.rpartition(".")[0]
                if (step, run.run) != (body["step"], body["run"]) or not run.gang:
                    continue
                if body["broken"]:
                    self._end(run, "broken", now)
                elif run.together_at is None:
                    run.together_at = now
        return 200, {}

    def _pace(self, body: dict[str, Any]) -> tuple[int, Any]:
        run = self.runs.get(body["Task"])
        if run is not None and run.run == body["RunId"]:
            run.percent = int(body["Percent"])
        return 200, self._head()

    def beat(self) -> None:
        """Send one heartbeat."""
        raw = self.raw
        self.sequence += 1
        body = {
            "Service": raw["service"],
            "Addr": f"{HOST}:{raw['port']}",
            "Zone": raw["zone"],
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": raw["cpu"], "MemMb": raw["mem"], "Gpu": 0},
            "Labels": ["a", raw["rack"]],
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
            "born": self.born,
        }
        request = urllib.request.Request(
            f"http://{raw['agent']}/v1/instances/{self.id}/heartbeat",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            method="POST",
        )
        with contextlib.suppress(OSError):
            urllib.request.urlopen(request, timeout=1.0).read()


def _measure(run: Run) -> int:
    """Return the tail latency or the processors in use, which vary by a quarter."""
    return round(run.measure * random.uniform(0.75, 1.25) * run.percent / 100)


WORK_BY_SAVED: dict[str, float] = {}


def main() -> None:
    """Serve all executors until killed."""
    plan = json.loads(sys.argv[1])
    executors = [Executor(raw, plan["bounds"]) for raw in plan["executors"]]

    def beats(executor: Executor) -> None:
        while True:
            executor.beat()
            time.sleep(HEARTBEAT_S)

    for executor in executors:
        serve(executor.raw["port"], executor.handle)
        threading.Thread(target=beats, args=(executor,), daemon=True).start()
    while True:
        for executor in executors:
            executor.advance()
        time.sleep(0.02)


if __name__ == "__main__":
    main()
