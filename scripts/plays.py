"""Plays days with several seeds, and measures for how long jobs had nothing running.

``scripts/plays --bench PROGRAM --site FILE --folder DIR --why TEXT DAY...`` plays each
day file with each of the `--seeds`, at most `--jobs` plays at the same time, and keeps
the log of each play in the folder. It prints a line a play with the rules that the
bench says are broken and the spans that `true_spans` measures, and at the end the worst
of them. `--repository` is the directory in which the bench is run, which plays the code
there. No play begins later than `--minutes` after the start.
"""

from __future__ import annotations

import os
import subprocess
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path

from absl import app, flags

from scripts.log_lines import parse
from scripts.true_spans import COUNTED_SPANS_S, TrueSpan, true_spans, true_summary

FLAGS = flags.FLAGS
BROKEN_START = "rules broken: "
# The bench says what a day was worth only after it has played all of it.
WORTH_START = "worth "


@dataclass(frozen=True, kw_only=True, slots=True)
class Play:
    """A day with a seed."""

    day: Path
    seed: int

    @property
    def name(self) -> str:
        """The name in lines."""
        return f"{self.day.stem} seed {self.seed}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Bench:
    """The program that plays days, and what all plays have in common.

    `repository` is where it is run, and `environment` is added to that of this process.
    """

    program: Path
    site: Path
    repository: Path
    why: str
    varies: bool
    environment: Mapping[str, str] = field(default_factory=dict)

    def command(self, play: Play) -> list[str]:
        """Return the command of a play."""
        return [
            str(self.program),
            "run",
            str(self.site),
            str(play.day),
            "--seed",
            str(play.seed),
            *(("--vary",) if self.varies else ()),
            "--log",
            "all",
            "--jobs",
            "1",
            "--why",
            self.why,
        ]


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What the output of a play tells; `broken` is empty if no rule was broken."""

    play: Play
    exit_code: int
    is_complete: bool
    broken: str
    spans: Sequence[TrueSpan]

    @property
    def worst_s(self) -> float:
        """The longest span, or 0 if none is known."""
        return self.spans[0].span.length_s if self.spans else 0.0


def seeds_of(text: str) -> list[int]:
    """Return the seeds of a list of numbers and ranges, such as ``1-3,7``."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        numbers = range(int(first), int(last if dash else first) + 1)
        if not numbers:
            raise ValueError(f"the range {part!r} is empty")
        seeds.extend(numbers)
    return seeds


def read_result(play: Play, texts: Sequence[str], *, exit_code: int) -> Result:
    """Return what the output of a play tells."""
    is_complete = any(text.startswith(WORTH_START) for text in texts)
    broken = [text for text in texts if text.startswith(BROKEN_START)]
    return Result(
        play=play,
        exit_code=exit_code,
        is_complete=is_complete,
        broken="; ".join(text.removeprefix(BROKEN_START).strip() for text in broken),
        spans=true_spans(parse(texts)) if is_complete else [],
    )


def play_line(result: Result) -> str:
    """Return the line of a play."""
    if not result.is_complete:
        return f"{result.play.name}: not played, exit code {result.exit_code}"
    return (
        f"{result.play.name}: {BROKEN_START}{result.broken or 'none'};"
        f" {true_summary(result.spans)}"
    )


def summary_lines(results: Sequence[Result]) -> list[str]:
    """Return the worst play, and how many have broken rules or long spans."""
    worst = max(results, key=lambda result: result.worst_s, default=None)
    if worst is None or not worst.spans:
        printed = "worst: not known"
    else:
        printed = f"worst: {worst.worst_s:.2f} s, {worst.play.name}"
    unplayed = sum(not result.is_complete for result in results)
    broken = sum(bool(result.broken) for result in results)
    first_s, *others_s = COUNTED_SPANS_S
    counts = f"{_count_over(results, first_s)} with a span over {first_s:g} s"
    for least_s in others_s:
        counts += f", {_count_over(results, least_s)} over {least_s:g} s"
    return [
        printed,
        f"{len(results)} plays, {unplayed} not played;"
        f" {broken} with a broken rule; {counts}",
    ]


def _count_over(results: Sequence[Result], least_s: float) -> int:
    return sum(result.worst_s > least_s for result in results)


def play_all(
    bench: Bench,
    plays: Sequence[Play],
    *,
    folder: Path,
    job_count: int,
    has_time: Callable[[], bool],
) -> Iterator[Result]:
    """Play days and yield the results as they come.

    A play begins only while `has_time`.
    """
    folder.mkdir(parents=True, exist_ok=True)

    def run(play: Play) -> Result | None:
        return _run(bench, play, folder) if has_time() else None

    with ThreadPoolExecutor(max_workers=job_count) as executor:
        for future in as_completed([executor.submit(run, play) for play in plays]):
            if result := future.result():
                yield result


def _run(bench: Bench, play: Play, folder: Path) -> Result:
    path = folder / f"{play.day.stem}-{play.seed}.log"
    with path.open("wb") as log:
        done = subprocess.run(
            bench.command(play),
            cwd=bench.repository,
            env={**os.environ, **bench.environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            check=False,
        )
    with path.open(encoding="utf-8", errors="replace") as file:
        return read_result(play, file.readlines(), exit_code=done.returncode)


def main(argv: list[str]) -> None:
    """Play the days and print a line for each, then the worst."""
    if not argv[1:]:
        raise app.UsageError("no day file is given")
    bench = Bench(
        program=Path(FLAGS.bench).resolve(),
        site=Path(FLAGS.site).resolve(),
        repository=Path(FLAGS.repository).resolve(),
        why=FLAGS.why,
        varies=FLAGS.vary,
    )
    plays = [
        Play(day=Path(day).resolve(), seed=seed)
        for seed in seeds_of(FLAGS.seeds)
        for day in argv[1:]
    ]
    if len({play.name for play in plays}) < len(plays):
        raise app.UsageError("two plays would have the same log")
    until_s = time.monotonic() + 60.0 * FLAGS.minutes
    results: list[Result] = []
    for result in play_all(
        bench,
        plays,
        folder=Path(FLAGS.folder),
        job_count=FLAGS.jobs,
        has_time=lambda: time.monotonic() < until_s,
    ):
        results.append(result)
        print(play_line(result), flush=True)
    print("\n".join(summary_lines(results)))
    if len(results) < len(plays):
        print(f"{len(plays) - len(results)} plays did not begin in time")


if __name__ == "__main__":
    flags.DEFINE_string("bench", None, "The program that plays days.", required=True)
    flags.DEFINE_string("site", None, "The site file.", required=True)
    flags.DEFINE_string("folder", None, "Where the logs are kept.", required=True)
    flags.DEFINE_string("why", None, "What the journal says of it.", required=True)
    flags.DEFINE_string("repository", ".", "Where the bench is run.")
    flags.DEFINE_string("seeds", "1", "The seeds, such as 1-3,7.")
    flags.DEFINE_bool("vary", False, "Whether the days are varied by the seed.")
    flags.DEFINE_integer("jobs", 1, "How many plays run at the same time.", 1)
    flags.DEFINE_float("minutes", 600.0, "For how long plays may begin.", 0.0)
    app.run(main)
