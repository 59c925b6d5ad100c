"""The demo: two entries and three agents in two regions serve requests and run a job.

It exits with 1 if an unrepeatable request ran twice, if a request was lost, wrongly
answered or refused as not run although it ran, if the job or the drain did not finish,
or if a process did not exit with 0.
"""

from __future__ import annotations

import json
import pathlib
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from absl import app, flags

from scripts.fleet import (
    ROOT,
    Fleet,
    Layout,
    get_json,
    make_layout,
    sample_records,
    submit_record,
)
from standins.caller import Caller, Target, count_runs, make_calls
from standins.caller_core import Report, plan, tally

FLAGS = flags.FLAGS
REQUEST_COUNT = 200
# Arrivals are planned for a longer time, so that they are at least `REQUEST_COUNT`.
PLAN_DURATION_FACTOR = 2.0
REPEATABLE_FRACTION = 0.5
CALL_TIMEOUT_S = 4.0
CALL_THREADS = 64
READY_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 90.0
STATUS_POLL_INTERVAL_S = 0.5
INTERRUPTED_EXIT_CODE = 130
AGENTS_BY_DEPLOYMENT: Mapping[str, tuple[str, ...]] = {
    "firinzeka": ("agent-01", "agent-05", "agent-08"),
    "kalamu": ("agent-01", "agent-05", "agent-08"),
}
ENTRIES = ("entry-1", "entry-2")


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The results of the demo."""

    report: Report
    job: Mapping[str, Any]
    drained: bool
    exit_codes: Mapping[str, int]

    @property
    def passed(self) -> bool:
        """Whether calls, job, drain and exit codes are all as expected."""
        report = self.report
        bad_calls = report.doubled + report.lost + report.wrong + report.false_refusals
        job_done = self.job.get("finished") == self.job.get("tasks")
        stopped = all(code == 0 for code in self.exit_codes.values())
        return not bad_calls and job_done and self.drained and stopped


def print_progress(text: str) -> None:
    """Print a line of progress with the time."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def wait_until_ready(layout: Layout) -> None:
    """Wait until every entry has a link to every agent."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    for url in layout.operator_urls:
        while len(get_json(url, "/v1/status").get("agents", [])) < len(layout.agents):
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"agents are not linked: {get_json(url, '/v1/status')}"
                )
            threading.Event().wait(STATUS_POLL_INTERVAL_S)


def send_calls(layout: Layout, service: str, seconds: float) -> Report:
    """Send the requests through both entries and count their outcomes."""
    target = Target(
        entries=layout.caller_urls,
        service=service,
        within_s=CALL_TIMEOUT_S,
        max_attempts=3,
        body_bytes=200,
    )
    calls = plan(
        rate=REQUEST_COUNT / seconds,
        seconds=seconds * PLAN_DURATION_FACTOR,
        repeatable_fraction=REPEATABLE_FRACTION,
        seed=FLAGS.seed,
        id_prefix="demo",
    )
    ended = make_calls(Caller(target=target), calls[:REQUEST_COUNT], CALL_THREADS)
    return tally(ended, count_runs(layout.backend_urls))


def wait_for_job(layout: Layout, name: str) -> Mapping[str, Any]:
    """Wait until a job has ended, or `JOB_TIMEOUT_S`, and return its status."""
    deadline = time.monotonic() + JOB_TIMEOUT_S
    finished = -1
    while True:
        status = get_json(layout.operator_urls[0], f"/v1/status?job={name}")
        jobs = [job for job in status.get("jobs", []) if job["name"] == name]
        job: Mapping[str, Any] = jobs[0] if jobs else {}
        if job.get("finished", 0) != finished:
            finished = job.get("finished", 0)
            print_progress(
                f"job {name}: {finished} of {job.get('tasks', '?')} tasks finished"
            )
        ended = sum(job.get(key, 0) for key in ("finished", "failed", "cancelled"))
        if (job and ended == job["tasks"]) or time.monotonic() > deadline:
            return job
        threading.Event().wait(STATUS_POLL_INTERVAL_S)


def drain_and_return(fleet: Fleet, failure_domain: str, pause_s: float) -> bool:
    """Drain a failure domain and return it to service after a pause."""
    print_progress(f"draining {failure_domain}")
    drained = fleet.run_verb("drain", failure_domain, "--wait")
    print_progress(
        f"{failure_domain} is drained everywhere" if drained == 0 else "drain failed"
    )
    threading.Event().wait(pause_s)
    restored = fleet.run_verb("restore", failure_domain, "--wait")
    print_progress(
        f"{failure_domain} is back in service" if restored == 0 else "restore failed"
    )
    return drained == 0 and restored == 0


def run(fleet: Fleet, seconds: float) -> Outcome:
    """Run every part of the demo on a started fleet."""
    layout = fleet.layout
    wait_until_ready(layout)
    print_progress("every agent is linked to every entry")
    submitted = sample_records(layout)
    for record in submitted:
        submit_record(layout.operator_urls[0], record)
    print_progress(f"{len(submitted)} records are in force")
    name_by_kind = {record["kind"]: record["name"] for record in submitted}
    domain = next(r["name"] for r in submitted if r["kind"] == "failure_domain")
    with ThreadPoolExecutor(2) as pool:
        report_future = pool.submit(
            send_calls, layout, name_by_kind["service"], seconds
        )
        drain_future = pool.submit(drain_and_return, fleet, domain, seconds / 4)
        job = wait_for_job(layout, name_by_kind["job"])
        print_progress("waiting for the remaining requests")
        report, drained = report_future.result(), drain_future.result()
    exit_codes = stop_all(fleet)
    return Outcome(report=report, job=job, drained=drained, exit_codes=exit_codes)


def stop_all(fleet: Fleet) -> Mapping[str, int]:
    """Stop the agents gracefully, then the entries, and return the exit codes."""
    agents = [agent.name for agent in fleet.layout.agents]
    names = agents + [entry.name for entry in fleet.layout.entries]
    codes = {}
    for name in names:
        codes[name] = fleet.stop(name)
        print_progress(f"{name} stopped with exit code {codes[name]}")
    return codes


def print_outcome(outcome: Outcome) -> None:
    """Print the results of the demo."""
    report = outcome.report
    print(
        f"requests: {report.calls} sent, {report.served} served, {report.lost} lost,"
        f" {report.doubled} run twice, {report.refused} refused as not run,"
        f" {report.unknown} of unknown outcome,"
        f" {report.wrong} wrongly answered, {report.retries} retries"
    )
    print(f"latency: p50 {report.p50_ms:.1f} ms, p99 {report.p99_ms:.1f} ms")
    print(f"job: {json.dumps(outcome.job)}")
    print(f"drained and returned: {'yes' if outcome.drained else 'no'}")
    print("demo passed" if outcome.passed else "demo FAILED")


def command() -> tuple[str, ...]:
    """Return the command of a process: the built file or the module."""
    if FLAGS.binary:
        return (str(ROOT / "dist" / "bulrushpulley"),)
    return (sys.executable, "-m", "bulrushpulley")


def main(argv: list[str]) -> None:
    """Run the demo; end all processes that it started, also on an interrupt."""
    del argv
    layout = make_layout(
        FLAGS.deployment, ENTRIES, AGENTS_BY_DEPLOYMENT[FLAGS.deployment]
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-demo-"))
    fleet = Fleet(layout=layout, folder=folder, command=command())
    print_progress(f"starting {FLAGS.deployment}; settings and logs are in {folder}")
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet.start_all()
        outcome = run(fleet, FLAGS.seconds)
    except KeyboardInterrupt:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        print_progress("interrupted; ending the started processes")
        sys.exit(INTERRUPTED_EXIT_CODE)
    finally:
        fleet.kill_all()
    print_outcome(outcome)
    sys.exit(0 if outcome.passed else 1)


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 10.0, "Seconds over which requests are sent.")
    flags.DEFINE_enum(
        "deployment", "firinzeka", list(AGENTS_BY_DEPLOYMENT), "Sample settings to run."
    )
    flags.DEFINE_bool("binary", False, "Run the built file dist/bulrushpulley.")
    flags.DEFINE_integer(
        "seed", 1, "Seed of the arrival times and kinds of the requests."
    )
    app.run(main)
