"""Sends real signals to cell owners while a job runs, and checks the job's tasks.

Run with ``PYTHONPATH=. python -m scripts.cell_signals``; it takes two minutes. One
owner is paused with SIGSTOP until its cells have been taken over, then continued.
An owner is killed, and restarted after a time in which answers of workers are lost and
the table service is down. The program exits with 1 if two runs of a task were seen to
overlap, if a task did not finish, or if a process did not exit with 0.
"""

from __future__ import annotations

import pathlib
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

import urllib3
from absl import app, flags

from scripts.fleet import (
    HOST,
    Fleet,
    Layout,
    get_json,
    make_layout,
    sample_records,
    submit_record,
)

FLAGS = flags.FLAGS
AGENTS = ("agent-01", "agent-02", "agent-05", "agent-08")
ENTRIES = ("entry-1", "entry-2")
JOB_NAME = "long-curves"
TASK_COUNT = 24
TASK_RUN_S = 60.0
READY_TIMEOUT_S = 30.0
MAX_TAKEOVER_S = 60.0
JOB_TIMEOUT_S = 120.0
OUTAGE_DURATION_S = 20.0
POLL_INTERVAL_S = 0.2


def print_progress(text: str) -> None:
    """Print a line of progress with the time."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def wait_for(condition: Callable[[], bool], timeout_s: float, what: str) -> float:
    """Wait until a condition holds and return the time waited in seconds."""
    started_at = time.monotonic()
    pause = threading.Event()
    while not condition():
        if time.monotonic() - started_at > timeout_s:
            raise RuntimeError(f"{what}: timed out after {timeout_s:g} s")
        pause.wait(POLL_INTERVAL_S)
    return time.monotonic() - started_at


class Platform:
    """Reads from the table service and the workers, and injects their faults."""

    def __init__(self, *, layout: Layout) -> None:
        self._tables = f"http://{HOST}:{layout.table_service}"
        self._workers = f"http://{HOST}:{layout.workers}/w"
        self._pool = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=4)

    def rows(self, prefix: str) -> Mapping[str, Any]:
        """Return the rows under a prefix by key."""
        url = f"{self._tables}/v1/rows?prefix={prefix}&since=0&limit=5000"
        found = self._pool.request("GET", url).json()["rows"]
        return {row["key"]: row["value"]["row"] for row in found}

    def owner_by_cell(self) -> Mapping[str, str]:
        """Return the owner of each cell."""
        return {key: row["owner"] for key, row in self.rows("lease/").items()}

    def finished_count(self) -> int:
        """Return the number of finished tasks of the job."""
        outcomes = self.rows(f"done/{JOB_NAME}/").values()
        return sum(1 for row in outcomes if row["state"] == "finished")

    def running_tasks(self, worker_id: str) -> list[str]:
        """Return the task ids of a worker's runs in progress, one for each run."""
        url = f"{self._workers}/{worker_id}/v1/report"
        report = self._pool.request("POST", url, json={"renew": []}).json()
        runs = report.get("tasks", [])
        return [run["task_id"] for run in runs if run["state"] == "running"]

    def lose_worker_answers(self, worker_id: str, seconds: float) -> None:
        """Make a worker lose its answers for a time."""
        body = {"mode": "lose_answers", "seconds": seconds}
        self._pool.request("POST", f"{self._workers}/{worker_id}/switch", json=body)

    def take_tables_down(self, seconds: float) -> None:
        """Make the table service unavailable for a time."""
        body = {"mode": "down", "seconds": seconds}
        self._pool.request("POST", f"{self._tables}/switch", json=body)


class DuplicateRunWatcher:
    """Polls the workers for tasks of which two runs overlap."""

    def __init__(self, *, platform: Platform, worker_ids: list[str]) -> None:
        self._platform = platform
        self._worker_ids = worker_ids
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self.tasks_run_twice: set[str] = set()
        self.polls = 0

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            runs: Counter[str] = Counter()
            for worker_id in self._worker_ids:
                runs.update(self._running_tasks(worker_id))
            self.tasks_run_twice.update(
                task for task, count in runs.items() if count > 1
            )
            self.polls += 1

    def _running_tasks(self, worker_id: str) -> list[str]:
        try:
            return self._platform.running_tasks(worker_id)
        except urllib3.exceptions.HTTPError:
            return []


def start_job(fleet: Fleet) -> DuplicateRunWatcher:
    """Submit the sample records and the job, and wait until all tasks run."""
    layout = fleet.layout
    url = layout.operator_urls[0]
    platform = Platform(layout=layout)
    agents = len(layout.agents)
    wait_for(
        lambda: len(get_json(url, "/v1/status").get("agents", [])) == agents,
        READY_TIMEOUT_S,
        "linking the agents",
    )
    sample = sample_records(layout)
    for record in sample:
        if record["kind"] != "job":
            submit_record(url, record)
    job = next(record for record in sample if record["kind"] == "job")
    submit_record(
        url, {**job, "name": JOB_NAME, "tasks": TASK_COUNT, "run_s": TASK_RUN_S}
    )
    cells = [record for record in sample if record["kind"] == "cell"]
    worker_ids = [w["worker_id"] for cell in cells for w in cell["workers"]]
    watcher = DuplicateRunWatcher(platform=platform, worker_ids=worker_ids)
    watcher.start()
    wait_for(
        lambda: sum(len(platform.running_tasks(w)) for w in worker_ids) >= TASK_COUNT,
        READY_TIMEOUT_S,
        "starting the tasks",
    )
    return watcher


def agent_with_most_cells(platform: Platform) -> str:
    """Return the agent that owns the most cells."""
    owners = Counter(platform.owner_by_cell().values())
    return max(sorted(owners), key=lambda owner: owners[owner])


def pause_owner(fleet: Fleet, platform: Platform) -> None:
    """Pause an owner until its cells have been taken over, then continue it."""
    name = agent_with_most_cells(platform)
    process = fleet.program_by_name[name].process
    process.send_signal(signal.SIGSTOP)
    waited_s = wait_for(
        lambda: name not in platform.owner_by_cell().values(),
        MAX_TAKEOVER_S,
        "taking over the cells",
    )
    process.send_signal(signal.SIGCONT)
    print_progress(
        f"{name} was paused; its cells were taken over within {waited_s:.1f} s"
    )


def kill_owner(fleet: Fleet, platform: Platform, worker_ids: list[str]) -> None:
    """Kill an owner, and restart it after an outage with lost answers of workers."""
    name = agent_with_most_cells(platform)
    program = fleet.program_by_name.pop(name)
    program.process.kill()
    program.process.wait()
    print_progress(f"{name} was killed; answers are lost and the table service is down")
    for worker_id in worker_ids:
        platform.lose_worker_answers(worker_id, OUTAGE_DURATION_S / 2)
    platform.take_tables_down(OUTAGE_DURATION_S)
    threading.Event().wait(OUTAGE_DURATION_S)
    fleet.start_agent(next(a for a in fleet.layout.agents if a.name == name))


def run(fleet: Fleet) -> bool:
    """Send the signals to a started fleet and tell whether all checks passed."""
    platform = Platform(layout=fleet.layout)
    watcher = start_job(fleet)
    print_progress(
        f"{TASK_COUNT} tasks run;"
        f" the owners by cell are {dict(platform.owner_by_cell())}"
    )
    pause_owner(fleet, platform)
    kill_owner(fleet, platform, ["w-01", "w-02", "w-03"])
    waited_s = wait_for(
        lambda: platform.finished_count() == TASK_COUNT,
        JOB_TIMEOUT_S,
        "finishing the tasks",
    )
    watcher.stop()
    rows = platform.rows(f"done/{JOB_NAME}/").values()
    generations = Counter(row["generation"] for row in rows)
    print_progress(
        f"finished {waited_s:.1f} s later; tasks by generation: {dict(generations)}"
    )
    print_progress(
        f"{watcher.polls} polls;"
        f" tasks with overlapping runs: {sorted(watcher.tasks_run_twice)}"
    )
    names = [agent.name for agent in fleet.layout.agents]
    codes = {name: fleet.stop(name) for name in (*names, *ENTRIES)}
    print_progress(f"exit codes: {codes}")
    return not watcher.tasks_run_twice and not any(codes.values())


def main(argv: list[str]) -> None:
    """Start a fleet in a temporary folder and run the checks."""
    del argv
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-signals-"))
    print_progress(f"settings and logs are in {folder}")
    layout = make_layout(FLAGS.deployment, ENTRIES, AGENTS)
    fleet = Fleet(layout=layout, folder=folder)
    try:
        fleet.start_all()
        passed = run(fleet)
    finally:
        fleet.kill_all()
    print_progress("passed" if passed else "failed")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    flags.DEFINE_string(
        "deployment", "firinzeka", "Name of the sample settings to run."
    )
    app.run(main)
