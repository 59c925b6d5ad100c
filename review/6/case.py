"""A client submits a large job with checkpoints beside the jobs of others."""

from __future__ import annotations

import os
import pathlib
import sys
import threading
import time
from typing import Any

from review.kit2.site import BOUNDS, Site, job_id

TASKS = int(os.environ.get("TASKS", "4500"))
TASKS_PER_SMALL_JOB = 100
TRAFFIC_S = 40.0
# RULES.md, LOST: jobs are asked for `finish_s` after the end of the traffic, and none
# may have nothing running for 3 s while there is room for it.
FINISH_S = float(BOUNDS["finish_s"])
IDLE_S = 3.0


def large_body(count: int) -> dict[str, Any]:
    """Return a job of light tasks that save their progress."""
    step = {
        "Count": count,
        "Cpu": 20,
        "MemMb": 16,
        "EstimateMs": 20_000,
        "Checkpointing": True,
    }
    return {"Spec": '{"s": 20.0}', "Steps": [step]}


def small_body() -> dict[str, Any]:
    """Return a job of two steps, half a second each."""
    step = {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimateMs": 500}
    return {"Spec": '{"s": 0.5}', "Steps": [step, {**step, "After": [0]}]}


def main() -> int:
    """Run the case; return 1 if the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(__file__).resolve().parent
    site = Site(folder=folder, entries=3, hosts=6, cpu=32_000, mem=128_000)
    accepted: dict[str, float] = {}
    try:
        site.start()
        time.sleep(6.0)
        end_at = time.monotonic() + TRAFFIC_S
        submit_large(site, trouble)
        while time.monotonic() < end_at:
            job = job_id()
            if site.submit(job, small_body()):
                accepted[job] = time.monotonic()
            time.sleep(1.0)
        time.sleep(FINISH_S)
        asked_at = time.monotonic()
        time.sleep(IDLE_S + 1.0)
        idle = site.idle_jobs(accepted, 4, asked_at, IDLE_S)
        states = {job: site.call("GET", job)[1] for job in accepted}
        left = [job for job, body in states.items() if body != {"State": "completed"}]
        site.note(what="verdict", idle=idle, left=left, jobs=len(accepted))
        print(
            f"{len(accepted)} small jobs, {len(left)} not shown as completed,"
            f" {len(idle)} with nothing running for {IDLE_S} s"
        )
        return 1 if idle else 0
    finally:
        site.close()


def submit_large(site: Site, trouble: bool) -> None:
    """Submit the same work as one job, or without the trouble as many."""
    counts = [TASKS]
    if not trouble:
        counts = [TASKS_PER_SMALL_JOB] * (TASKS // TASKS_PER_SMALL_JOB)
    threads = [
        threading.Thread(target=site.submit, args=(job_id(), large_body(count)))
        for count in counts
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"the case could not run: {error}")
        code = 2
    sys.exit(code)
