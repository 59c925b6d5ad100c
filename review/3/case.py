"""A heartbeat of another writer makes tasks run twice."""

from __future__ import annotations

import json
import os
import pathlib
import sys
import time

from review.lib.site import HOST, Site, overlaps

CASE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 6
TASKS = 6
SECONDS = 8.0
WORK_S = 3.0
FOLLOW_S = 20.0


def body() -> dict[str, object]:
    """Return a job of tasks that take `SECONDS` each."""
    step = {"Count": TASKS, "Cpu": 500, "MemMb": 256, "EstimateMs": 8_000}
    return {"Spec": json.dumps({"seconds": SECONDS, "cpu": 500}), "Steps": [step]}


def odd_heartbeat() -> dict[str, object]:
    """Return a heartbeat with a service that the configuration does not name."""
    return {
        "Service": "no-service-of-ours",
        "Addr": f"{HOST}:9",
        "Zone": "ege-izmir",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdLeftMs": 0,
        "Capacity": {"Cpu": 1_000, "MemMb": 1_000, "Gpu": 0},
        "Labels": ["a", "r-other"],
        "ClockMs": 1_000,
        "Seq": 1,
        "born": int(time.time() * 1_000),
    }


def play(site: Site) -> list[str]:
    """Hand jobs in, send the odd heartbeat, and return the doubled runs."""
    site.start()
    time.sleep(3.0)
    job_ids = [f"{number:016x}" for number in range(0xA0, 0xA0 + JOBS)]
    if not all(site.submit(job_id, body()) for job_id in job_ids):
        raise RuntimeError("the jobs were not accepted")
    time.sleep(WORK_S)
    starts = [line for line in site.seen() if line["what"] == "start"]
    if len(starts) < JOBS * TASKS:
        raise RuntimeError(f"only {len(starts)} tasks have begun")
    if TROUBLE:
        port = site.port[f"control {site.hosts[0]}"]
        status, _ = site.call(
            port, "POST", "/v1/instances/i-other-writer/heartbeat", odd_heartbeat()
        )
        site.record("odd heartbeat", host=site.hosts[0], status=status)
    until = time.monotonic() + FOLLOW_S
    while time.monotonic() < until:
        time.sleep(1.0)
        if set(site.states(job_ids).values()) == {"completed"}:
            break
    site.record("states", states=site.states(job_ids))
    return overlaps(site.seen(), [])


def main() -> int:
    """Return the exit code of the case."""
    site = Site(CASE, entries=2, hosts=3)
    try:
        found = play(site)
    except (RuntimeError, OSError) as error:
        site.close(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    verdict = f"TWICE broken {len(found)} times" if found else "TWICE held"
    site.close("\n".join([verdict, *found]))
    print("\n".join([verdict, *found[:3]]))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
