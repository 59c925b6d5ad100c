"""Tests of the script that plays days with several seeds and measures each play.

A near miss breaks no rule, so it only shows if the spans of each play are measured.
"""

from __future__ import annotations

import stat
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import testtools

from scripts.plays import (
    Bench,
    Play,
    Result,
    play_all,
    play_line,
    read_result,
    seeds_of,
    summary_lines,
)
from test.play_log import JOB, Log

WORTH = "worth 0.952 = whole day 1.000 (weight 0.6)\n"
DAY = Path("days/three-cuts.toml")
# It writes its arguments and its directory, and how many of its kind are at work.
FAKE_BENCH = f"""\
#!{sys.executable}
import os, pathlib, sys, time
folder = pathlib.Path(os.environ["FAKE_BENCH_FOLDER"])
(folder / f"{{os.getpid()}}.working").touch()
time.sleep(0.1)
working = len(list(folder.glob("*.working")))
print("working", working, "in", os.getcwd(), "with", *sys.argv[1:])
(folder / f"{{os.getpid()}}.working").unlink()
print("worth 0.952 = whole day 1.000 (weight 0.6)")
"""


def idle_log(idle_s: float) -> list[str]:
    """Return the output of a play in which nothing of a job ran for some time."""
    log = Log()
    log.accept(1.0)
    log.place(1.0, "0.0.0")
    log.start(1.0, "0.0.0")
    log.run_end(4.0, "0.0.0")
    log.start(4.0 + idle_s, "0.1.0")
    log.run_end(20.0, "0.1.0")
    log.end_job(20.0)
    return [*log.texts, WORTH]


class SeedsTest(testtools.TestCase):
    def test_seeds_are_numbers_and_ranges(self) -> None:
        self.assertEqual([1, 2, 3, 7], seeds_of("1-3,7"))

    def test_other_texts_are_refused(self) -> None:
        for text in ("", "1-", "a", "3-1", "1,,2"):
            with self.subTest(text=text):
                self.assertRaises(ValueError, seeds_of, text)


class ResultTest(testtools.TestCase):
    def test_a_play_that_breaks_no_rule(self) -> None:
        result = read_result(Play(day=DAY, seed=2), idle_log(5.25), exit_code=0)
        self.assertEqual(
            "three-cuts seed 2: rules broken: none; true: worst 5.25 s"
            f" ({JOB}, 4.000 s to 9.250 s); 1 jobs over 2 s, 1 over 3 s;"
            " 1 differ from the owner's by over 1 s",
            play_line(result),
        )

    def test_the_rules_that_the_bench_names(self) -> None:
        texts = [*idle_log(1.0), "rules broken: LOST 88, MIXED 1\n"]
        result = read_result(Play(day=DAY, seed=2), texts, exit_code=1)
        self.assertIn(
            "seed 2: rules broken: LOST 88, MIXED 1; true:", play_line(result)
        )

    def test_a_play_that_the_bench_did_not_finish_has_no_figures(self) -> None:
        texts = idle_log(5.25)[:-1]
        result = read_result(Play(day=DAY, seed=2), texts, exit_code=3)
        self.assertEqual(
            "three-cuts seed 2: not played, exit code 3", play_line(result)
        )
        self.assertEqual([], result.spans)


class SummaryTest(testtools.TestCase):
    def result(self, seed: int, idle_s: float) -> Result:
        return read_result(Play(day=DAY, seed=seed), idle_log(idle_s), exit_code=0)

    def test_the_worst_play_and_those_with_long_spans(self) -> None:
        results = [
            self.result(1, 2.5),
            self.result(2, 5.25),
            self.result(3, 0.5),
            read_result(Play(day=DAY, seed=4), [], exit_code=3),
        ]
        self.assertEqual(
            [
                "worst: 5.25 s, three-cuts seed 2",
                "4 plays, 1 not played; 0 with a broken rule;"
                " 2 with a span over 2 s, 1 over 3 s",
            ],
            summary_lines(results),
        )

    def test_plays_without_figures(self) -> None:
        result = read_result(Play(day=DAY, seed=1), [WORTH], exit_code=0)
        self.assertIn("true: not known", play_line(result))
        self.assertEqual("worst: not known", summary_lines([result])[0])

    def test_a_play_with_a_broken_rule_is_counted(self) -> None:
        texts = [*idle_log(0.5), "rules broken: LOST 1\n"]
        result = read_result(Play(day=DAY, seed=1), texts, exit_code=0)
        self.assertIn("; 1 with a broken rule;", summary_lines([result])[1])


class PlayAllTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name).resolve()
        self.folder = self.root / "logs"
        program = self.root / "bench"
        program.write_text(FAKE_BENCH)
        program.chmod(program.stat().st_mode | stat.S_IXUSR)
        self.bench = Bench(
            program=program,
            site=Path("site.toml"),
            repository=self.root,
            why="trial",
            varies=False,
            environment={"FAKE_BENCH_FOLDER": str(self.root)},
        )
        self.plays = [Play(day=DAY, seed=seed) for seed in range(1, 5)]

    def play(self, bench: Bench, until_s: float = 60.0) -> list[Result]:
        return list(
            play_all(
                bench,
                self.plays,
                folder=self.folder,
                job_count=2,
                has_time=lambda: until_s > 0.0,
            )
        )

    def texts(self) -> list[str]:
        return [path.read_text() for path in sorted(self.folder.iterdir())]

    def test_each_play_leaves_its_log(self) -> None:
        results = self.play(self.bench)
        self.assertEqual({1, 2, 3, 4}, {result.play.seed for result in results})
        self.assertEqual(
            [f"three-cuts-{seed}.log" for seed in range(1, 5)],
            sorted(path.name for path in self.folder.iterdir()),
        )
        self.assertIn(
            f"in {self.root} with run site.toml {DAY} --seed 1 --log all --jobs 1"
            " --why trial\n",
            self.texts()[0],
        )

    def test_days_are_varied_if_asked(self) -> None:
        self.play(replace(self.bench, varies=True))
        self.assertIn("--seed 1 --vary --log all", self.texts()[0])

    def test_no_more_plays_than_asked_are_at_work(self) -> None:
        self.play(self.bench)
        counts = {text.split()[1] for text in self.texts()}
        self.assertLessEqual(counts, {"1", "2"})

    def test_no_play_begins_after_the_time(self) -> None:
        self.assertEqual([], self.play(self.bench, until_s=0.0))
        self.assertEqual([], self.texts())
