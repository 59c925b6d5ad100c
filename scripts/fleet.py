"""Runs a deployment on loopback: stand-ins, entries and agents as processes.

The settings are those of ``config/DEPLOYMENT`` with every address replaced by a
port on 127.0.0.1. Only processes that the fleet has started are ended, by their ids.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
STARTUP_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
CONNECT_RETRY_DELAY_S = 0.1
FIRST_PORT = 20_000
LAST_PORT = 32_000


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryPorts:
    """The ports of one entry."""

    name: str
    links: int
    callers: int
    operators: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentPorts:
    """The ports of one agent and of its backend server."""

    name: str
    health: int
    backend_server: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """The sample settings to run and the ports to use."""

    deployment: str
    table_service: int
    object_store: int
    workers: int
    entries: tuple[EntryPorts, ...]
    agents: tuple[AgentPorts, ...]

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """URLs at which callers reach the entries."""
        return tuple(f"http://{HOST}:{entry.callers}" for entry in self.entries)

    @property
    def operator_urls(self) -> tuple[str, ...]:
        """URLs at which operators reach the entries."""
        return tuple(f"http://{HOST}:{entry.operators}" for entry in self.entries)

    @property
    def backend_urls(self) -> tuple[str, ...]:
        """URLs of the backend servers."""
        return tuple(f"http://{HOST}:{agent.backend_server}" for agent in self.agents)


@dataclass(frozen=True, kw_only=True, slots=True)
class Program:
    """A started process and the file of its output."""

    name: str
    process: subprocess.Popen[bytes]
    log: pathlib.Path


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that are currently unused.

    They are below the kernel's range of ports for outgoing connections, so that no
    such connection can take a port before its process starts.
    """
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        with contextlib.suppress(OSError):
            port = random.randrange(FIRST_PORT, LAST_PORT)
            sockets.append(socket.create_server((HOST, port)))
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


def make_layout(
    deployment: str, entries: Iterable[str], agents: Iterable[str]
) -> Layout:
    """Choose ports for the named entries and agents of a deployment."""
    names, agent_names = list(entries), list(agents)
    ports = iter(free_ports(3 + 3 * len(names) + 2 * len(agent_names)))
    return Layout(
        deployment=deployment,
        table_service=next(ports),
        object_store=next(ports),
        workers=next(ports),
        entries=tuple(
            EntryPorts(
                name=name,
                links=next(ports),
                callers=next(ports),
                operators=next(ports),
            )
            for name in names
        ),
        agents=tuple(
            AgentPorts(name=name, health=next(ports), backend_server=next(ports))
            for name in agent_names
        ),
    )


def read_sample_settings(deployment: str, name: str) -> dict[str, Any]:
    """Read the sample settings of a process."""
    path = ROOT / "config" / deployment / f"{name}.toml"
    return tomllib.loads(path.read_text())


def entry_settings(layout: Layout, ports: EntryPorts) -> dict[str, Any]:
    """Return an entry's sample settings with its addresses on loopback."""
    raw = read_sample_settings(layout.deployment, ports.name)
    raw["links"] = {"host": HOST, "port": ports.links}
    raw["callers"].update(host=HOST, port=ports.callers)
    raw["operators"].update(host=HOST, port=ports.operators)
    raw["table_service"]["url"] = f"http://{HOST}:{layout.table_service}"
    raw["stop"]["notice_s"] = 0.2
    return raw


def agent_settings(layout: Layout, ports: AgentPorts) -> dict[str, Any]:
    """Return an agent's sample settings with its addresses on loopback."""
    raw = read_sample_settings(layout.deployment, ports.name)
    raw["seeds"] = [f"{HOST}:{layout.entries[0].links}"]
    raw["health"].update(host=HOST, port=ports.health)
    raw["backend_server"]["url"] = f"http://{HOST}:{ports.backend_server}"
    return raw


def to_toml(raw: Mapping[str, Any]) -> str:
    """Format settings as TOML; a table may not contain another table."""
    plain = [
        f"{key} = {json.dumps(value)}"
        for key, value in raw.items()
        if type(value) is not dict
    ]
    tables = [
        "\n".join([f"\n[{key}]", *(f"{k} = {json.dumps(v)}" for k, v in value.items())])
        for key, value in raw.items()
        if type(value) is dict
    ]
    return "\n".join([*plain, *tables]) + "\n"


def sample_records(layout: Layout) -> list[dict[str, Any]]:
    """Read the sample records ordered by file name, with the workers on loopback."""
    folder = ROOT / "config" / layout.deployment / "records"
    loaded = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    for record in loaded:
        for worker in record.get("workers", []):
            name = worker["worker_id"]
            worker["url"] = f"http://{HOST}:{layout.workers}/w/{name}"
    return loaded


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """The processes of a layout; `folder` holds their settings and output."""

    layout: Layout
    folder: pathlib.Path
    command: tuple[str, ...] = (sys.executable, "-m", "bulrushpulley")
    program_by_name: dict[str, Program] = field(default_factory=dict)

    def start(self, name: str, command: Iterable[str]) -> Program:
        """Start one process."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                list(command), stdout=output, stderr=output, cwd=ROOT
            )
        program = Program(name=name, process=process, log=log)
        self.program_by_name[name] = program
        return program

    def start_platform(self) -> None:
        """Start the table service, the object store and the workers."""
        self._start_stand_in("table_service", self.layout.table_service)
        self._start_stand_in("object_store", self.layout.object_store)
        self._start_stand_in("worker", self.layout.workers)
        for agent in self.layout.agents:
            self._start_stand_in("backend_server", agent.backend_server, agent.name)
        for port in (self.layout.table_service, self.layout.workers):
            wait_for_port(port)

    def _start_stand_in(self, module: str, port: int, suffix: str = "") -> None:
        command = (sys.executable, "-m", f"standins.{module}", "--port", str(port))
        self.start(f"{module}-{suffix}" if suffix else module, command)

    def start_entry(self, ports: EntryPorts) -> Program:
        """Start one entry."""
        return self._start_process(
            "entry", ports.name, entry_settings(self.layout, ports)
        )

    def start_agent(self, ports: AgentPorts) -> Program:
        """Start one agent."""
        return self._start_process(
            "agent", ports.name, agent_settings(self.layout, ports)
        )

    def _start_process(self, verb: str, name: str, raw: Mapping[str, Any]) -> Program:
        path = self.folder / f"{name}.toml"
        path.write_text(to_toml(raw))
        return self.start(name, (*self.command, verb, "--config", str(path)))

    def start_all(self) -> None:
        """Start all processes and wait until they accept connections."""
        self.start_platform()
        for entry in self.layout.entries:
            self.start_entry(entry)
        for agent in self.layout.agents:
            self.start_agent(agent)
        for entry in self.layout.entries:
            wait_for_port(entry.operators)
        for agent in self.layout.agents:
            wait_for_port(agent.health)

    def run_verb(self, *arguments: str, timeout_s: float = 30.0) -> int:
        """Run an operator verb and return its exit code."""
        urls = [f"--entry={url}" for url in self.layout.operator_urls]
        done = subprocess.run(
            [*self.command, *arguments, *urls],
            stdout=subprocess.DEVNULL,
            cwd=ROOT,
            timeout=timeout_s,
            check=False,
        )
        return done.returncode

    def stop(self, name: str) -> int:
        """Stop one process with SIGTERM and return its exit code."""
        program = self.program_by_name.pop(name)
        program.process.send_signal(signal.SIGTERM)
        return program.process.wait(STOP_TIMEOUT_S)

    def kill_all(self) -> None:
        """Kill the processes that still run."""
        for program in self.program_by_name.values():
            program.process.kill()
        for program in self.program_by_name.values():
            program.process.wait(STOP_TIMEOUT_S)
        self.program_by_name.clear()


def wait_for_port(port: int) -> None:
    """Wait until a port accepts connections."""
    pause = threading.Event()
    deadline = time.monotonic() + STARTUP_TIMEOUT_S
    while True:
        try:
            socket.create_connection((HOST, port), timeout=1.0).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            pause.wait(CONNECT_RETRY_DELAY_S)


def get_json(url: str, path: str) -> Any:
    """Send a GET request to an entry and return its JSON answer."""
    reply = urllib3.request("GET", url + path, timeout=15.0, retries=False)
    return reply.json()


def submit_record(url: str, record: Mapping[str, Any]) -> None:
    """Submit a record; raise `RuntimeError` with the answer if it is rejected."""
    reply = urllib3.request(
        "POST", f"{url}/v1/records", json=record, timeout=20.0, retries=False
    )
    if reply.status != 200:
        raise RuntimeError(f"{record['kind']} {record['name']}: {reply.data.decode()}")
