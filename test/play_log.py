"""Writes logs of plays for the tests of the scripts that read them."""

from __future__ import annotations

import json
from collections import Counter

from scripts.gaps import find_gaps
from scripts.log_lines import Line, parse

JOB = "33350f17888d312f"
OWNER = "entry-1"
HOST = "agent-1"


class Log:
    """Writes the lines of a log."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self._number_by_process: dict[str, int] = {}
        self._replaced: Counter[str] = Counter()

    def replace_process(self, process: str) -> None:
        """Let another process with the same name write the lines from now on."""
        self._replaced[process] += 1
        self._number_by_process[process] = 0

    def skip(self, process: str, count: int) -> None:
        """Leave out lines of a process."""
        self._number_by_process[process] = (
            self._number_by_process.get(process, 0) + count
        )

    def add(
        self,
        at_s: float,
        process: str,
        kind: str,
        subject: str,
        chosen: str = "",
        reason: str = "",
    ) -> None:
        self.skip(process, 1)
        fields = {
            "timestamp": 1000.0 + at_s,
            "task_uuid": f"uuid-{process}-{self._replaced[process]}",
            "task_level": [self._number_by_process[process]],
            "message_type": kind,
            "process": process,
            "subject": subject,
            "chosen": chosen,
            "reason": reason,
        }
        text = json.dumps(fields, separators=(",", ":"))
        self.texts.append(f"{at_s:9.4f} {process} {text}\n")

    def accept(self, at_s: float) -> None:
        self.add(at_s, OWNER, "job.accept", JOB, "queue", "queued, 0.01 s")

    def place(self, at_s: float, task: str, run: int = 1) -> None:
        self.add(at_s, OWNER, "task.place", f"{JOB}.{task}#{run}", HOST)

    def start(self, at_s: float, task: str, run: int = 1) -> None:
        self.add(at_s, HOST, "run.start", f"{JOB}.{task}#{run}", "i-1")

    def end(self, at_s: float, task: str, reason: str, run: int = 1) -> None:
        self.add(at_s, OWNER, "task.end", f"{JOB}.{task}#{run}", HOST, reason)

    def run_end(self, at_s: float, task: str, run: int = 1) -> None:
        """Write the agent's line of an end."""
        self.add(at_s, HOST, "run.end", f"{JOB}.{task}#{run}", "done", "end 1")

    def lose(self, at_s: float, *runs: str) -> None:
        subjects = " ".join(f"{JOB}.{run}" for run in runs)
        reason = f"its host was silent too long: {subjects}"
        self.add(at_s, OWNER, "host.lost", HOST, f"{len(runs)} runs", reason)

    def pace(self, at_s: float, task: str, run: int = 1) -> None:
        self.add(at_s, HOST, "run.pace", f"{JOB}.{task}#{run}", "80%")

    def own(self, at_s: float, process: str, reason: str) -> None:
        """Let another owner take over, which finds the job as `reason` says."""
        self.add(at_s, process, "shard.own", "shard-0")
        self.add(at_s, process, "job.accept", JOB, "queue", reason)

    def span(
        self,
        at_s: float,
        idle_s: float,
        room_s: float = 0.0,
        *,
        ended_s: float | None = None,
        process: str = OWNER,
        subject: str = JOB,
    ) -> None:
        """Write the line of an idle span; `ended_s` is for how long it has ended."""
        chosen = f"room {room_s:.2f} s" if room_s else "no room"
        end = "" if ended_s is None else f", ended {ended_s:.2f} s ago"
        reason = f"idle for {idle_s:.2f} s{end}: waiting {idle_s:.1f} s"
        self.add(at_s, process, "job.idle_span", subject, chosen, reason)

    def end_job(self, at_s: float) -> None:
        self.add(at_s, OWNER, "job.end", JOB, "completed")

    @property
    def lines(self) -> list[Line]:
        return parse(self.texts)

    def job_gap(self) -> tuple[float, float]:
        """Return the longest gap of the only job."""
        [(subject, span)] = find_gaps(self.lines)[0]
        assert subject == JOB
        return span.start_s, span.end_s

    def task_gaps(self) -> dict[str, tuple[float, float]]:
        """Return the longest gap of each task."""
        gaps = find_gaps(self.lines)[1]
        return {
            subject.partition(".")[2]: (span.start_s, span.end_s)
            for subject, span in gaps
        }
