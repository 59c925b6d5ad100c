"""Tests of the idle spans that a log tells by the lines of agents alone.

An owner notes the end of a run only while there is one. A log that is read by the
owner's lines does not show the time in which a shard had no owner.
"""

from __future__ import annotations

import testtools

from scripts.gaps import report
from scripts.true_spans import TrueSpan, true_spans, true_summary
from test.play_log import HOST, JOB, OWNER, Log

OTHER_HOST = "agent-2"
NEXT_OWNER = "entry-2"


class TrueSpanTest(testtools.TestCase):
    """Two steps of one task each; the first ends at 4 s for its agent."""

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(1.0)
        self.log.place(1.0, "0.0.0")
        self.log.start(1.5, "0.0.0")

    def spans(self) -> list[TrueSpan]:
        return true_spans(self.log.lines)

    def span(self) -> tuple[float, float]:
        """Return the longest span of the only job."""
        [found] = self.spans()
        self.assertEqual(JOB, found.job_id)
        return found.span.start_s, found.span.end_s

    def end_second_step(self, at_s: float) -> None:
        self.log.run_end(at_s, "0.1.0")
        self.log.end(at_s, "0.1.0", "done")
        self.log.end_job(at_s)

    def test_a_step_that_ends_while_there_is_no_owner(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.own(8.9, NEXT_OWNER, "running, 7.90 s")
        self.log.end(9.0, "0.0.0", "done")
        self.log.place(9.0, "0.1.0")
        self.log.start(9.1, "0.1.0")
        self.end_second_step(12.0)
        self.assertEqual((4.0, 9.1), self.span())

    def test_a_span_in_the_middle_of_the_day_counts(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.start(9.1, "0.1.0")
        self.end_second_step(12.0)
        self.log.add(90.0, HOST, "process", "")
        self.assertEqual((4.0, 9.1), self.span())

    def test_a_job_is_over_at_its_last_end_for_its_agents(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.own(9.0, NEXT_OWNER, "running, 8.00 s")
        self.log.end(9.0, "0.0.0", "done")
        self.log.end_job(9.0)
        self.assertEqual((1.0, 1.5), self.span())

    def test_a_job_that_a_next_owner_finds_ended_is_over_at_its_last_end(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.add(8.0, HOST, "run.noted", f"{JOB}.0.0.0#1", "done", "end 1")
        self.log.own(9.0, NEXT_OWNER, "completed, 8.00 s")
        self.assertEqual((1.0, 1.5), self.span())

    def test_a_job_that_stands_still_until_it_is_cancelled(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.add(9.0, OWNER, "call.answer", JOB, "JobCancelled")
        self.log.end_job(9.5)
        self.assertEqual((4.0, 9.0), self.span())

    def test_an_open_job_stands_still_to_the_end_of_the_log(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.add(9.0, HOST, "process", "")
        self.assertEqual((4.0, 9.0), self.span())

    def test_an_end_of_a_job_that_may_be_missing_is_no_span(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.skip(OWNER, 2)
        self.log.add(20.0, OWNER, "harm.learn", "1 pairs")
        self.assertEqual((1.0, 1.5), self.span())

    def test_a_job_that_is_stored_while_there_is_no_owner_waits_from_then_on(
        self,
    ) -> None:
        self.log = Log()
        self.log.add(1.0, NEXT_OWNER, "job.store", JOB, "queue", "after 0.02 s")
        self.log.accept(5.0)
        self.log.place(5.0, "0.0.0")
        self.log.start(5.1, "0.0.0")
        self.log.run_end(6.0, "0.0.0")
        self.log.end_job(6.0)
        self.assertEqual((1.0, 5.1), self.span())

    def test_jobs_with_several_occurrences_are_left_out(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.place(20.0, "1.0.0")
        self.assertEqual([], self.spans())

    def test_a_log_without_ends_of_agents_tells_no_spans(self) -> None:
        self.log.end(4.0, "0.0.0", "done")
        self.log.add(9.0, HOST, "process", "")
        self.assertEqual([], self.spans())
        self.assertEqual("true: not known, no agent wrote of an end", true_summary([]))


class RunWithoutEndTest(testtools.TestCase):
    """The run of a lost host ends with the last line of the process that had it."""

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(1.0)
        self.log.place(1.0, "0.0.0")
        self.log.start(1.5, "0.0.0")
        self.log.add(3.0, HOST, "capacity.use", "ovens")
        self.log.add(3.0, OTHER_HOST, "run.end", "00ff.0.0.0#1", "done")

    def span(self) -> tuple[float, float]:
        [found] = true_spans(self.log.lines)
        return found.span.start_s, found.span.end_s

    def start_again(self, at_s: float) -> None:
        subject = f"{JOB}.0.0.0#2"
        self.log.add(at_s, OTHER_HOST, "run.start", subject, "i-2")
        self.log.add(at_s + 1.0, OTHER_HOST, "run.end", subject, "done")
        self.log.end_job(at_s + 1.0)

    def test_a_host_that_the_owner_gives_up(self) -> None:
        self.log.lose(8.0, "0.0.0#1")
        self.log.place(8.0, "0.0.0", run=2)
        self.start_again(8.5)
        self.assertEqual((3.0, 8.5), self.span())

    def test_a_host_whose_process_was_replaced(self) -> None:
        self.log.replace_process(HOST)
        self.log.add(6.0, HOST, "process", "")
        self.start_again(8.5)
        self.assertEqual((3.0, 8.5), self.span())

    def test_a_run_that_the_next_process_of_its_host_names_has_gone_on(self) -> None:
        self.log.replace_process(HOST)
        self.log.pace(6.0, "0.0.0")
        self.log.add(20.0, HOST, "process", "")
        self.assertEqual((1.0, 1.5), self.span())

    def test_a_host_that_no_longer_writes_after_a_change_of_owner(self) -> None:
        self.log.add(4.0, NEXT_OWNER, "shard.own", "shard-0")
        self.log.add(20.0, OTHER_HOST, "process", "")
        self.assertEqual((3.0, 20.0), self.span())

    def test_a_change_of_owner_just_before_the_end_of_the_log(self) -> None:
        self.log.add(19.5, NEXT_OWNER, "shard.own", "shard-0")
        self.log.add(20.0, OTHER_HOST, "process", "")
        self.assertEqual((1.0, 1.5), self.span())

    def test_a_host_that_still_writes(self) -> None:
        self.log.add(4.0, NEXT_OWNER, "shard.own", "shard-0")
        self.log.add(4.5, HOST, "owner.hear", NEXT_OWNER, "", "adopted")
        self.log.add(20.0, OTHER_HOST, "process", "")
        self.assertEqual((1.0, 1.5), self.span())

    def test_a_backend_server_that_has_ended(self) -> None:
        self.log.add(5.0, HOST, "server.state", "i-1/77", "ended", "nothing listens")
        self.log.add(9.0, HOST, "owner.hear", OWNER)
        self.start_again(9.5)
        self.assertEqual((5.0, 9.5), self.span())

    def test_a_run_that_its_server_no_longer_lists(self) -> None:
        subject = f"{JOB}.0.0.0#1"
        self.log.add(5.0, HOST, "run.refuse", subject, "", "no longer listed")
        self.start_again(9.5)
        self.assertEqual((5.0, 9.5), self.span())

    def test_an_end_whose_line_was_dropped_is_that_of_the_owner(self) -> None:
        self.log.end(5.0, "0.0.0", "done")
        self.log.place(5.0, "0.1.0")
        self.log.start(9.5, "0.1.0")
        self.log.run_end(10.0, "0.1.0")
        self.log.end_job(10.0)
        self.assertEqual((5.0, 9.5), self.span())

    def test_a_start_whose_line_was_dropped_is_that_of_the_placement(self) -> None:
        self.log.run_end(4.0, "0.0.0")
        self.log.place(4.5, "0.1.0")
        self.log.run_end(9.5, "0.1.0")
        self.log.end_job(10.0)
        self.assertEqual((1.0, 1.5), self.span())


class ReportTest(testtools.TestCase):
    """The report begins and ends with the true spans."""

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(1.0)
        self.log.place(1.0, "0.0.0")
        self.log.start(1.5, "0.0.0")
        self.log.run_end(4.0, "0.0.0")
        self.log.own(8.9, NEXT_OWNER, "running, 7.90 s")
        self.log.end(9.0, "0.0.0", "done")
        self.log.place(9.0, "0.1.0")
        self.log.start(9.1, "0.1.0")
        self.log.run_end(12.0, "0.1.0")
        self.log.end(12.0, "0.1.0", "done")
        self.log.end_job(12.0)

    def test_a_span_that_no_owner_saw(self) -> None:
        self.assertEqual(
            [
                f"true: {JOB}: 5.10 s, from 4.000 s to 9.100 s;"
                " the owner saw 0.10 s of it",
                f"    {JOB:24}    8.900 job.accept queue running, 7.90 s",
                f"    {JOB}.0.0.0      4.000 run.end done end 1",
                f"    {JOB}.0.1.0      9.000 task.place {HOST} ",
                "    shard-0                     8.900 shard.own  ",
            ],
            report(self.log.lines, worst=10)[:5],
        )

    def test_the_loss_of_a_run_is_named(self) -> None:
        self.log.lose(8.95, "0.0.1#1")
        printed = report(self.log.lines, worst=10)
        reason = "lost its host was silent too long"
        self.assertIn(f"    {JOB}.0.0.1      8.950 task.end {HOST} {reason}", printed)

    def test_the_last_line_is_the_summary(self) -> None:
        printed = report(self.log.lines, worst=10)
        self.assertEqual(
            f"true: worst 5.10 s ({JOB}, 4.000 s to 9.100 s);"
            " 1 jobs over 2 s, 1 over 3 s; 1 differ from the owner's by over 1 s",
            printed[-1],
        )

    def test_a_span_that_the_owner_logged_does_not_differ(self) -> None:
        self.log.span(9.5, 4.9, 4.0, ended_s=0.4, process=NEXT_OWNER)
        printed = report(self.log.lines, worst=10)
        self.assertEqual(f"true: {JOB}: 5.10 s, from 4.000 s to 9.100 s", printed[0])
        self.assertIn("; 0 differ", printed[-1])

    def test_only_the_worst_are_printed(self) -> None:
        printed = report(self.log.lines, worst=0)
        self.assertTrue(printed[0].startswith("1 jobs: longest gap 0.50 s"))
