"""A small deployment on loopback: entries, agents, executors and the store.

The project's programs are started with the commands and the templates of ``deploy/``.
Only processes that the site has started are signalled, by their ids.
"""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Mapping
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
ZONES = {"ege-izmir": "ege", "marmara-gebze": "marmara", "ege-manisa": "ege"}
ROUTE_HOST = "oven.example"
PREFIX = "/push/"
SERVICE = "oven-conductor"
CLOSED_PORT = 9
START_TIMEOUT_S = 20.0
# The bounds of firinzeka-prod.
BOUNDS = {
    "MaxHoldMs": 10_000,
    "KillTimeoutMs": 900,
    "LeaseMs": 3_000,
    "CheckpointS": 1,
}
HEARTBEAT_MS = 1_100

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+|\.)\}\}")


def _lookup(fields: Any, path: str) -> Any:
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, Mapping) else None
    return value


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Fill in a template as DEPLOY.md tells, as far as ``deploy/`` needs it."""

    def section(match: re.Match[str]) -> str:
        value = _lookup(fields, match[1])
        if value in (None, False):
            return ""
        return render(match[2].replace("{{.}}", str(value)), fields)

    filled = _SECTION.sub(section, template)
    return _VALUE.sub(lambda match: str(_lookup(fields, match[1]) or ""), filled)


def free_ports(count: int) -> list[int]:
    """Return ports that are free, below the range of outgoing connections."""
    taken: list[socket.socket] = []
    while len(taken) < count:
        with contextlib.suppress(OSError):
            taken.append(socket.create_server((HOST, random.randrange(20_000, 32_000))))
    ports = [int(item.getsockname()[1]) for item in taken]
    for item in taken:
        item.close()
    return ports


class Site:
    """A running deployment; `close` ends all that it has started."""

    def __init__(
        self, case: pathlib.Path, *, entries: int, hosts: int, cpu: int = 32_000
    ) -> None:
        self.case = case
        self.cpu = cpu
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.entries = [f"edge-{number}" for number in range(entries)]
        self.hosts = [f"side-{number}" for number in range(hosts)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        names = ["store", "cloud", *self.hosts]
        names += [f"front {name}" for name in self.entries]
        names += [f"ready {name}" for name in self.entries]
        names += [f"links {name}" for name in self.hosts]
        names += [f"control {name}" for name in self.hosts]
        self.port = dict(zip(names, free_ports(len(names)), strict=True))
        self.heartbeats_to = {
            host: f"{HOST}:{self.port[f'control {host}']}" for host in self.hosts
        }
        # Where agents reach the executors; a case may put a proxy in between.
        self.dialled_port = {host: self.port[host] for host in self.hosts}
        # Where owners reach agents, if not where these listen.
        self.reached_at: dict[str, int] = {}
        # Where programs reach the store; a case may put a proxy in between.
        self.store_port = dict.fromkeys(
            (*self.entries, *self.hosts), self.port["store"]
        )
        self._lock = threading.Lock()
        self.lines: list[dict[str, Any]] = []
        self._version = 0

    def zone(self, name: str) -> str:
        """Return the zone of a machine."""
        return list(ZONES)[int(name.rpartition("-")[2]) % len(ZONES)]

    def record(self, what: str, **fields: Any) -> None:
        """Add a line to the record."""
        with self._lock:
            line = {"at": round(time.monotonic(), 4), "what": what, **fields}
            self.lines.append(line)

    def _spawn(self, name: str, command: list[str]) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, stdout=output, stderr=output, cwd=ROOT, env=environment
            )

    def start(self) -> None:
        """Start the store, the programs and the executors."""
        port = str(self.port["store"])
        self._spawn("store", [sys.executable, "-m", "review.lib.store", port])
        self._wait_for_port(self.port["store"])
        self.configure()
        for name in (*self.hosts, *self.entries):
            self.start_program(name)
        for host in self.hosts:
            self.start_executor(host)
        for name in self.entries:
            self._wait_for_port(self.port[f"front {name}"])

    def _wait_for_port(self, port: int) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            with (
                contextlib.suppress(OSError),
                socket.create_connection((HOST, port), 0.5),
            ):
                return
            time.sleep(0.05)
        raise RuntimeError(f"nothing listens at port {port}")

    def _fields(self, name: str) -> dict[str, Any]:
        entry = name in self.entries
        listen = (
            {"Front": f"front {name}", "Ready": f"ready {name}"}
            if entry
            else {"Control": f"control {name}"}
        )
        return {
            "Node": name,
            "Ip": HOST,
            "Zone": self.zone(name),
            "Region": ZONES[self.zone(name)],
            "Service": SERVICE,
            "PortRange": [0 if entry else self.port[f"links {name}"]],
            "Recommendation": f"{HOST}:{CLOSED_PORT}",
            "Listen": {key: f"{HOST}:{self.port[at]}" for key, at in listen.items()},
            "Limits": {"CpuShare": 0.537, "Cores": 2},
            "Bounds": BOUNDS,
            "platform": {"Addr": f"{HOST}:{self.store_port[name]}"},
            "Cloud": {"Addr": f"{HOST}:{self.port['cloud']}"},
        }

    def start_program(self, name: str) -> None:
        """Start an entry or an agent with its command of the deploy file."""
        role = self.deploy["roles"]["entry" if name in self.entries else "agent"]
        settings = self.folder / f"{name}.toml"
        template = (ROOT / role["template"]).read_text()
        text = render(template, self._fields(name))
        if name in self.reached_at:
            text = f'reached_at = "{HOST}:{self.reached_at[name]}"\n{text}'
        settings.write_text(text)
        command = role["run"].split()
        command[0] = sys.executable
        self._spawn(name, [*command[:-1], str(settings)])
        self.record("program.start", name=name)

    def start_executor(self, host: str, *, life: int = 1, same_id: bool = False) -> str:
        """Start a life of the executor of a host; return the name of its process."""
        name = f"{host}.{life}"
        config = {
            "host": host,
            "id": f"i-{host}-{1 if same_id else life}",
            "port": self.port[host],
            "dialled_port": self.dialled_port[host],
            "agent": self.heartbeats_to[host],
            "service": SERVICE,
            "zone": self.zone(host),
            "rack": f"r-{host}",
            "cpu": self.cpu,
            "mem_mb": 128_000,
            "max_hold_ms": BOUNDS["MaxHoldMs"],
            "kill_ms": BOUNDS["KillTimeoutMs"],
            "checkpoint_s": BOUNDS["CheckpointS"],
            "heartbeat_ms": HEARTBEAT_MS,
            "record": str(self.folder / f"{host}.record"),
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        self._spawn(name, [sys.executable, "-m", "review.lib.executor", str(path)])
        return name

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal a process of the site."""
        self.processes[name].send_signal(number)
        self.record("signal", name=name, signal=number.name)

    def wait_ended(self, name: str, within_s: float) -> None:
        """Wait until a process has ended."""
        self.processes[name].wait(within_s)

    def operate(self, key: str, value: object | None) -> None:
        """Write a row of the operator's table, or drop it."""
        at = {"Table": "op", "part": "", "Key": key}
        body: dict[str, Any] = {"Deletes": [at]}
        if value is not None:
            data = base64.b64encode(json.dumps(value).encode()).decode()
            body = {"Upserts": [{**at, "Value": data}]}
        status, _ = self.call(self.port["store"], "POST", "/operate", body)
        self.record("operate", key=key, status=status)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        route = {
            "Name": "push",
            "Host": ROUTE_HOST,
            "PathPrefix": PREFIX,
            "Kind": "non_idempotent",
            "Service": SERVICE,
            "Priority": 0,
            "MaxAttempts": 3,
            "LatencyFactor": 1.5,
            "TargetLatencyMs": 400,
            "TimeoutMs": 3_000,
        }
        services = [{"Name": SERVICE, "MaxConns": 64, "EnforceCapacity": False}]
        body = {"Version": self._version, "Routes": [route], "Services": services}
        self.operate("config", body)

    def call(
        self,
        port: int,
        method: str,
        path: str,
        body: object | None = None,
        *,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send one request; the status is 0 if there was no answer."""
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
        headers = {"Host": ROUTE_HOST, "Deadline-Ms": str(int(timeout_s * 1_000))}
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body)
        try:
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            raw = answer.read()
            value = json.loads(raw) if raw else {}
            return answer.status, value if isinstance(value, dict) else {}
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()

    def job(
        self, method: str, job_id: str, body: object | None = None, *, entry: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request about a job to an entry."""
        port = self.port[f"front {self.entries[entry]}"]
        status, value = self.call(port, method, PREFIX + job_id, body)
        self.record(
            "client", method=method, job=job_id, status=status, state=value.get("State")
        )
        return status, value

    def submit(self, job_id: str, body: object, *, tries: int = 8) -> bool:
        """Hand a job in, with retries at the other entries; return if accepted."""
        for attempt in range(tries):
            entry = attempt % len(self.entries)
            status, _ = self.job("POST", job_id, body, entry=entry)
            if 200 <= status < 300:
                return True
            time.sleep(0.5)
        return False

    def owner(self) -> str:
        """Return the entry that the store has as the owner of the shard."""
        path = "/v1/rows-get?Table=owners&part=shard-0"
        _, value = self.call(self.port["store"], "GET", path)
        data = b"".join(
            base64.b64decode(row.get("Value", "")) for row in value.get("rows", [])
        )
        return next((name for name in self.entries if name.encode() in data), "")

    def states(self, job_ids: list[str]) -> dict[str, str]:
        """Ask for the states of jobs."""
        return {
            job_id: self.job("GET", job_id)[1].get("State", "") for job_id in job_ids
        }

    def seen(self) -> list[dict[str, Any]]:
        """Return what clients and executors have seen so far, by time."""
        lines = list(self.lines)
        for path in (*self.folder.glob("*.record"), self.folder / "store.log"):
            for text in path.read_text().splitlines() if path.exists() else ():
                with contextlib.suppress(ValueError):
                    line = json.loads(text)
                    if isinstance(line, dict) and "what" in line:
                        lines.append(line)
        return sorted(lines, key=lambda line: line["at"])

    def close(self, verdict: str = "") -> None:
        """End all processes, and write the record into the folder of the case."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10.0)
        with (self.case / "record.txt").open("w") as output:
            output.writelines(json.dumps(line) + "\n" for line in self.seen())
            output.write(verdict + "\n")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder)


def restarts(seen: list[dict[str, Any]]) -> list[str]:
    """Return the starts of tasks after a run had ended `done`.

    The end counts if `LastSeen` reached it, then or later.
    """
    noted: dict[tuple[str, int], int] = {}
    for line in seen:
        if line["what"] == "noted":
            life = (line["host"], line["born"])
            noted[life] = max(line["up_to"], noted.get(life, 0))
    done: dict[str, dict[str, Any]] = {}
    found: list[str] = []
    for line in seen:
        if line["what"] == "end" and line["how"] == "done":
            if line["number"] <= noted.get((line["host"], line["born"]), 0):
                done[line["task"]] = line
        elif line["what"] == "start" and line["task"] in done:
            end = done[line["task"]]
            found.append(
                f"{line['task']}: run {line['run']} began on {line['host']} at "
                f"{line['at']:.3f}, after run {end['run']} had ended done on "
                f"{end['host']} at {end['at']:.3f}, which was taken note of"
            )
    return found


def overlaps(seen: list[dict[str, Any]], gone: list[dict[str, Any]]) -> list[str]:
    """Return where two runs of one task ran at the same time.

    `gone` are the ends of executors' processes, with ``host`` and ``at``; what ran
    there ended with them.
    """
    running: dict[str, dict[tuple[str, int], float]] = {}
    found: list[str] = []
    for line in sorted([*seen, *gone], key=lambda item: item["at"]):
        if line["what"] == "start":
            others = running.setdefault(line["task"], {})
            for (host, run), at in others.items():
                found.append(
                    f"{line['task']}: run {line['run']} began on {line['host']} at "
                    f"{line['at']:.3f} while run {run} ran on {host} since {at:.3f}"
                )
            others[line["host"], line["run"]] = line["at"]
        elif line["what"] == "end":
            key = (line["host"], line["run"])
            running.get(line["task"], {}).pop(key, None)
        elif line["what"] in ("gone", "born"):
            for others in running.values():
                for key in [key for key in others if key[0] == line["host"]]:
                    del others[key]
    return found
