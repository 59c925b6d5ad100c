"""Measures the whole process of a shard's owner by the number of hosts.

Run with ``scripts/measure owner --hosts 30,100 --starts_per_s 60``. A real entry and a
store run on loopback with many agents in a few processes (`scripts.agent_herd`). The
processor time of the entry includes HTTP, links, encoding and logs. It is read first
while the site is idle, then while callers submit jobs. `--profile` also prints where
the entry spends it.
"""

from __future__ import annotations

import pathlib
import random
import sys
import tempfile
import threading
import time
from typing import Any

from absl import app, flags

from scripts.fleet import HOST, Fleet, free_ports, to_toml, wait_for_port
from scripts.measure_process import Sample, take_sample
from soak.callers import Connection
from soak.site import make_names, make_site

FLAGS = flags.FLAGS
AGENTS_PER_HERD = 50
LINK_TIMEOUT_S = 60.0
SETTLE_TIME_S = 4.0
TASKS_PER_JOB = 10
LEASE_S = 6.0
ENTRY = "entry-0"
STORE = "store"


class OwnerSite:
    """One entry, a store and many agents on loopback."""

    def __init__(self, *, hosts: int, folder: pathlib.Path) -> None:
        self._folder = folder
        self._site = make_site(make_names(1, 0), folder, print)
        self._fleet: Fleet = self._site.fleet
        self._agent_ports = free_ports(hosts)

    @property
    def profile_path(self) -> pathlib.Path:
        """The file with the profile of the entry."""
        return self._folder / "profile.txt"

    def start(self) -> None:
        """Start the store, the agents and the entry, and wait for all links."""
        store_port = self._site.port_by_name[STORE]
        command = (
            sys.executable,
            "-m",
            "standins.row_store",
            "--port",
            str(store_port),
        )
        self._fleet.start(STORE, command)
        wait_for_port(store_port)
        self._site.configure()
        for first in range(0, len(self._agent_ports), AGENTS_PER_HERD):
            self._start_herd(self._agent_ports[first : first + AGENTS_PER_HERD])
        self._start_entry()
        wait_for_port(self._site.port_by_name[f"callers {ENTRY}"])
        self._wait_for_links()

    def _start_herd(self, ports: list[int]) -> None:
        arguments = (f"--ports={','.join(map(str, ports))}",)
        store = f"--store={self._site.store_url}"
        command = (sys.executable, "-m", "scripts.agent_herd", store, *arguments)
        self._fleet.start(f"herd-{ports[0]}", command)
        for port in ports:
            wait_for_port(port)

    def _start_entry(self) -> None:
        settings = {
            "role": "job-entry",
            "name": ENTRY,
            "region": "ege",
            "failure_domain": "z1",
            "callers": f"{HOST}:{self._site.port_by_name[f'callers {ENTRY}']}",
            "ready": f"{HOST}:{self._site.port_by_name[f'ready {ENTRY}']}",
            "store": {"url": self._site.store_url},
            "limits": {"longest_lease_s": LEASE_S, "kill_s": 0.3},
        }
        path = self._folder / f"{ENTRY}.toml"
        path.write_text(to_toml(settings))
        module: tuple[str, ...] = ("bulrushpulley",)
        if FLAGS.profile:
            module = ("scripts.sampled", str(self.profile_path))
        command = (sys.executable, "-m", *module, "job-entry", "--config", str(path))
        self._fleet.start(ENTRY, command)

    def _wait_for_links(self) -> None:
        deadline = time.monotonic() + LINK_TIMEOUT_S
        while self._adopted() < len(self._agent_ports):
            if time.monotonic() > deadline:
                raise RuntimeError(f"only {self._adopted()} agents are linked")
            threading.Event().wait(0.5)

    def _adopted(self) -> int:
        log = self._fleet.program_by_name[ENTRY].log.read_text()
        return log.count('"host.synced"')

    def sample(self) -> Sample:
        """Return what the entry has used so far."""
        pid = self._fleet.program_by_name[ENTRY].process.pid
        return take_sample(pid, self._site.port_by_name[f"ready {ENTRY}"])

    def submit(self, seconds: float) -> int:
        """Submit jobs at the rate of the flags; return the number of their tasks."""
        connection = Connection(self._site.caller_urls, 0)
        rng = random.Random(1)
        jobs_per_s = FLAGS.starts_per_s / TASKS_PER_JOB
        started_at = time.monotonic()
        accepted: list[str] = []
        number = 0
        while time.monotonic() < started_at + seconds:
            job_id = f"{rng.getrandbits(64):016x}"
            step = {"Count": TASKS_PER_JOB // 2, "Cpu": 900, "MemMb": 100}
            body = {"Spec": "1.3", "Steps": [step, {**step, "After": [0]}]}
            if connection.call("POST", job_id, body).status == 200:
                accepted.append(job_id)
            if accepted:
                connection.call("GET", rng.choice(accepted))
            number += 1
            due_at = started_at + number / jobs_per_s
            threading.Event().wait(max(0.0, due_at - time.monotonic()))
        return len(accepted) * TASKS_PER_JOB

    def stop(self) -> None:
        """End all processes of the site."""
        self._fleet.kill_all()


def measure(hosts: int) -> None:
    """Print the costs at one size."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-owner-"))
    site = OwnerSite(hosts=hosts, folder=folder)
    try:
        site.start()
        threading.Event().wait(SETTLE_TIME_S)
        before = site.sample()
        threading.Event().wait(FLAGS.seconds)
        idle = site.sample()
        starts = site.submit(FLAGS.seconds)
        threading.Event().wait(SETTLE_TIME_S)
        loaded = site.sample()
        if FLAGS.profile:
            print(site.profile_path.read_text())
    finally:
        site.stop()
    idle_s = (idle.processor_s - before.processor_s) / (idle.at - before.at)
    used_s = loaded.processor_s - idle.processor_s
    per_start_s = (used_s - idle_s * (loaded.at - idle.at)) / max(1, starts)
    link_bytes = (idle.link_bytes - before.link_bytes) / (idle.at - before.at)
    print(
        f"{hosts:5} hosts: idle {1e3 * idle_s:6.1f} ms/s, {link_bytes:7.0f} link"
        f" bytes/s; {starts} starts, {1e3 * per_start_s:6.3f} ms each;"
        f" {loaded.resident_kb / 1024:5.1f} MB",
        flush=True,
    )


def main(argv: list[Any]) -> None:
    """Measure each size."""
    del argv
    for text in FLAGS.hosts:
        measure(int(text))


if __name__ == "__main__":
    flags.DEFINE_list("hosts", ["30", "100"], "Numbers of hosts to measure.")
    flags.DEFINE_float("starts_per_s", 60.0, "Tasks that callers submit per second.")
    flags.DEFINE_float("seconds", 10.0, "Length of each measurement in seconds.")
    flags.DEFINE_bool("profile", False, "Print where the entry spends its time.")
    app.run(main)
