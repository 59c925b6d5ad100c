"""Compares group commit with one transaction for each submission.

Runs the committer's actor with the stand-in of the table service over HTTP on
loopback, with a fixed number of submissions outstanding at all times::

    scripts/measure commit --waiting 1,10,100,1000

Each of the `waiting` submitters submits again when it gets its outcome. The baseline
is the same actor with batches of one row.
"""

from __future__ import annotations

import gc
import resource
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import singledispatch
from unittest import mock

import pykka
from absl import app, flags
from hdrh.histogram import HdrHistogram

from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    ReportTo,
    Submission,
    Submitted,
    Write,
)
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.rows import ClaimRow
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.platform.table_service import TableServiceClient
from bulrushpulley.roles import committer, committer_io
from bulrushpulley.roles.actor import RoleActor
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.systems.commit import batch as commit_batch
from standins.table_service import GC_THRESHOLDS, TableService
from standins.web import make_server

FLAGS = flags.FLAGS
US_PER_S = 1_000_000
CONNECTIONS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Measurement:
    """The results of one run."""

    waiting: int
    commits: int
    seconds: float
    processor_s: float
    transactions: int
    p50_ms: float
    p99_ms: float

    @property
    def commits_per_s(self) -> float:
        """Commits per second."""
        return self.commits / self.seconds


class Submitters:
    """Keeps `waiting` submissions outstanding and records their latencies."""

    def __init__(self, *, waiting: int, prefix: str) -> None:
        self._prefix = prefix
        self._waiting = waiting
        self._submitted_at_by_id: dict[str, float] = {}
        self._number = 0
        self.latencies = HdrHistogram(1, 60 * US_PER_S, 3)
        self.commits = 0
        self.other_outcomes = 0
        self.transactions = 0
        self.actor: pykka.ActorRef[RoleActor] | None = None

    def start(self) -> None:
        """Send the first submission of every submitter."""
        for _ in range(self._waiting):
            self._submit()

    def stop(self) -> None:
        """Stop submitting."""
        self._waiting = 0

    def report(self, command: ReportTo) -> None:
        """Record an outcome."""
        record_outcome(command.outcome, self)

    def count(self, command: Count) -> None:
        """Add up the transactions; other counts are ignored."""
        if command.name == "commit.transactions":
            self.transactions += command.by

    def record_commit(self, submission_id: str) -> None:
        """Record the latency of a committed submission and submit again."""
        latency_s = time.monotonic() - self._submitted_at_by_id.pop(submission_id)
        self.latencies.record_value(max(1, int(latency_s * US_PER_S)))
        self.commits += 1
        if self._waiting:
            self._submit()

    def _submit(self) -> None:
        self._number += 1
        name = f"{self._prefix}{self._number}"
        key = f"claim/bench/{name}"
        row = ClaimRow(
            service="bench",
            request_id=name,
            agent="agent-1",
            incarnation="agent-1-1",
            claimed_at=0.0,
        )
        submission = Submission(
            submission_id=name,
            conditions=(Condition(key=key, version=0),),
            writes=(Write(key=key, row=row),),
            give_up_after_s=60.0,
        )
        self._submitted_at_by_id[name] = time.monotonic()
        assert self.actor is not None
        self.actor.tell(Submitted(origin="bench", submission=submission))


@singledispatch
def record_outcome(outcome: Event, submitters: Submitters) -> None:
    """Count an outcome other than a commit."""
    submitters.other_outcomes += 1


@record_outcome.register
def _(outcome: Committed, submitters: Submitters) -> None:
    submitters.record_commit(outcome.submission_id)


def ignore_command(command: Command) -> None:
    """Ignore a command that is not measured."""


def make_ports(
    *, url: str, submitters: Submitters, pool: ThreadPoolExecutor
) -> committer_io.CommitterPorts:
    """Return ports that run the committer's I/O on a pool."""

    def run(*, role: str, work: Callable[[], Event]) -> None:
        assert submitters.actor is not None
        actor = submitters.actor
        pool.submit(lambda: actor.tell(work()))

    return committer_io.CommitterPorts(
        send=ignore_command,
        tell=lambda role, event: None,
        answer=ignore_command,
        decide=ignore_command,
        count=submitters.count,
        observe=ignore_command,
        run=run,
        table=TableServiceClient(url=url, connections=CONNECTIONS),
        report_to=submitters.report,
    )


def measure(*, url: str, waiting: int, seconds: float, prefix: str) -> Measurement:
    """Run `waiting` submitters for `seconds`."""
    submitters = Submitters(waiting=waiting, prefix=prefix)
    with ThreadPoolExecutor(max_workers=CONNECTIONS) as pool:
        ports = make_ports(url=url, submitters=submitters, pool=pool)
        role = committer.build(name=prefix, incarnation=prefix)
        actor = RoleActor.start(
            role=role, carry_out=lambda command: carry_out(command, ports)
        )
        submitters.actor = actor
        processor_at_start_s = processor_s()
        started_at = time.monotonic()
        submitters.start()
        threading.Event().wait(seconds)
        measurement = Measurement(
            waiting=waiting,
            commits=submitters.commits,
            seconds=time.monotonic() - started_at,
            processor_s=processor_s() - processor_at_start_s,
            transactions=submitters.transactions,
            p50_ms=submitters.latencies.get_value_at_percentile(50) / 1_000,
            p99_ms=submitters.latencies.get_value_at_percentile(99) / 1_000,
        )
        submitters.stop()
        actor.stop()
    if submitters.other_outcomes:
        raise RuntimeError(f"{submitters.other_outcomes} submissions did not commit")
    return measurement


def processor_s() -> float:
    """Return the processor time that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def print_row(label: str, measurement: Measurement) -> None:
    """Print the results of one run."""
    rows_per_transaction = measurement.commits / max(1, measurement.transactions)
    print(
        f"{label:8} waiting={measurement.waiting:5}"
        f" commits/s={measurement.commits_per_s:8.1f}"
        f" rows/transaction={rows_per_transaction:6.1f}"
        f" p50={measurement.p50_ms:8.1f} ms"
        f" p99={measurement.p99_ms:8.1f} ms"
        f" cpu={measurement.processor_s / measurement.commits * US_PER_S:7.0f}"
        " us/commit",
        flush=True,
    )


def main(argv: list[str]) -> None:
    """Measure each number of waiting submissions, grouped and one by one."""
    del argv
    gc.set_threshold(*GC_THRESHOLDS)
    url = FLAGS.url
    if not url:
        service = TableService(writes_per_s=FLAGS.writes_per_s)
        server = make_server(handle=service.handle, port=0)
        threading.Thread(target=server.serve, daemon=True).start()
        url = f"http://127.0.0.1:{server.bind_addr[1]}"
    for text in FLAGS.waiting:
        waiting = int(text)
        with mock.patch.object(commit_batch, "MAX_BATCH_ROWS", 1):
            single = measure(
                url=url, waiting=waiting, seconds=FLAGS.seconds, prefix=f"one{text}-"
            )
        print_row("single", single)
        grouped = measure(
            url=url, waiting=waiting, seconds=FLAGS.seconds, prefix=f"group{text}-"
        )
        print_row("grouped", grouped)
        print(
            f"ratio    waiting={waiting:5}"
            f" {grouped.commits_per_s / single.commits_per_s:.1f}"
        )


if __name__ == "__main__":
    flags.DEFINE_list(
        "waiting", "1,10,100,1000", "Numbers of submissions outstanding at a time."
    )
    flags.DEFINE_float("seconds", 5.0, "Length of each run in seconds.")
    flags.DEFINE_float(
        "writes_per_s", 300.0, "Transactions per second that the stand-in accepts."
    )
    flags.DEFINE_string(
        "url", "", "URL of a running table service; empty to start the stand-in."
    )
    app.run(main)
