"""A small deployment on loopback: the project's programs and its stand-ins.

The programs are started with the commands of `deploy/system.toml`. Like the platform,
the site starts a program again shortly after it has ended. Only processes that the
site has started are signalled, by their ids.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from typing import Any

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
QUEUE_HOST = "push.example"
QUEUE_PREFIX = "/push/"
SERVICE = "ovens"
DEADLINE_MS = 3_000
RESTART_DELAY_S = 0.5
FIRST_PORT, LAST_PORT = 20_000, 32_000


def free_ports(count: int) -> list[int]:
    """Return unused ports below the range that the system picks from."""
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        try:
            sockets.append(
                socket.create_server((HOST, random.randrange(FIRST_PORT, LAST_PORT)))
            )
        except OSError:
            continue
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self._lock:
            at = time.monotonic() - self.began_at
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def call(
    port: int,
    method: str,
    path: str,
    body: object = None,
    *,
    host: str = QUEUE_HOST,
    timeout_s: float = DEADLINE_MS / 1_000,
) -> tuple[int, Any]:
    """Make one HTTP call; the status is 0 without an answer, -1 if nothing was sent."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        connection.connect()
    except OSError:
        return -1, None
    try:
        headers = {"Host": host, "Deadline-Ms": str(DEADLINE_MS)}
        data = None if body is None else json.dumps(body).encode()
        if data is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, body=data, headers=headers)
        answer = connection.getresponse()
        raw = answer.read()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return answer.status, json.loads(raw)
    except ValueError:
        return answer.status, None


class Site:
    """Runs a store, entries, agents and executors, and records what they show."""

    def __init__(
        self,
        record: Record,
        *,
        entries: int = 2,
        hosts: int = 3,
        queue: dict[str, Any] | None = None,
        executor_flags: tuple[str, ...] = (),
    ) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-review-"))
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.agents = [f"agent-{number}" for number in range(hosts)]
        self.hosts = [f"host-{number}" for number in range(hosts)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ended_by_itself: list[str] = []
        self.observations: list[dict[str, Any]] = []
        self._queue = queue or {}
        self._executor_flags = executor_flags
        self._held: set[str] = set()
        self._offset_by_log: dict[pathlib.Path, int] = {}
        self._closing = False
        self._lock = threading.RLock()
        names = ["store"]
        names += [f"{kind} {e}" for e in self.entries for kind in ("callers", "ready")]
        names += [
            f"{kind} {a}" for a in self.agents for kind in ("links", "announcements")
        ]
        names += [f"server {host}" for host in self.hosts]
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        self._spawn(
            "store",
            [
                sys.executable,
                "-m",
                "standins.row_store",
                "--port",
                str(self.ports["store"]),
            ],
        )
        self._wait_for_port(self.ports["store"])
        self.configure()
        for name in (*self.entries, *self.agents):
            self.start_program(name)
        for host in self.hosts:
            self.start_executor(host)
        threading.Thread(target=self._restart_ended, daemon=True).start()
        until = time.monotonic() + 20.0
        while time.monotonic() < until:
            if all(self._is_ready(entry) for entry in self.entries):
                return
            time.sleep(0.1)
        raise RuntimeError("the entries did not become ready")

    def _is_ready(self, entry: str) -> bool:
        port = self.ports[f"ready {entry}"]
        return call(port, "GET", "/v1/readyz", timeout_s=1.0)[0] == 200

    def _spawn(self, name: str, command: list[str]) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self.record.write(f"start {name}, process {self.processes[name].pid}")

    def _wait_for_port(self, port: int) -> None:
        until = time.monotonic() + 10.0
        while time.monotonic() < until:
            try:
                socket.create_connection((HOST, port), 0.5).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing listens at port {port}")

    def start_program(self, name: str) -> None:
        """Start an entry or an agent by the command of its role."""
        role = "entry" if name in self.entries else "agent"
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name), encoding="utf-8")
        words = self._roles[role]["run"].split()
        words[words.index("--config") + 1] = str(path)
        with self._lock:
            self._held.discard(name)
            self._spawn(name, words)

    def _settings(self, name: str) -> str:
        zone = f"z{1 + int(name.rpartition('-')[2]) % 2}"
        lines = [
            f'role = "{"job-entry" if name in self.entries else "job-agent"}"',
            f'name = "{name}"',
            'region = "ege"',
            f'failure_domain = "{zone}"',
        ]
        if name in self.entries:
            lines += [
                f'callers = "{HOST}:{self.ports[f"callers {name}"]}"',
                f'ready = "{HOST}:{self.ports[f"ready {name}"]}"',
            ]
        else:
            lines += [
                f'service = "{SERVICE}"',
                f'links = "{HOST}:{self.ports[f"links {name}"]}"',
                f'announcements = "{HOST}:{self.ports[f"announcements {name}"]}"',
            ]
        lines += [
            "[store]",
            f'url = "http://{HOST}:{self.ports["store"]}"',
            "[limits]",
            "longest_lease_s = 6.0",
            "kill_s = 0.3",
            "longest_wait_s = 14.0",
        ]
        if name in self.entries:
            lines += [
                "turn_s = 3.0",
                "orders_within_s = 2.5",
                "[stop]",
                "notice_s = 3.0",
                "within_s = 2.0",
            ]
        return "\n".join(lines) + "\n"

    def start_executor(self, host: str) -> None:
        """Start the next incarnation of an executor."""
        agent = self.agents[self.hosts.index(host)]
        flags = [
            f"--port={self.ports[f'server {host}']}",
            f"--host={host}",
            f"--service={SERVICE}",
            f"--failure_domain=z{1 + self.hosts.index(host) % 2}",
            f"--rack=rack-{host}",
            f"--agent={HOST}:{self.ports[f'announcements {agent}']}",
            *self._executor_flags,
        ]
        self._spawn(host, [sys.executable, "-m", "standins.executor", *flags])

    def configure(self) -> None:
        """Store a configuration with one queue, as the operator."""
        queue = {
            "Name": "push",
            "Host": QUEUE_HOST,
            "PathPrefix": QUEUE_PREFIX,
            "Service": SERVICE,
            "Priority": 0,
            "MaxAttempts": 3,
            "LatencyFactor": 1.5,
            "TargetLatencyMs": 400,
            "TimeoutMs": 3_000,
            **self._queue,
        }
        body = {"Version": 3, "Routes": [queue], "Services": [{"Name": SERVICE}]}
        value = base64.b64encode(json.dumps(body).encode()).decode()
        row = {"Table": "op", "part": "", "Key": "config", "Value": value}
        status, _ = call(self.ports["store"], "POST", "/operate", {"Upserts": [row]})
        if status != 200:
            raise RuntimeError(f"the store answered {status} to the operator")

    def _restart_ended(self) -> None:
        """Start programs again that have ended, as the platform does."""
        ended_at: dict[str, float] = {}
        while not self._closing:
            time.sleep(0.05)
            for name in (*self.entries, *self.agents):
                with self._lock:
                    code = self.processes[name].poll()
                    if code is None or name in self._held or self._closing:
                        continue
                if name not in ended_at:
                    ended_at[name] = time.monotonic()
                    self.record.write(f"{name} ended by itself with code {code}")
                    self.ended_by_itself.append(name)
                if time.monotonic() - ended_at[name] >= RESTART_DELAY_S:
                    del ended_at[name]
                    self.start_program(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal a process; one that is killed stays down until it is started."""
        with self._lock:
            if number is signal.SIGKILL:
                self._held.add(name)
            self.processes[name].send_signal(number)
        self.record.write(f"signal {number.name} to {name}")
        if number is signal.SIGKILL:
            self.processes[name].wait(5.0)

    def ask(
        self, entry: str, method: str, job_id: str, body: object = None
    ) -> tuple[int, Any]:
        """Make a client's call to an entry, and record it with its answer."""
        port = self.ports[f"callers {entry}"]
        path = f"{QUEUE_PREFIX}{job_id}"
        status, answer = call(port, method, path, body)
        sent = "" if body is None else f" {json.dumps(body)}"
        self.record.write(f"{method} {path} at {entry}{sent}: {status} {answer}")
        return status, answer

    def ask_any(
        self, method: str, job_id: str, body: object = None, within_s: float = 20.0
    ) -> tuple[int, Any]:
        """Ask one entry after another until one answers with 2xx, 400, 404 or 410."""
        until = time.monotonic() + within_s
        status, answer = -1, None
        while time.monotonic() < until:
            for entry in self.entries:
                status, answer = self.ask(entry, method, job_id, body)
                if 200 <= status < 300 or status in (400, 404, 410):
                    return status, answer
            time.sleep(0.3)
        return status, answer

    def read_executors(self) -> list[dict[str, Any]]:
        """Read and record what the executors have written since the last time."""
        found: list[dict[str, Any]] = []
        for host in self.hosts:
            path = self.folder / f"{host}.log"
            if not path.exists():
                continue
            with path.open("rb") as log:
                log.seek(self._offset_by_log.get(path, 0))
                data = log.read()
            complete = data[: data.rfind(b"\n") + 1]
            self._offset_by_log[path] = self._offset_by_log.get(path, 0) + len(complete)
            for line in complete.splitlines():
                if line.startswith(b"{"):
                    found.append(json.loads(line))
        found.sort(key=lambda each: float(each["at"]))
        for each in found:
            at = float(each["at"]) - self.record.began_at
            self.record.write(f"executor at {at:.3f}: {json.dumps(each)}")
        self.observations.extend(found)
        return found

    def lines(self, name: str, word: str) -> list[str]:
        """Return the lines of a program's log that contain a word."""
        text = (self.folder / f"{name}.log").read_text("utf-8", "replace")
        return [line for line in text.splitlines() if word in line]

    def close(self) -> None:
        """End all processes and remove the folder of the run."""
        with self._lock:
            self._closing = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(5.0)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: pathlib.Path, run: Callable[[Site, Record, str], int], **more: Any
) -> int:
    """Run a case and return its exit code: 2 if it could not be run."""
    record = Record(folder)
    try:
        site = Site(record, **more)
    except Exception:
        record.write(traceback.format_exc())
        return 2
    try:
        return run(site, record, os.environ.get("TROUBLE", "1"))
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
        return 2
    finally:
        site.close()
