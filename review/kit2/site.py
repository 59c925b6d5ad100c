"""A small deployment on loopback: the programs of the deploy file and stand-ins."""

from __future__ import annotations

import base64
import contextlib
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
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
QUEUE_HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "oven-conductor"
# Those of firinzeka-prod.
BOUNDS: dict[str, Any] = {
    "MaxHoldMs": 10_000,
    "KillTimeoutMs": 900,
    "finish_s": 14,
    "LeaseMs": 3_000,
    "CheckpointS": 1,
    "GangTimeoutMs": 3_000,
}
RESTART_S = 0.5


def free_ports(count: int) -> list[int]:
    """Return unused ports below the range of outgoing connections."""
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        try:
            port = random.randrange(20_000, 32_000)
            sockets.append(socket.create_server((HOST, port)))
        except OSError:
            continue
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Proxy:
    """Passes connections on; while it is cut, all bytes and connections wait."""

    def __init__(self, target: int) -> None:
        self.target = target
        self._open = threading.Event()
        self._open.set()
        self._server = socket.create_server((HOST, 0))
        self.port = int(self._server.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, off: bool) -> None:
        """Hold everything back, or let it go on."""
        if off:
            self._open.clear()
        else:
            self._open.set()

    def _accept(self) -> None:
        while True:
            client, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        self._open.wait()
        try:
            server = socket.create_connection((HOST, self.target))
        except OSError:
            client.close()
            return
        for each in (client, server):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pass, args=(client, server), daemon=True).start()
        self._pass(server, client)

    def _pass(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self._open.wait()
                target.sendall(data)
        self._open.wait()
        for each in (source, target):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)


class Site:
    """The processes of a run, which are all ended by `close`."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        entries: int,
        hosts: int,
        cpu: int,
        mem: int,
        apart: bool = False,
    ) -> None:
        """Choose ports; with `apart` each executor has a process of its own."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.record_path = folder / "record.txt"
        self._record = self.record_path.open("w")
        self._lock = threading.Lock()
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.wanted: set[str] = set()
        self.entries = [f"edge-{number}" for number in range(entries)]
        self.hosts = [f"side-{number}" for number in range(hosts)]
        self.zones = [f"zone-{number}" for number in range(3)]
        self.cpu, self.mem, self.apart = cpu, mem, apart
        self.cut_by_host: dict[str, tuple[Proxy, Proxy]] = {}
        ports = iter(free_ports(1 + 2 * entries + 3 * hosts))
        self.store_port = next(ports)
        self.port_by_kind: dict[str, int] = {}
        for name in self.entries:
            for kind in ("callers", "ready"):
                self.port_by_kind[f"{kind} {name}"] = next(ports)
        for name in self.hosts:
            for kind in ("links", "announcements", "server"):
                self.port_by_kind[f"{kind} {name}"] = next(ports)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
        }
        self.began = time.monotonic()

    def note(self, **fields: Any) -> None:
        """Write a line to the record."""
        with self._lock:
            at = round(time.monotonic(), 3)
            self._record.write(json.dumps({"at": at, **fields}) + "\n")
            self._record.flush()

    def _start(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=self.environment,
            )

    def start_program(self, name: str) -> None:
        """Start an entry or an agent with the command of the deploy file."""
        role = "entry" if name in self.entries else "agent"
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, role))
        run = str(self.deploy["roles"][role]["run"]).split(" ")
        place = run.index("--config") + 1
        command = [sys.executable, *run[1:place], str(path), *run[place + 1 :]]
        self.wanted.add(name)
        self._start(name, command)

    def _settings(self, name: str, role: str) -> str:
        number = int(name.rpartition("-")[2])
        zone = self.zones[number % len(self.zones)]
        lines = [f'role = "job-{role}"', f'name = "{name}"', 'region = "ege"']
        lines.append(f'failure_domain = "{zone}"')
        port = self.port_by_kind
        if role == "entry":
            lines.append(f'callers = "{HOST}:{port[f"callers {name}"]}"')
            lines.append(f'ready = "{HOST}:{port[f"ready {name}"]}"')
        else:
            lines.append(f'service = "{SERVICE}"')
            lines.append(f'links = "{HOST}:{port[f"links {name}"]}"')
            lines.append(f'announcements = "{HOST}:{port[f"announcements {name}"]}"')
        store_port = self.store_port
        if name in self.cut_by_host:
            links, store = self.cut_by_host[name]
            lines.append(f'reached_at = "{HOST}:{links.port}"')
            store_port = store.port
        lines += ["[store]", f'url = "http://{HOST}:{store_port}"', "[limits]"]
        lines.append(f"longest_lease_s = {BOUNDS['MaxHoldMs']}e-3")
        lines.append(f"kill_s = {BOUNDS['KillTimeoutMs']}e-3")
        lines.append(f"longest_wait_s = {BOUNDS['finish_s']}e0")
        if role == "entry":
            lines.append(f"turn_s = {BOUNDS['LeaseMs']}e-3")
            lines += ["[stop]", "notice_s = 3.0", "within_s = 2.0"]
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        """Start the store, the programs and the executors, and write the config."""
        store = [sys.executable, "-m", "review.kit2.store", str(self.store_port)]
        self._start("store", store)
        self._wait_port(self.store_port)
        self.configure()
        for name in (*self.entries, *self.hosts):
            self.start_program(name)
        executors = [
            {
                "name": name,
                "port": self.port_by_kind[f"server {name}"],
                "agent": f"{HOST}:{self.port_by_kind[f'announcements {name}']}",
                "zone": self.zones[number % len(self.zones)],
                "rack": f"r1-{number // 3}",
                "service": SERVICE,
                "cpu": self.cpu,
                "mem": self.mem,
            }
            for number, name in enumerate(self.hosts)
        ]
        groups = [[each] for each in executors] if self.apart else [executors]
        for group in groups:
            plan = json.dumps({"executors": group, "bounds": BOUNDS})
            name = f"executors-{group[0]['name']}"
            self._start(name, [sys.executable, "-m", "review.kit2.executors", plan])
        for name in self.entries:
            self._wait_port(self.port_by_kind[f"callers {name}"])
        threading.Thread(target=self._keep_up, daemon=True).start()

    def _keep_up(self) -> None:
        """Start programs again that have ended, as the platform does."""
        while True:
            time.sleep(RESTART_S)
            for name in list(self.wanted):
                process = self.process_by_name[name]
                if process.poll() is not None and name in self.wanted:
                    self.note(what="ended", program=name, code=process.returncode)
                    self.start_program(name)

    def _wait_port(self, port: int) -> None:
        until = time.monotonic() + 20.0
        while time.monotonic() < until:
            try:
                socket.create_connection((HOST, port), timeout=1.0).close()
                return
            except OSError:
                time.sleep(0.1)
        raise RuntimeError(f"nothing listens at port {port}")

    def let_cut(self, host: str) -> None:
        """Put proxies between the agent of a host and the entries and the store."""
        links = Proxy(self.port_by_kind[f"links {host}"])
        self.cut_by_host[host] = (links, Proxy(self.store_port))

    def cut(self, host: str, *, off: bool) -> None:
        """Cut a host off from the entries and the store, or end the cut."""
        self.note(what="cut" if off else "cut ends", host=host)
        for proxy in self.cut_by_host[host]:
            proxy.cut(off)

    def configure(self) -> None:
        """Write the configuration."""
        route = {
            "Name": "tune",
            "Host": QUEUE_HOST,
            "PathPrefix": PREFIX,
            "Service": SERVICE,
            "Priority": 0,
            "MaxAttempts": 3,
            "LatencyFactor": 2.0,
            "TargetLatencyMs": 1_000,
            "TimeoutMs": 3_000,
        }
        body = {
            "Version": 3,
            "Routes": [route],
            "Services": [{"Name": SERVICE, "EnforceCapacity": False}],
        }
        value = base64.b64encode(json.dumps(body).encode()).decode()
        put = {"Table": "op", "part": "", "Key": "config", "Value": value}
        self.ask(self.store_port, "POST", "/operate", {"Upserts": [put]})

    def ask(
        self,
        port: int,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, Any]:
        """Send one request; the status is 0 if there was no answer."""
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
        headers = {
            "Host": QUEUE_HOST,
            "Deadline-Ms": str(int(timeout_s * 1_000)),
            "Content-Type": "application/json",
        }
        try:
            data = None if body is None else json.dumps(body).encode()
            connection.request(method, path, body=data, headers=headers)
            answer = connection.getresponse()
            text = answer.read()
            return answer.status, json.loads(text) if text else None
        except (OSError, ValueError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def call(
        self, method: str, job: str, body: Any = None, entry: str = ""
    ) -> tuple[int, Any]:
        """Call an entry as a client does, and record it."""
        name = entry or random.choice(self.entries)
        port = self.port_by_kind[f"callers {name}"]
        status, answer = self.ask(port, method, f"{PREFIX}{job}", body)
        self.note(
            what="call", method=method, job=job, entry=name, status=status, body=answer
        )
        return status, answer

    def submit(self, job: str, body: Any, attempts: int = 8) -> bool:
        """Submit a job until it is accepted."""
        for _ in range(attempts):
            status, _ = self.call("POST", job, body)
            if 200 <= status < 300:
                return True
            if status == 400:
                return False
            time.sleep(0.5)
        return False

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal a process of this run."""
        self.note(what="signal", program=name, signal=number.name)
        self.process_by_name[name].send_signal(number)

    def keep_gangs(self, size: int) -> None:
        """Tell the executors when all tasks of a run of a gang are present.

        Once a task of a gang that works has ended otherwise than `done`, the others
        end as broken.
        """
        threading.Thread(target=self._keep_gangs, args=(size,), daemon=True).start()

    def _keep_gangs(self, size: int) -> None:
        present: dict[tuple[str, int], set[str]] = {}
        together: set[tuple[str, int]] = set()
        files = [path.open() for path in self.folder.glob("executors-*.log")]
        while self.wanted:
            for text in (text for each in files for text in each):
                with contextlib.suppress(ValueError):
                    each = json.loads(text)
                    key = (each.get("task", "").rpartition(".")[0], each.get("run", 0))
                    if each["what"] == "start":
                        present.setdefault(key, set()).add(each["task"])
                    elif each["what"] == "end":
                        present.get(key, set()).discard(each["task"])
                        if key in together and each["how"] not in ("done", "broken"):
                            self._tell_gang(key, broken=True)
            for key, tasks in present.items():
                if len(tasks) == size and key not in together:
                    together.add(key)
                    self.note(what="gang together", step=key[0], run=key[1])
                    self._tell_gang(key, broken=False)
            time.sleep(0.02)

    def _tell_gang(self, key: tuple[str, int], *, broken: bool) -> None:
        body = {"step": key[0], "run": key[1], "broken": broken}
        for host in self.hosts:
            self.ask(self.port_by_kind[f"server {host}"], "POST", "/gang", body)

    def memory_mb(self) -> dict[str, int]:
        """Return the resident memory of the entries."""
        found = {}
        for name in self.entries:
            pid = self.process_by_name[name].pid
            for text in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
                if text.startswith("VmRSS:"):
                    found[name] = int(text.split()[1]) // 1_024
        return found

    def lines(self) -> list[dict[str, Any]]:
        """Return what the executors have written."""
        found = []
        for path in self.folder.glob("executors-*.log"):
            for text in path.read_text().splitlines():
                if text.startswith("{"):
                    with contextlib.suppress(ValueError):
                        found.append(json.loads(text))
        return sorted(found, key=lambda each: float(each["at"]))

    def idle_jobs(
        self, accepted: dict[str, float], tasks: int, since: float, idle_s: float
    ) -> list[str]:
        """Return the jobs that are not done and had nothing running for `idle_s`.

        Each job has that many `tasks`; only the time from `since` until now counts.
        """
        now = time.monotonic()
        events: dict[str, list[tuple[float, int]]] = {}
        done: dict[str, set[str]] = {}
        for each in self.lines():
            if each["what"] not in ("start", "end"):
                continue
            job = each["task"].partition(".")[0]
            step = 1 if each["what"] == "start" else -1
            events.setdefault(job, []).append((each["at"], step))
            if each.get("how") == "done":
                done.setdefault(job, set()).add(each["task"])
        idle = []
        for job, accepted_at in accepted.items():
            if len(done.get(job, ())) == tasks:
                continue
            running, free_at = 0, max(since, accepted_at)
            for at, step in events.get(job, []):
                running += step
                if not running:
                    free_at = max(free_at, at)
            if not running and now - free_at >= idle_s:
                idle.append(job)
        return idle

    def close(self) -> None:
        """End all processes, and add what the executors wrote to the record."""
        self.wanted.clear()
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self.process_by_name.values():
            process.wait(10.0)
        for each in self.lines():
            self._record.write(json.dumps(each) + "\n")
        store_log = self.folder / "store.log"
        if store_log.exists():
            for text in store_log.read_text().splitlines()[:200]:
                self._record.write(json.dumps({"store": text}) + "\n")
        self._record.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"
