"""Tests of the soak: a violation of each invariant, the plan, and a short real run."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import replace

import testtools
from pyrsistent import pmap

from scripts.fleet import ROOT
from soak.invariants import (
    Answered,
    Cancelled,
    EndAcknowledged,
    Ended,
    Evacuated,
    Observation,
    ServerGone,
    Started,
    StateReceived,
    Tables,
    check_observation,
    unfinished,
)
from soak.picture import draw_picture
from soak.plan import JobPlan, Kill, WriteOddRow, draw, draw_jobs
from soak.run import Verdict, failure_lines
from soak.site import make_names, make_site

JOB = JobPlan(
    at=0.0, job_id="5c0e", payload="1", steps=((2, 3_000, ()), (1, 500, (0,)))
)
FIRST, SECOND, LAST = "5c0e.0.0.0", "5c0e.0.0.1", "5c0e.0.1.0"
SHORT_RUN = ("--seed", "7", "--seconds", "14", "--hosts", "3")
SHORT_RUN_S = 150.0
OTHER_FAULTS_OF_SEED_5 = 25


def started(task: str, at: float = 1.0, host: str = "host-0", run: int = 1) -> Started:
    """Return the start of a run."""
    return Started(at=at, host=host, failure_domain="z1", task=task, run=run)


def ended(task: str, how: str = "done", at: float = 2.0, run: int = 1) -> Ended:
    """Return the end of a run."""
    return Ended(at=at, host="host-0", task=task, run=run, how=how)


def state_received(state: str, at: float = 9.0) -> StateReceived:
    """Return the state that a caller was shown."""
    return StateReceived(at=at, job_id=JOB.job_id, state=state)


def answered(answer: str, at: float = 0.5) -> Answered:
    """Return the final answer to a submission."""
    return Answered(at=at, job_id=JOB.job_id, answer=answer, final=True)


FIRST_ACKNOWLEDGED = EndAcknowledged(at=2.5, task=FIRST, how="done")
EVACUATED = Evacuated(at=1.0, failure_domain="z1")
CANCELLED = Cancelled(at=1.0, job_id=JOB.job_id)
# Observations that violate one invariant each, and similar ones that violate none.
OBSERVATIONS_BY_VIOLATION: Mapping[str, tuple[Observation, ...]] = {
    "unasked": (started("5c0e.0.0.2"),),
    "twice": (started(FIRST), started(FIRST, host="host-1", run=2)),
    "again": (
        started(FIRST),
        ended(FIRST),
        FIRST_ACKNOWLEDGED,
        started(FIRST, at=3.0, run=2),
    ),
    "order": (started(FIRST), ended(FIRST), started(LAST)),
    "refused": (answered("refused"), started(FIRST)),
    "cancelled": (CANCELLED, started(FIRST, at=4.5)),
    "evacuated": (EVACUATED, started(FIRST, at=6.5)),
    "capacity": (started(FIRST), started(SECOND)),
    "complete": (started(FIRST), ended(FIRST), state_received("completed")),
    "lost": (answered("accepted"), state_received("gone")),
    "failed": (answered("accepted"), state_received("failed")),
}
NO_VIOLATION_CASES: Mapping[str, tuple[Observation, ...]] = {
    "a second run after a crash": (
        started(FIRST),
        ServerGone(at=1.5, host="host-0"),
        started(FIRST, at=2.0, host="host-1", run=2),
    ),
    "a second run after an end that was never acknowledged": (
        started(FIRST),
        ended(FIRST),
        started(FIRST, at=3.0, run=2),
    ),
    "a refusal after an unknown outcome": (
        answered("unknown"),
        answered("refused"),
        started(FIRST),
    ),
    "a start right after a cancellation": (CANCELLED, started(FIRST, at=2.0)),
    "a start after the return of a failure domain": (
        EVACUATED,
        Evacuated(at=6.0, failure_domain="z1", returned=True),
        started(FIRST, at=6.5),
    ),
}


def check_all(*observations: Observation) -> Tables:
    """Check observations, all in a time without faults."""
    tables = Tables(
        job_by_id=pmap({JOB.job_id: JOB}), capacity_m=4_000, calm_period=(0.0, 60.0)
    )
    for observation in observations:
        tables = check_observation(observation, tables)
    return tables


class InvariantsTest(testtools.TestCase):
    def test_a_violation_of_each_invariant_is_reported(self) -> None:
        for invariant, observations in OBSERVATIONS_BY_VIOLATION.items():
            with self.subTest(invariant):
                violations = check_all(*observations).violations
                self.assertEqual([invariant], [line.split()[0] for line in violations])

    def test_similar_observations_violate_no_invariant(self) -> None:
        for name, observations in NO_VIOLATION_CASES.items():
            with self.subTest(name):
                self.assertEqual((), check_all(*observations).violations)

    def test_an_accepted_job_without_an_end_is_unfinished(self) -> None:
        tables = check_all(answered("accepted"), state_received("running"))
        self.assertEqual((JOB.job_id,), unfinished(tables))
        ended_tables = check_observation(
            state_received("failed"), replace(tables, violations=())
        )
        self.assertEqual((), unfinished(ended_tables))


class SiteTest(testtools.TestCase):
    def test_overlapping_faults_start_a_process_once(self) -> None:
        # Seed 71491 killed and terminated an entry at the same time. Both faults then
        # started it again, and the second process found its address in use and ended.
        names = make_names(1, 0)
        site = make_site(names, pathlib.Path(tempfile.mkdtemp()), print)
        self.addCleanup(site.fleet.kill_all)
        site.start_process("entry-0")
        first = site.fleet.program_by_name["entry-0"].process
        site.start_process("entry-0")
        self.assertIs(first, site.fleet.program_by_name["entry-0"].process)


class VerdictTest(testtools.TestCase):
    def test_a_process_that_ends_by_itself_fails_the_run(self) -> None:
        verdict = Verdict(seed=1, tables=check_all(), unfinished=())
        self.assertTrue(verdict.passed)
        self.assertFalse(replace(verdict, ended_by_itself=("entry-0",)).passed)

    def test_a_job_that_an_entry_fails_to_handle_fails_the_run(self) -> None:
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        text = '{"message_type":"%s","subject":"a"}\n'
        (folder / "host-1.log").write_text(text % "job.set_aside")
        (folder / "entry-0.log").write_text(text % "job.accept")
        self.assertEqual((), failure_lines(folder))
        (folder / "entry-1.log").write_text(text % "job.set_aside")
        [failure] = failure_lines(folder)
        self.assertIn("entry-1", failure)
        verdict = Verdict(
            seed=1, tables=check_all(), unfinished=(), failures=(failure,)
        )
        self.assertFalse(verdict.passed)


class PlanTest(testtools.TestCase):
    def test_rows_of_other_writers_do_not_change_the_other_faults(self) -> None:
        """A seed that once failed stays the same regression case."""
        plan = draw(5, 34.0, make_names(2, 4))
        odd_rows = [fault for fault in plan.faults if isinstance(fault, WriteOddRow)]
        self.assertTrue(odd_rows)
        self.assertEqual(OTHER_FAULTS_OF_SEED_5, len(plan.faults) - len(odd_rows))

    def test_a_seed_gives_the_same_run_again(self) -> None:
        names = make_names(2, 4)
        self.assertEqual(draw(5, 34.0, names), draw(5, 34.0, names))
        self.assertEqual(draw_jobs(5, 34.0, 3.0), draw_jobs(5, 34.0, 3.0))
        self.assertNotEqual(draw(5, 34.0, names), draw(6, 34.0, names))

    def test_only_planned_changes_are_made_in_the_calm_period(self) -> None:
        for seed in range(20):
            plan = draw(seed, 34.0, make_names(2, 4))
            kinds = {
                type(fault).__name__
                for fault in plan.faults
                if plan.calm_from <= fault.at < plan.calm_until
            }
            self.assertEqual({"Evacuate", "Reconfigure"}, kinds)


class PictureTest(testtools.TestCase):
    def test_each_line_counts_the_events_of_its_interval(self) -> None:
        observations = (answered("accepted"), started(FIRST), started(SECOND, at=3.0))
        lines = draw_picture(
            0.0, observations, (Kill(at=2.5, name="entry-0", duration_s=1.0),)
        )
        self.assertEqual(
            [
                "     0 s   1 acc   0 ref   1",
                "     2 s   0 acc   0 ref   1  Kill",
            ],
            lines,
        )


class ShortRunTest(testtools.TestCase):
    def test_a_short_run_violates_no_invariant(self) -> None:
        done = subprocess.run(
            (sys.executable, "-m", "soak.run", *SHORT_RUN),
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=SHORT_RUN_S,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        self.assertIn("seed 7: passed", done.stdout)
