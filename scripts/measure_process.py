"""Measures the cost of an idle entry and an idle agent by the number of agents.

Run with ``scripts/measure process --agents 1,5,10 --seconds 20``. For each
number of agents it starts a fleet on loopback, submits the sample records without
jobs and services, and waits until the fleet has settled. It reports processor time,
memory, threads and child processes, and the bytes on links from the metrics.
"""

from __future__ import annotations

import os
import pathlib
import re
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import urllib3
from absl import app, flags

from scripts.fleet import (
    HOST,
    ROOT,
    Fleet,
    get_json,
    make_layout,
    sample_records,
    submit_record,
)

FLAGS = flags.FLAGS
SETTLE_TIME_S = 8.0
READY_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LINK_BYTES = re.compile(r"^link_bytes_(?:sent|received)\{[^}]*\} (\d+)$", re.MULTILINE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """The resources that a process has used so far."""

    at: float
    processor_s: float
    resident_kb: int
    threads: int
    children: int
    link_bytes: int


def take_sample(pid: int, metrics_port: int) -> Sample:
    """Read a process's resource use from /proc and its link bytes from /metrics."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    children = pathlib.Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    text = urllib3.request("GET", f"http://{HOST}:{metrics_port}/metrics").data.decode()
    return Sample(
        at=time.monotonic(),
        processor_s=(int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S,
        resident_kb=_number(status, "VmRSS"),
        threads=_number(status, "Threads"),
        children=len(children),
        link_bytes=sum(int(found) for found in LINK_BYTES.findall(text)),
    )


def _number(status: str, name: str) -> int:
    found = re.search(rf"^{name}:\s+(\d+)", status, re.MULTILINE)
    return int(found.group(1)) if found else 0


def format_line(name: str, before: Sample, after: Sample) -> str:
    """Return a line with the costs of one process between two samples."""
    seconds = after.at - before.at
    processor = (after.processor_s - before.processor_s) / seconds
    link_bytes = (after.link_bytes - before.link_bytes) / seconds
    return (
        f"{name:<10} {processor:7.2%} of a core  {after.resident_kb / 1024:6.1f} MB"
        f"  {link_bytes:8.0f} link bytes/s  {after.threads:3d} threads"
        f"  {after.children} children"
    )


def processes(fleet: Fleet) -> Iterator[tuple[str, int, int]]:
    """Yield the name, process id and metrics port of an entry and an agent."""
    entry, agent = fleet.layout.entries[0], fleet.layout.agents[0]
    for name, port in ((entry.name, entry.operators), (agent.name, agent.health)):
        yield name, fleet.program_by_name[name].process.pid, port


def wait_for_agents(url: str, count: int) -> None:
    """Wait until an entry has a link to every agent."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while len(get_json(url, "/v1/status")["agents"]) < count:
        if time.monotonic() > deadline:
            raise RuntimeError(f"fewer than {count} agents are linked")
        threading.Event().wait(0.2)


def measure(fleet: Fleet, seconds: float) -> None:
    """Measure a started fleet and print a line for each process."""
    pause = threading.Event()
    url = fleet.layout.operator_urls[0]
    wait_for_agents(url, len(fleet.layout.agents))
    for record in sample_records(fleet.layout):
        if record["kind"] not in ("job", "service"):
            submit_record(url, record)
    pause.wait(SETTLE_TIME_S)
    before = {name: take_sample(pid, port) for name, pid, port in processes(fleet)}
    pause.wait(seconds)
    for name, pid, port in processes(fleet):
        print(
            "  " + format_line(name, before[name], take_sample(pid, port)), flush=True
        )


def command() -> tuple[str, ...]:
    """Return the command of a process: the built file or the module."""
    if FLAGS.binary:
        return (str(ROOT / "dist" / "bulrushpulley"),)
    return (sys.executable, "-m", "bulrushpulley")


def main(argv: list[str]) -> None:
    """Measure a fleet for each number of agents."""
    del argv
    for count in [int(text) for text in FLAGS.agents]:
        layout = make_layout(
            "firinzeka",
            ["entry-1", "entry-2"],
            [f"agent-{number:02}" for number in range(1, count + 1)],
        )
        folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-measure-"))
        fleet = Fleet(layout=layout, folder=folder, command=command())
        print(f"2 entries, {count} agents, idle for {FLAGS.seconds:g} s", flush=True)
        try:
            fleet.start_all()
            measure(fleet, FLAGS.seconds)
        finally:
            fleet.kill_all()


if __name__ == "__main__":
    flags.DEFINE_list("agents", ["1", "5", "10"], "Numbers of agents, at most 10.")
    flags.DEFINE_float("seconds", 15.0, "Length of each measurement in seconds.")
    flags.DEFINE_bool("binary", False, "Run the built file dist/bulrushpulley.")
    app.run(main)
