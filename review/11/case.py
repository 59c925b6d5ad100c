"""Shows that one hopeless job that asks for no memory ends the entries again and again.

The rule on faults: on a tenth of the machines in use (two at least) processes end by
themselves three times, with no disruption there.
"""

from __future__ import annotations

import pathlib
import sys
import time
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.kit3.site import Record, Site, run_case  # noqa: E402

MIN_MACHINES = 2
MIN_ENDS = 3
WATCH_S = 50.0
JOBS = 20
HOPELESS_ID = "00000000000000ff"
# Four tasks of which each executor may run one, on three executors.
HOPELESS_STEP = {
    "Count": 4,
    "Cpu": 500,
    "Utilization": True,
    "Gang": True,
    "AntiAffinity": 1,
    "EstimateMs": 1_000,
}


def run(site: Site, record: Record, trouble: str) -> int:
    """Hand the jobs in, and count the programs that end by themselves."""
    site.start()
    time.sleep(4.0)
    if trouble != "0":
        # With the value "memory" the same job asks for some memory.
        memory = {"MemMb": 64} if trouble == "memory" else {}
        body = {"Spec": "1.0", "Steps": [{**HOPELESS_STEP, **memory}]}
        status, _ = site.ask_any("POST", HOPELESS_ID, body)
        if status != 200:
            record.write("the hopeless job was not accepted")
            return 2
    step = {"Count": 1, "Cpu": 250, "MemMb": 100, "EstimateMs": 1_000}
    accepted: list[str] = []
    for number in range(1, JOBS):
        job_id = f"{number:016x}"
        body = {"Spec": "1.0", "Steps": [step]}
        status, _ = site.ask_any("POST", job_id, body, within_s=2.0)
        if status == 200:
            accepted.append(job_id)
        time.sleep(0.25)
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        site.read_executors()
        time.sleep(0.25)
    for entry in site.entries:
        for line in site.lines(entry, "process.role"):
            record.write(f"{entry} wrote: {line}")
    done = {
        str(each["task"]).partition(".")[0]
        for each in site.observations
        if each["what"] == "end" and each["how"] == "done"
    }
    ends = Counter(site.ended_by_itself)
    record.write(
        f"{len(done.intersection(accepted))} of {len(accepted)} other jobs are done;"
        f" programs ended by themselves: {dict(sorted(ends.items()))}"
    )
    if len(accepted) < JOBS // 2:
        return 2
    faulty = [name for name, count in ends.items() if count >= MIN_ENDS]
    return 1 if len(faulty) >= MIN_MACHINES else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
