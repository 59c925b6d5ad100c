"""Tests of the script that reads from a log for how long jobs had nothing running."""

from __future__ import annotations

import testtools

from scripts.gaps import find_gaps, report
from scripts.idle_lines import MAX_UNREPORTED_ROOM_S, Span
from scripts.job_windows import longest_gap
from scripts.log_lines import missing_times_s, parse
from test.play_log import HOST, JOB, OWNER, Log


class ParseTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(-1.5)
        self.log.place(2.0, "0.0.0")

    def test_the_time_before_the_line_counts(self) -> None:
        self.assertEqual([-1.5, 2.0], [line.timestamp for line in self.log.lines])

    def test_a_line_without_a_time_has_that_of_the_previous_one(self) -> None:
        first, second = self.log.texts
        bare = second[second.index("{") :]
        self.assertEqual(
            [-1.5, -1.5], [line.timestamp for line in parse([first, bare])]
        )
        self.assertEqual([1002.0], [line.timestamp for line in parse([bare])])

    def test_a_line_after_the_rest_of_a_cut_one_is_read(self) -> None:
        first, second = self.log.texts
        lines = parse(["worth 0.7\n", first[:70] + second])
        self.assertEqual(["task.place"], [line.message_type for line in lines])
        self.assertEqual([2.0], [line.timestamp for line in lines])

    def test_missing_lines_of_owners_are_found(self) -> None:
        self.assertEqual([], missing_times_s(self.log.lines))
        self.log.skip(HOST, 3)
        self.log.start(2.5, "0.0.0")
        self.log.skip(OWNER, 1)
        self.log.end(3.0, "0.0.0", "done")
        self.assertEqual([3.0], missing_times_s(self.log.lines))


class LongestGapTest(testtools.TestCase):
    def test_it_is_what_no_busy_span_covers(self) -> None:
        busy = [
            Span(start_s=5.0, end_s=6.0),
            Span(start_s=1.0, end_s=4.0),
            Span(start_s=2.0, end_s=3.0),
        ]
        gap = longest_gap(Span(start_s=0.0, end_s=10.0), busy)
        self.assertEqual(Span(start_s=6.0, end_s=10.0), gap)
        gap = longest_gap(Span(start_s=0.0, end_s=5.5), busy)
        self.assertEqual(1.0, gap.length_s)


class JobGapTest(testtools.TestCase):
    """A wait is read from the log even if the play breaks no rule."""

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(1.0)
        self.log.place(1.0, "0.0.0")
        self.log.start(1.5, "0.0.0")

    def test_a_step_whose_turn_has_come_and_that_waits(self) -> None:
        self.log.end(4.0, "0.0.0", "done")
        self.log.place(4.0, "0.1.0")
        self.log.start(9.0, "0.1.0")
        self.log.end(10.0, "0.1.0", "done")
        self.log.end_job(10.0)
        self.assertEqual((4.0, 9.0), self.log.job_gap())
        self.assertEqual(
            {"0.1.0": (4.0, 9.0), "0.0.0": (1.0, 1.5)}, self.log.task_gaps()
        )

    def test_a_task_that_waits_beside_another(self) -> None:
        self.log.place(1.0, "0.0.1")
        self.log.end(2.0, "0.0.0", "stopped")
        self.log.start(2.0, "0.0.1")
        self.log.place(7.0, "0.0.0", run=2)
        self.log.start(8.0, "0.0.0", run=2)
        self.log.end(12.0, "0.0.1", "done")
        self.log.end(12.0, "0.0.0", "done", run=2)
        self.log.end_job(12.0)
        self.assertEqual((1.0, 1.5), self.log.job_gap())
        self.assertEqual((2.0, 8.0), self.log.task_gaps()["0.0.0"])

    def test_a_lost_run_lasts_to_the_last_line_of_its_host(self) -> None:
        self.log.add(3.0, HOST, "run.pace", f"{JOB}.0.0.0#1", "80%")
        self.log.end(17.0, "0.0.0", "lost expired")
        self.log.place(17.0, "0.0.0", run=2)
        self.log.start(17.5, "0.0.0", run=2)
        self.log.end(19.0, "0.0.0", "done", run=2)
        self.log.end_job(19.0)
        self.assertEqual((3.0, 17.5), self.log.job_gap())

    def test_one_line_for_the_lost_runs_of_a_host_ends_each_of_them(self) -> None:
        self.log.place(1.0, "0.0.1")
        self.log.start(1.5, "0.0.1")
        self.log.add(3.0, HOST, "run.pace", f"{JOB}.0.0.0#1", "80%")
        self.log.lose(17.0, "0.0.0#1", "0.0.1#1")
        for task in ("0.0.0", "0.0.1"):
            self.log.place(17.0, task, run=2)
        self.log.start(17.5, "0.0.0", run=2)
        self.log.start(18.5, "0.0.1", run=2)
        for task in ("0.0.0", "0.0.1"):
            self.log.end(19.0, task, "done", run=2)
        self.log.end_job(19.0)
        self.assertEqual((3.0, 17.5), self.log.job_gap())
        self.assertEqual(
            {"0.0.0": (3.0, 17.5), "0.0.1": (3.0, 18.5)}, self.log.task_gaps()
        )
        self.assertEqual([], missing_times_s(self.log.lines))
        [last] = [
            text
            for text in report(self.log.lines, worst=1)
            if text.startswith(f"    {JOB}.0.0.1") and "17.000" in text
        ][:1]
        self.assertIn("task.place", last)

    def test_a_task_that_waits_after_the_loss_of_its_host(self) -> None:
        self.log.lose(17.0, "0.0.0#1")
        self.log.add(30.0, "agent-2", "process", "")
        self.assertEqual((1.5, 30.0), self.log.job_gap())
        printed = report(self.log.lines, worst=1)
        reason = "lost its host was silent too long"
        self.assertIn(f"    {JOB}.0.0.0     17.000 task.end {HOST} {reason}", printed)

    def test_a_run_without_an_end_on_a_host_that_the_owner_never_heard(self) -> None:
        # The run is given up only after the end of the log.
        self.log.add(3.0, HOST, "run.pace", f"{JOB}.0.0.0#1", "80%")
        self.log.add(4.0, "entry-2", "shard.own", "shard-0")
        self.log.add(20.0, "agent-2", "process", "")
        self.assertEqual((3.0, 20.0), self.log.job_gap())
        self.assertEqual((3.0, 20.0), self.log.task_gaps()["0.0.0"])

    def test_lines_that_a_new_owner_writes_at_once_may_be_missing(self) -> None:
        self.log.add(4.0, "entry-2", "job.accept", JOB)
        self.log.skip("entry-2", 9)
        self.log.add(20.0, "entry-2", "harm.learn", "1 pairs")
        self.assertEqual((1.5, 20.0), self.log.job_gap())

    def test_a_run_without_an_end_on_a_host_that_the_owner_has_heard(self) -> None:
        self.log.add(4.0, "entry-2", "shard.own", "shard-0")
        self.log.add(4.5, HOST, "owner.hear", "entry-2", "", "adopted")
        self.log.add(20.0, "agent-2", "process", "")
        self.assertEqual((1.0, 1.5), self.log.job_gap())

    def test_a_job_that_has_not_ended_waits_to_the_end_of_the_log(self) -> None:
        self.log.end(4.0, "0.0.0", "done")
        self.log.place(5.0, "0.1.0")
        self.log.add(30.0, HOST, "process", "")
        self.assertEqual((4.0, 30.0), self.log.job_gap())

    def test_an_end_that_may_be_missing_is_no_wait(self) -> None:
        self.log.end(4.0, "0.0.0", "done")
        self.log.skip(OWNER, 2)
        self.log.add(20.0, OWNER, "harm.learn", "1 pairs")
        self.assertEqual((1.0, 1.5), self.log.job_gap())

    def test_a_cancelled_job_does_not_wait(self) -> None:
        # An owner that is killed may not have written the line of the end.
        self.log.add(3.0, "entry-2", "call.answer", JOB, "JobCancelled")
        self.log.end(4.0, "0.0.0", "stopped")
        self.log.add(30.0, HOST, "process", "")
        self.assertEqual((1.0, 1.5), self.log.job_gap())

    def test_a_run_whose_start_is_missing_is_no_wait(self) -> None:
        self.log.end(4.0, "0.0.0", "stopped")
        self.log.end(20.0, "0.0.0", "done", run=2)
        self.log.end_job(20.0)
        self.assertEqual((1.0, 1.5), self.log.job_gap())

    def test_a_job_that_ended_before_a_takeover_does_not_stand_still(self) -> None:
        # The owner that ended it did not write the line of the end.
        self.log.end(4.0, "0.0.0", "done")
        self.log.own(40.0, "entry-2", "completed, 39.00 s")
        self.log.add(80.0, HOST, "process", "")
        self.assertEqual((1.0, 1.5), self.log.job_gap())

    def test_a_job_that_is_open_after_a_takeover_stands_still(self) -> None:
        self.log.end(4.0, "0.0.0", "done")
        self.log.own(40.0, "entry-2", "running, 39.00 s")
        self.log.add(80.0, HOST, "process", "")
        self.assertEqual((4.0, 80.0), self.log.job_gap())

    def test_a_run_that_is_paced_has_started(self) -> None:
        # A list showed the run before its start was answered, so no line says so.
        self.log.place(2.0, "0.0.1")
        self.log.pace(5.0, "0.0.1")
        self.log.end(6.0, "0.0.0", "done")
        self.log.add(30.0, "agent-2", "process", "")
        self.assertEqual((1.0, 1.5), self.log.job_gap())
        self.assertEqual((2.0, 2.0), self.log.task_gaps()["0.0.1"])

    def test_a_placed_run_without_a_line_of_its_agent_has_not_started(self) -> None:
        self.log.place(2.0, "0.0.1")
        self.log.add(30.0, "agent-2", "process", "")
        self.assertEqual((2.0, 30.0), self.log.task_gaps()["0.0.1"])

    def test_jobs_with_several_occurrences_are_left_out(self) -> None:
        self.log.place(20.0, "1.0.0")
        self.assertEqual(([], []), find_gaps(self.log.lines))

    def test_the_report_names_the_last_line_about_each_task(self) -> None:
        self.log.end(4.0, "0.0.0", "done")
        self.log.place(4.5, "0.1.0")
        self.log.start(18.0, "0.1.0")
        self.log.end(19.0, "0.1.0", "done")
        self.log.end_job(19.0)
        self.assertEqual(
            [
                f"{JOB}: 14.00 s, from 4.000 s to 18.000 s,"
                " room for 0.00 s, perhaps 14.00 s",
                f"    {JOB:24}    1.000 job.accept queue queued, 0.01 s",
                f"    {JOB}.0.0.0      4.000 task.end {HOST} done",
                f"    {JOB}.0.1.0      4.500 task.place {HOST} ",
                f"{JOB}.0.1.0: 13.50 s, from 4.500 s to 18.000 s",
                f"    {JOB}.0.1.0      4.500 task.place {HOST} ",
                "1 jobs: longest gap 14.00 s, 1 over 3 s, 1 over 6 s, 1 over 12 s",
                "2 tasks: longest gap 13.50 s, 1 over 3 s, 1 over 6 s, 1 over 12 s",
                "books: no difference",
                "worst: 0.00 s with room (-), at most 14.00 s with what is not known;"
                f" 14.00 s of all ({JOB}); 0 jobs with room for 3 s;"
                " lasting tasks 0.00 s with room, 0.00 s of all",
                "true: not known, no agent wrote of an end",
            ],
            report(self.log.lines, worst=1),
        )


class RoomTest(testtools.TestCase):
    """A wait counts against the platform's rule only while there is room."""

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(1.0)
        self.log.place(1.0, "0.0.0")
        self.log.start(1.5, "0.0.0")
        self.log.end(4.0, "0.0.0", "done")

    def report(self) -> list[str]:
        return report(self.log.lines, worst=1)

    def worst_line(self) -> str:
        [line] = [line for line in self.report() if line.startswith("worst: ")]
        return line

    def test_the_room_of_a_span_that_ended_is_printed(self) -> None:
        self.log.start(9.0, "0.1.0")
        self.log.span(9.5, 5.0, 2.25, ended_s=0.5)
        self.log.end(10.0, "0.1.0", "done")
        self.log.end_job(10.0)
        first, last = self.report()[0], self.worst_line()
        self.assertEqual(
            f"{JOB}: 5.00 s, from 4.000 s to 9.000 s, room for 2.25 s", first
        )
        self.assertIn(f"worst: 2.25 s with room ({JOB}), at most 2.25 s", last)

    def test_a_span_without_room_says_so(self) -> None:
        self.log.start(9.0, "0.1.0")
        self.log.span(7.0, 3.0)
        self.log.span(9.5, 5.0, ended_s=0.5)
        self.log.end(10.0, "0.1.0", "done")
        self.log.end_job(10.0)
        first, last = self.report()[0], self.worst_line()
        self.assertIn(", no room", first)
        self.assertIn("worst: 0.00 s with room (-), at most 0.00 s", last)

    def test_the_spans_of_two_owners_are_joined(self) -> None:
        self.log.span(7.0, 3.0, 3.0)
        self.log.own(10.0, "entry-2", "running, 9.00 s")
        self.log.span(13.0, 2.0, 2.0, ended_s=1.0, process="entry-2")
        self.log.start(12.0, "0.1.0")
        self.log.end(14.0, "0.1.0", "done")
        self.log.end_job(14.0)
        first, last = self.report()[0], self.worst_line()
        self.assertIn("8.00 s, from 4.000 s to 12.000 s", first)
        self.assertIn("room for 3.00 s, perhaps 8.00 s", first)
        self.assertIn(f"worst: 3.00 s with room ({JOB}), at most 8.00 s", last)
        self.assertIn("1 jobs with room for 3 s", last)

    def test_room_after_the_last_line_of_an_owner_is_bounded(self) -> None:
        self.log.span(7.0, 3.0)
        self.log.span(10.0, 6.0)
        self.log.add(20.0, HOST, "process", "")
        possible_s = MAX_UNREPORTED_ROOM_S
        self.assertIn(f"room for 0.00 s, perhaps {possible_s:.2f} s", self.report()[0])
        self.log.own(15.0, "entry-2", "running, 14.00 s")
        self.assertIn("room for 0.00 s, perhaps 10.00 s", self.report()[0])

    def test_lasting_tasks_are_named_by_their_spans(self) -> None:
        self.log.end_job(4.0)
        self.log.span(20.0, 3.5, 3.25, subject="00ff.0.0.1")
        last = self.worst_line()
        self.assertIn("lasting tasks 3.25 s with room, 3.50 s of all", last)

    def test_the_spans_of_its_lasting_tasks_count_for_a_job(self) -> None:
        self.log.start(9.0, "0.0.0", run=2)
        self.log.span(9.5, 5.0, 4.25, ended_s=0.5, subject=f"{JOB}.0.0.0")
        self.log.end_job(10.0)
        self.assertIn("to 9.000 s, room for 4.25 s", self.report()[0])

    def test_the_share_in_use_at_the_end_is_printed(self) -> None:
        for at_s, processors in ((10.0, 0.7), (15.0, 0.327)):
            reason = (
                f"committed processors {processors:.3f}, memory 0.989; lasting tasks"
                " hold processors 0.300, memory 0.195; filling tasks request"
                " processors 1.800, memory 0.794"
            )
            self.log.add(at_s, OWNER, "capacity.use", "ovens", "18 hosts ready", reason)
        *_, use, _, _ = self.report()
        self.assertIn("ovens at 15.000 s, 18 hosts ready: committed", use)
        self.assertIn("processors under one half, memory not under one half", use)


class BooksTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.accept(1.0)

    def differ(
        self, at_s: float, kind: str, age_s: float, host: str = HOST, by: str = OWNER
    ) -> None:
        reason = (
            f"for {age_s:.2f} s; the agent handled 4 of 5 orders of adoption 1, and"
            " holds 2 ends, the first for 1.8 s"
        )
        self.log.add(at_s, by, "books.differ", host, kind, reason)

    def agree(self, at_s: float, kind: str, age_s: float, host: str = HOST) -> None:
        reason = f"after {age_s:.2f} s"
        self.log.add(at_s, OWNER, "books.agree", host, kind, reason)

    def miss(self, at_s: float, job_id: str, end: str = "") -> None:
        reason = f"the watch has read up to 90 and missed version 81{end}"
        self.log.add(at_s, OWNER, "books.differ", job_id, "row", reason)

    def line(self) -> str:
        [line] = [
            line
            for line in report(self.log.lines, worst=10)
            if line.startswith("books: ")
        ]
        return line

    def test_books_that_never_differ(self) -> None:
        self.assertEqual("books: no difference", self.line())

    def test_differences_are_counted_by_kind_and_the_oldest_is_named(self) -> None:
        self.differ(10.0, "runs", 0.72)
        self.agree(10.8, "runs", 1.52)
        self.differ(12.0, "orders", 0.0, "agent-2")
        self.differ(12.1, "runs", 0.75, "agent-3")
        self.agree(12.2, "orders", 0.2, "agent-2")
        self.agree(12.9, "runs", 1.55, "agent-3")
        self.assertEqual(
            "books: 3 differences, 1 orders, 2 runs; the oldest 1.55 s, runs of"
            " agent-3, from 11.350 s",
            self.line(),
        )

    def test_a_difference_is_counted_once_until_the_books_agree(self) -> None:
        self.differ(10.0, "host", 0.75)
        self.log.add(10.1, OWNER, "books.differ", HOST, "named", "ended there: a.0#1")
        self.differ(11.5, "runs", 2.25)
        self.agree(12.0, "runs", 2.75)
        self.differ(20.0, "runs", 0.75)
        self.agree(20.5, "runs", 1.25)
        self.assertEqual(
            "books: 2 differences, 1 host, 1 runs; the oldest 2.75 s, host of"
            " agent-1, from 9.250 s",
            self.line(),
        )

    def test_a_difference_that_no_line_ends_is_named(self) -> None:
        self.differ(10.0, "runs", 0.75)
        self.differ(20.0, "runs", 0.8)
        self.agree(20.5, "runs", 1.3)
        self.assertEqual(
            "books: 2 differences, 2 runs; 1 without a line that they agree; the"
            " oldest 1.30 s, runs of agent-1, from 19.200 s",
            self.line(),
        )

    def test_each_owner_has_books_of_its_own(self) -> None:
        self.differ(10.0, "runs", 0.75)
        self.differ(10.0, "runs", 0.75, by="entry-2")
        self.agree(10.5, "runs", 1.25)
        self.assertIn("2 differences, 2 runs; 1 without", self.line())

    def test_missed_rows_have_no_age_and_agree_at_once(self) -> None:
        self.miss(10.0, JOB)
        self.miss(10.0, "00ff", "; 3 more are not logged")
        self.assertEqual("books: 5 differences, 5 row", self.line())


class FailuresTest(testtools.TestCase):
    def test_what_an_owner_failed_to_handle_is_counted(self) -> None:
        log = Log()
        log.accept(1.0)
        self.assertNotIn("failures", "\n".join(report(log.lines, worst=1)))
        log.add(2.0, OWNER, "job.set_aside", JOB, "for 10 s", "ValueError('odd')")
        log.add(3.0, OWNER, "report.failed", "unserved", "left out for 10 s")
        expected = (
            f"failures: 2, the first at 2.000 s: job.set_aside {JOB}: ValueError('odd')"
        )
        self.assertIn(expected, report(log.lines, worst=1))
