"""A machine beside an executor is cut off, suspended, and cut off again."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time

from review.kit2.site import Site, job_id

# The limits of the site file firinzeka-prod for side machines, and for a freeze.
CUT_S = 5.5
SUSPENDED_S = float(os.environ.get("SUSPENDED_S", "4.0"))
# The suspension begins so long before the first cut ends, and ends as long after the
# second has begun. A suspended machine sends and answers nothing, so the proxies hold
# everything back from the first cut to the second.
OVERLAP_S = 0.2
JOBS = 4
HOST = "side-0"


def overlaps(site: Site) -> list[str]:
    """Return the tasks that ran twice at once, with how long."""
    running: dict[tuple[str, int], tuple[str, float]] = {}
    found = []
    for each in site.lines():
        if each["what"] == "end":
            key = (each["task"], each["run"])
            server, _ = running.pop(key, ("", 0.0))
            for (task, run), (other, since) in running.items():
                if task == each["task"] and other != server:
                    text = f"{task} runs {each['run']} ({server}) and {run} ({other})"
                    found.append(f"{text} for {each['at'] - since:.2f} s")
        if each["what"] == "start":
            running[(each["task"], each["run"])] = (each["server"], each["at"])
    return found


def main() -> int:
    """Run the case; return 1 if the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(__file__).resolve().parent
    site = Site(folder=folder, entries=3, hosts=6, cpu=32_000, mem=128_000, apart=True)
    site.let_cut(HOST)
    try:
        site.start()
        time.sleep(6.0)
        step = {"Count": 12, "Cpu": 500, "MemMb": 64, "EstimateMs": 40_000}
        for _ in range(JOBS):
            site.submit(job_id(), {"Spec": '{"s": 40}', "Steps": [step]})
        time.sleep(4.0)
        if not any(each.get("server") == HOST for each in site.lines()):
            raise RuntimeError(f"no task runs on {HOST}")
        if trouble:
            site.cut(HOST, off=True)
        time.sleep(CUT_S - OVERLAP_S)
        suspended = (HOST, f"executors-{HOST}")
        if trouble and SUSPENDED_S:
            for name in suspended:
                site.signal(name, signal.SIGSTOP)
        time.sleep(SUSPENDED_S)
        if trouble and SUSPENDED_S:
            for name in suspended:
                site.signal(name, signal.SIGCONT)
        time.sleep(CUT_S - OVERLAP_S)
        if trouble:
            site.cut(HOST, off=False)
        time.sleep(8.0)
        found = overlaps(site)
        site.note(what="verdict", twice=found)
        print(f"{len(found)} tasks ran twice at once; {found[:3]}")
        return 1 if found else 0
    finally:
        site.close()


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"the case could not run: {error}")
        code = 2
    sys.exit(code)
