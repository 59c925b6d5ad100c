"""The processes of a run, and how each fault is done to them.

Every process is one that the run started itself, and is signalled by its id.
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
from soak.plan import (
    SLOW_S,
    Compact,
    Crash,
    Drain,
    Evacuate,
    Fault,
    Harm,
    Kill,
    Names,
    Pause,
    Reconfigure,
    Reload,
    StoreTrouble,
    Terminate,
)
from soak.promises import Evacuated, ServerGone, Sight
from soak.proxy import Proxies

SERVICE = "ovens"
DOMAINS = ("z1", "z2")
CAPACITY_M = 4_000
# A server that said that it leaves stays for 3 s; its next life begins after that.
AFTER_DRAIN_S = 4.0
KILL_S = 0.3


class Site:
    """A running site; `see` is told of what backend servers cannot say themselves."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        see: Callable[[Sight], None],
        proxies: Proxies,
        port_by_name: dict[str, int],
        names: Names,
    ) -> None:
        self.fleet = fleet
        self.see = see
        self.proxies = proxies
        self.port_by_name = port_by_name
        self.names = names
        self.version = 0
        self.lock = threading.RLock()
        self.lives: dict[str, int] = {}

    @property
    def store(self) -> str:
        """The URL of the store, past all proxies."""
        return f"http://{HOST}:{self.port_by_name['store']}"

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """Where callers reach the entries."""
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
        """Start an entry or an agent."""
        with self.lock:
            verb = "job-entry" if name in self.names.entries else "job-agent"
            path = self.fleet.folder / f"{name}.toml"
            path.write_text(to_toml(self._settings(name, verb)))
            command = (*self.fleet.command, verb, "--config", str(path))
            self.fleet.start(name, command)

    def _settings(self, name: str, verb: str) -> dict[str, Any]:
        address = {
            kind: f"{HOST}:{self.port_by_name[f'{kind} {name}']}"
            for kind in ("callers", "ready", "links", "announcements", "reached_at")
            if f"{kind} {name}" in self.port_by_name
        }
        store = self.port_by_name[f"store < {name}"]
        common: dict[str, Any] = {
            "role": verb,
            "name": name,
            "region": "ege",
            "failure_domain": self._domain(name),
            **address,
            "store": {"url": f"http://{HOST}:{store}"},
            "limits": {"longest_lease_s": 6.0, "kill_s": KILL_S},
        }
        if verb == "job-entry":
            return {**common, "stop": {"notice_s": 0.5, "within_s": 2.0}}
        return {**common, "service": SERVICE}

    def _domain(self, name: str) -> str:
        return DOMAINS[int(name.rpartition("-")[2]) % len(DOMAINS)]

    def start_server(self, host: str) -> None:
        """Start the next life of a backend server."""
        agent = self.names.agents[self.names.hosts.index(host)]
        flags = {
            "port": self.port_by_name[f"server {host}"],
            "host": host,
            "service": SERVICE,
            "failure_domain": self._domain(agent),
            "rack": f"rack-{host}",
            "agent": f"{HOST}:{self.port_by_name[f'announcements {agent}']}",
            "processors_m": CAPACITY_M,
        }
        arguments = (f"--{name}={value}" for name, value in flags.items())
        with self.lock:
            self.lives[host] = self.lives.get(host, 0) + 1
            command = (sys.executable, "-m", "standins.executor", *arguments)
            self.fleet.start(f"{host}.{self.lives[host]}", command)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal a process of the run, if it still runs."""
        with self.lock:
            program = self.fleet.program_by_name.get(name)
            if program is not None and program.process.poll() is None:
                program.process.send_signal(number)

    def ended(self, name: str, within_s: float) -> None:
        """Wait until a process has ended, and kill it where it does not."""
        program = self.fleet.program_by_name.get(name)
        if program is None:
            return
        try:
            program.process.wait(within_s)
        except subprocess.TimeoutExpired:
            program.process.kill()
            program.process.wait(within_s)

    def server_of(self, host: str) -> str:
        """Return the process of the present life on a host."""
        return f"{host}.{self.lives[host]}"

    def later(self, after_s: float, action: Callable[[], None]) -> None:
        """Have something done later."""
        timer = threading.Timer(after_s, action)
        timer.daemon = True
        timer.start()

    def ask_store(self, path: str, body: object) -> None:
        """Have the store do something as its operators would."""
        answer = urllib3.request(
            "POST", f"{self.store}{path}", json=body, timeout=5.0, retries=False
        )
        if answer.status != 200:
            raise RuntimeError(f"store {path}: {answer.status} {answer.data!r}")

    def operate(self, key: str, value: object | None) -> None:
        """Write or drop an order of operators."""
        at = {"Table": "op", "part": "", "Key": key}
        if value is None:
            self.ask_store("/operate", {"Deletes": [at]})
            return
        encoded = json.dumps(value).encode()
        put = {**at, "Value": base64.b64encode(encoded).decode()}
        self.ask_store("/operate", {"Upserts": [put]})

    def configure(self) -> None:
        """Put the next version of the configuration in force."""
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
        self.operate("config", body)


def make_names(entries: int, hosts: int) -> Names:
    """Return the names of a site."""
    entry_names = tuple(f"entry-{number}" for number in range(entries))
    agents = tuple(f"agent-{number}" for number in range(hosts))
    return Names(
        entries=entry_names,
        agents=agents,
        hosts=tuple(f"host-{number}" for number in range(hosts)),
        proxies=(
            *(f"store < {name}" for name in (*entry_names, *agents)),
            *(f"reached_at {name}" for name in agents),
        ),
        failure_domains=DOMAINS,
    )


def make_site(names: Names, folder: pathlib.Path, see: Callable[[Sight], None]) -> Site:
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
        fleet=fleet, see=see, proxies=proxies, port_by_name=port_by_name, names=names
    )


@singledispatch
def strike(fault: Fault, site: Site) -> None:
    """Do one fault to the site; what ends it comes later."""
    raise NotImplementedError(type(fault).__name__)


@strike.register
def _(fault: Kill, site: Site) -> None:
    site.signal(fault.name, signal.SIGKILL)
    site.ended(fault.name, 5.0)
    site.later(fault.for_s, lambda: site.start_process(fault.name))


@strike.register
def _(fault: Terminate, site: Site) -> None:
    site.signal(fault.name, signal.SIGCONT)
    site.signal(fault.name, signal.SIGTERM)

    def again() -> None:
        site.ended(fault.name, 8.0)
        site.start_process(fault.name)

    site.later(0.0, again)


@strike.register
def _(fault: Pause, site: Site) -> None:
    site.signal(fault.name, signal.SIGSTOP)
    site.later(fault.for_s, lambda: site.signal(fault.name, signal.SIGCONT))


@strike.register
def _(fault: Reload, site: Site) -> None:
    site.signal(fault.name, signal.SIGHUP)


@strike.register
def _(fault: Crash, site: Site) -> None:
    name = site.server_of(fault.host)
    site.signal(name, signal.SIGKILL)
    site.ended(name, 5.0)
    site.see(ServerGone(at=time.monotonic(), host=fault.host))
    site.later(fault.for_s, lambda: site.start_server(fault.host))


@strike.register
def _(fault: Drain, site: Site) -> None:
    name = site.server_of(fault.host)
    site.signal(name, signal.SIGUSR1)

    def again() -> None:
        # Killed or ended, nothing of this life runs any more.
        site.signal(name, signal.SIGKILL)
        site.ended(name, 5.0)
        if name == site.server_of(fault.host):
            site.see(ServerGone(at=time.monotonic(), host=fault.host))
            site.start_server(fault.host)

    site.later(AFTER_DRAIN_S, again)


@strike.register
def _(fault: StoreTrouble, site: Site) -> None:
    delay_s = SLOW_S if fault.mode == "slow" else 0.0
    switch = {"mode": fault.mode, "seconds": fault.for_s, "delay_s": delay_s}
    site.ask_store("/switch", switch)


@strike.register
def _(fault: Compact, site: Site) -> None:
    site.ask_store("/compact", {})


@strike.register
def _(fault: Harm, site: Site) -> None:
    site.proxies.harm(fault.proxy, fault.how)
    site.later(fault.for_s, lambda: site.proxies.heal(fault.proxy, fault.how))


@strike.register
def _(fault: Reconfigure, site: Site) -> None:
    site.configure()


@strike.register
def _(fault: Evacuate, site: Site) -> None:
    key = f"evacuate/{fault.failure_domain}"
    site.operate(key, {})
    site.see(Evacuated(at=time.monotonic(), failure_domain=fault.failure_domain))

    def back() -> None:
        over = Evacuated(
            at=time.monotonic(), failure_domain=fault.failure_domain, back=True
        )
        site.see(over)
        site.operate(key, None)

    site.later(fault.for_s, back)
