"""The processes of a run, and the injection of each fault.

Only processes that the run itself has started are signalled, by their ids.
"""

from __future__ import annotations

import base64
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import urllib3

from scripts.fleet import HOST, Fleet, free_ports, to_toml, wait_for_port
from soak.invariants import Evacuated, Observation, ServerGone
from soak.odd_rows import VALUE_BY_CONTENT
from soak.plan import (
    SLOW_STORE_DELAY_S,
    Compact,
    ConnectionFault,
    Crash,
    Drain,
    Evacuate,
    Fault,
    Kill,
    Pause,
    Reconfigure,
    Reload,
    SiteNames,
    StoreFault,
    Terminate,
    WriteOddRow,
)
from soak.proxy import Proxies

SERVICE = "ovens"
FAILURE_DOMAINS = ("z1", "z2")
CAPACITY_M = 4_000
# A draining server exits after 3 s; its next incarnation must start after that.
RESTART_DELAY_AFTER_DRAIN_S = 4.0
KILL_TIME_S = 0.3


class Site:
    """A running site; events that backend servers cannot log go to `record`."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        record: Callable[[Observation], None],
        proxies: Proxies,
        port_by_name: dict[str, int],
        names: SiteNames,
    ) -> None:
        self.fleet = fleet
        self.record = record
        self.proxies = proxies
        self.port_by_name = port_by_name
        self.names = names
        self.version = 0
        self.lock = threading.RLock()
        self.incarnation_by_host: dict[str, int] = {}

    @property
    def store_url(self) -> str:
        """The URL of the store, without a proxy."""
        return f"http://{HOST}:{self.port_by_name['store']}"

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """The URLs of the entries for callers."""
        return tuple(
            f"http://{HOST}:{self.port_by_name[f'callers {name}']}"
            for name in self.names.entries
        )

    def start(self) -> None:
        """Start everything, from the store to the backend servers."""
        port = self.port_by_name["store"]
        command = (sys.executable, "-m", "standins.row_store", "--port", str(port))
        self.fleet.start("store", command)
        wait_for_port(port)
        self.configure()
        for name in (*self.names.entries, *self.names.agents):
            self.start_process(name)
        for host in self.names.hosts:
            self.start_server(host)
        for name in self.names.entries:
            wait_for_port(self.port_by_name[f"callers {name}"])

    def start_process(self, name: str) -> None:
        """Start an entry or an agent, unless overlapping faults already did."""
        with self.lock:
            known = self.fleet.program_by_name.get(name)
            if known is not None and known.process.poll() is None:
                return
            verb = "job-entry" if name in self.names.entries else "job-agent"
            path = self.fleet.folder / f"{name}.toml"
            path.write_text(to_toml(self._settings(name, verb)))
            command = (*self.fleet.command, verb, "--config", str(path))
            self.fleet.start(name, command)

    def _settings(self, name: str, verb: str) -> dict[str, Any]:
        address_by_kind = {
            kind: f"{HOST}:{self.port_by_name[f'{kind} {name}']}"
            for kind in ("callers", "ready", "links", "announcements", "reached_at")
            if f"{kind} {name}" in self.port_by_name
        }
        store_port = self.port_by_name[f"store < {name}"]
        common: dict[str, Any] = {
            "role": verb,
            "name": name,
            "region": "ege",
            "failure_domain": self._failure_domain(name),
            **address_by_kind,
            "store": {"url": f"http://{HOST}:{store_port}"},
            "limits": {"longest_lease_s": 6.0, "kill_s": KILL_TIME_S},
        }
        if verb == "job-entry":
            return {**common, "stop": {"notice_s": 0.5, "within_s": 2.0}}
        return {**common, "service": SERVICE}

    def _failure_domain(self, name: str) -> str:
        return FAILURE_DOMAINS[int(name.rpartition("-")[2]) % len(FAILURE_DOMAINS)]

    def start_server(self, host: str) -> None:
        """Start the next incarnation of a backend server."""
        agent = self.names.agents[self.names.hosts.index(host)]
        flags = {
            "port": self.port_by_name[f"server {host}"],
            "host": host,
            "service": SERVICE,
            "failure_domain": self._failure_domain(agent),
            "rack": f"rack-{host}",
            "agent": f"{HOST}:{self.port_by_name[f'announcements {agent}']}",
            "processors_m": CAPACITY_M,
        }
        arguments = (f"--{name}={value}" for name, value in flags.items())
        with self.lock:
            self.incarnation_by_host[host] = self.incarnation_by_host.get(host, 0) + 1
            command = (sys.executable, "-m", "standins.executor", *arguments)
            self.fleet.start(f"{host}.{self.incarnation_by_host[host]}", command)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal a process of the run, if it is still running."""
        with self.lock:
            program = self.fleet.program_by_name.get(name)
            if program is not None and program.process.poll() is None:
                program.process.send_signal(number)

    def wait_ended(self, name: str, within_s: float) -> None:
        """Wait for a process to exit, and kill it if it has not after `within_s`."""
        program = self.fleet.program_by_name.get(name)
        if program is None:
            return
        try:
            program.process.wait(within_s)
        except subprocess.TimeoutExpired:
            program.process.kill()
            program.process.wait(within_s)

    def current_server(self, host: str) -> str:
        """Return the process name of the current backend server of a host."""
        return f"{host}.{self.incarnation_by_host[host]}"

    def schedule(self, after_s: float, action: Callable[[], None]) -> None:
        """Run `action` after a delay."""
        timer = threading.Timer(after_s, action)
        timer.daemon = True
        timer.start()

    def post_to_store(self, path: str, body: object) -> None:
        """Send a request to the store as its operators would."""
        answer = urllib3.request(
            "POST", f"{self.store_url}{path}", json=body, timeout=5.0, retries=False
        )
        if answer.status != 200:
            raise RuntimeError(f"store {path}: {answer.status} {answer.data!r}")

    def write_order(self, key: str, value: object | None) -> None:
        """Write an order of operators to the store, or delete it if `value` is None."""
        at = {"Table": "op", "part": "", "Key": key}
        if value is None:
            self.post_to_store("/operate", {"Deletes": [at]})
            return
        encoded = json.dumps(value).encode()
        put = {**at, "Value": base64.b64encode(encoded).decode()}
        self.post_to_store("/operate", {"Upserts": [put]})

    def write_odd_row(self, fault: WriteOddRow) -> None:
        """Write a row that cannot be read, beside the rows of the site."""
        value = VALUE_BY_CONTENT[fault.content]
        put = {
            "Table": fault.table,
            "part": fault.part,
            "Key": "odd",
            "Value": base64.b64encode(value).decode(),
        }
        self.post_to_store("/operate", {"Upserts": [put]})

    def ended_by_itself(self) -> tuple[str, ...]:
        """Return the entries and agents that have exited with an error."""
        # A killed process has a negative exit code, and a stopped one has 0.
        with self.lock:
            return tuple(
                name
                for name in (*self.names.entries, *self.names.agents)
                if (self.fleet.program_by_name[name].process.poll() or 0) > 0
            )

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        route = {
            "Name": "push",
            "Host": "push.example",
            "PathPrefix": "/push/",
            "Service": SERVICE,
            "Priority": 0,
            "MaxAttempts": 3,
            "LatencyFactor": 1.5,
            "TargetLatencyMs": 400,
            "TimeoutMs": 3_000,
        }
        services = [{"Name": SERVICE}]
        body = {"Version": self.version, "Routes": [route], "Services": services}
        self.write_order("config", body)


def make_names(entries: int, hosts: int) -> SiteNames:
    """Return the names for the given numbers of entries and hosts.

    Each process reaches the store through the proxy ``store < PROCESS``, and entries
    reach an agent through the proxy ``reached_at AGENT``.
    """
    entry_names = tuple(f"entry-{number}" for number in range(entries))
    agents = tuple(f"agent-{number}" for number in range(hosts))
    return SiteNames(
        entries=entry_names,
        agents=agents,
        hosts=tuple(f"host-{number}" for number in range(hosts)),
        proxies=(
            *(f"store < {name}" for name in (*entry_names, *agents)),
            *(f"reached_at {name}" for name in agents),
        ),
        failure_domains=FAILURE_DOMAINS,
    )


def make_site(
    names: SiteNames, folder: pathlib.Path, record: Callable[[Observation], None]
) -> Site:
    """Choose ports and start the proxies of a site."""
    keys = ["store"]
    keys += [
        f"{kind} {name}" for name in names.entries for kind in ("callers", "ready")
    ]
    keys += [
        f"{kind} {name}" for name in names.agents for kind in ("links", "announcements")
    ]
    keys += [f"server {host}" for host in names.hosts]
    keys += names.proxies
    port_by_name = dict(zip(keys, free_ports(len(keys)), strict=True))
    proxies = Proxies()
    for name in names.proxies:
        kind, _, process = name.rpartition(" ")
        target = "store" if kind == "store <" else f"links {process}"
        proxies.add(name, port_by_name[name], port_by_name[target])
    fleet = Fleet(layout=None, folder=folder)  # type: ignore[arg-type]
    return Site(
        fleet=fleet,
        record=record,
        proxies=proxies,
        port_by_name=port_by_name,
        names=names,
    )


@singledispatch
def inject_fault(fault: Fault, site: Site) -> None:
    """Inject a fault, and schedule its end."""
    raise NotImplementedError(type(fault).__name__)


@inject_fault.register
def _(fault: Kill, site: Site) -> None:
    site.signal(fault.name, signal.SIGKILL)
    site.wait_ended(fault.name, 5.0)
    site.schedule(fault.duration_s, lambda: site.start_process(fault.name))


@inject_fault.register
def _(fault: Terminate, site: Site) -> None:
    # A suspended process would not handle SIGTERM.
    site.signal(fault.name, signal.SIGCONT)
    site.signal(fault.name, signal.SIGTERM)

    def restart() -> None:
        site.wait_ended(fault.name, 8.0)
        site.start_process(fault.name)

    site.schedule(0.0, restart)


@inject_fault.register
def _(fault: Pause, site: Site) -> None:
    site.signal(fault.name, signal.SIGSTOP)
    site.schedule(fault.duration_s, lambda: site.signal(fault.name, signal.SIGCONT))


@inject_fault.register
def _(fault: Reload, site: Site) -> None:
    site.signal(fault.name, signal.SIGHUP)


@inject_fault.register
def _(fault: Crash, site: Site) -> None:
    name = site.current_server(fault.host)
    site.signal(name, signal.SIGKILL)
    site.wait_ended(name, 5.0)
    site.record(ServerGone(at=time.monotonic(), host=fault.host))
    site.schedule(fault.duration_s, lambda: site.start_server(fault.host))


@inject_fault.register
def _(fault: Drain, site: Site) -> None:
    name = site.current_server(fault.host)
    site.signal(name, signal.SIGUSR1)

    def restart() -> None:
        # No run may survive the draining server, even if it has not exited by itself.
        site.signal(name, signal.SIGKILL)
        site.wait_ended(name, 5.0)
        if name == site.current_server(fault.host):
            site.record(ServerGone(at=time.monotonic(), host=fault.host))
            site.start_server(fault.host)

    site.schedule(RESTART_DELAY_AFTER_DRAIN_S, restart)


@inject_fault.register
def _(fault: StoreFault, site: Site) -> None:
    delay_s = SLOW_STORE_DELAY_S if fault.mode == "slow" else 0.0
    switch = {"mode": fault.mode, "seconds": fault.duration_s, "delay_s": delay_s}
    site.post_to_store("/switch", switch)


@inject_fault.register
def _(fault: Compact, site: Site) -> None:
    site.post_to_store("/compact", {})


@inject_fault.register
def _(fault: ConnectionFault, site: Site) -> None:
    site.proxies.start_fault(fault.proxy, fault.fault_kind)
    site.schedule(
        fault.duration_s, lambda: site.proxies.end_fault(fault.proxy, fault.fault_kind)
    )


@inject_fault.register
def _(fault: WriteOddRow, site: Site) -> None:
    site.write_odd_row(fault)


@inject_fault.register
def _(fault: Reconfigure, site: Site) -> None:
    site.configure()


@inject_fault.register
def _(fault: Evacuate, site: Site) -> None:
    key = f"evacuate/{fault.failure_domain}"
    site.write_order(key, {})
    site.record(Evacuated(at=time.monotonic(), failure_domain=fault.failure_domain))

    def end_evacuation() -> None:
        # Recorded first, as runs may start in the domain as soon as the order is gone.
        observation = Evacuated(
            at=time.monotonic(), failure_domain=fault.failure_domain, returned=True
        )
        site.record(observation)
        site.write_order(key, None)

    site.schedule(fault.duration_s, end_evacuation)
