"""Tests of group commit under faults, driven by test-data/commit.txt."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from bulrushpulley.entities.commit import Condition, ReadRequested, Submission, Write
from bulrushpulley.entities.committer_tables import Lane
from bulrushpulley.entities.rows import RevisionRow
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.commit import accept as commit_accept
from bulrushpulley.systems.commit import batch as commit_batch
from bulrushpulley.systems.commit import conflict as commit_conflict
from bulrushpulley.systems.commit import report as commit_report
from bulrushpulley.systems.commit import settle as commit_settle
from test.committer_bench import (
    LOST,
    NEVER_SENT,
    OK,
    REFUSED,
    Bench,
    Delivery,
    Fate,
    ForeignWrite,
    SubmitAgain,
    encode_put,
    late,
    mismatches_of,
)

CASES = pathlib.Path(__file__).resolve().parent.parent / "test-data" / "commit.txt"
DEFAULT_END_S = 20.0
FATE_BY_NAME = {"ok": OK, "refused": REFUSED, "never_sent": NEVER_SENT, "lost": LOST}
ROW = RevisionRow(revision=1)


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """The name and the lines of a test case."""

    name: str
    lines: tuple[str, ...]


def read_cases(path: pathlib.Path) -> dict[str, Case]:
    by_name: dict[str, Case] = {}
    name = ""
    for line in path.read_text().splitlines():
        if line.startswith("[case "):
            name = line[len("[case ") : -1]
            by_name[name] = Case(name=name, lines=())
        elif line and not line.startswith("#"):
            case = by_name[name]
            by_name[name] = replace(case, lines=(*case.lines, line))
    return by_name


def parse_fates(words: list[str]) -> list[Fate]:
    fates: list[Fate] = []
    for word in words:
        name, _, times = word.partition("*")
        kind, _, seconds = name.partition(":")
        fate = late(float(seconds)) if kind == "late" else FATE_BY_NAME[kind]
        fates.extend([fate] * int(times or 1))
    return fates


def parse_submission(submission_id: str, parts: list[str]) -> Submission:
    conditions, writes, within = [], [], 10.0
    for part in parts:
        kind, _, rest = part.partition(":")
        if kind == "within":
            within = float(rest)
            continue
        key, _, version = rest.partition("@")
        if version:
            conditions.append(Condition(key=key, version=int(version)))
        if kind != "need":
            writes.append(Write(key=key, row=ROW if kind == "put" else None))
    return Submission(
        submission_id=submission_id,
        conditions=tuple(conditions),
        writes=tuple(writes),
        give_up_after_s=within,
    )


def schedule(bench: Bench, line: str) -> float:
    """Schedule one timed line and return the end time that it sets."""
    when, who, *rest = line.split()
    if who == "end":
        return float(when)
    if who == "store":
        row = ROW if rest[0] == "puts" else None
        put = encode_put(rest[1], row, "outside")
        bench.at(float(when), ForeignWrite(put=put))
    else:
        submission = parse_submission(rest[1].rstrip(":"), rest[2:])
        bench.submit(float(when), who, submission)
    return DEFAULT_END_S


def run_case(case: Case) -> list[str]:
    """Run a case and return the differences from what it expects."""
    fates = [line.split()[1:] for line in case.lines if line.startswith("fates")]
    bench = Bench(fates=parse_fates(fates[0] if fates else []))
    timed = [line for line in case.lines if line[0].isdigit()]
    bench.run_until(max([DEFAULT_END_S, *(schedule(bench, line) for line in timed)]))
    expected = [
        line
        for line in case.lines
        if line not in timed and not line.startswith("fates")
    ]
    mismatches = [line for line in expected if observed(bench, line) != line]
    return [
        f"{line} -> {observed(bench, line)}" for line in mismatches
    ] + mismatches_of(bench)


def observed(bench: Bench, line: str) -> str:
    submission_id, _, rest = line.partition(": ")
    if rest.startswith("commits"):
        return f"{submission_id}: commits {len(bench.commits_of[submission_id])}"
    reports = bench.reports_of[submission_id]
    names = [type(reported.outcome).__name__.lower() for reported in reports]
    return f"{submission_id}: {' '.join(names)}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutation:
    """A replacement that disables a safeguard, and the case that must then fail."""

    module: Any
    name: str
    replacement: Any
    case: str


def always(value: Any) -> Any:
    return lambda *args: value


def resolve_nothing(tables: Any, *args: Any) -> Any:
    return Step(tables=tables)


MUTATIONS = (
    Mutation(
        module=commit_conflict,
        name="shows_commit",
        replacement=always(False),
        case="answer lost of a deletion is settled by the fence",
    ),
    Mutation(
        module=commit_conflict,
        name="version_with_token",
        replacement=always(0),
        case="submission again through a second committer after Unsettled",
    ),
    Mutation(
        module=commit_conflict,
        name="must_move_fence",
        replacement=always(False),
        case="delayed write cannot follow a reported conflict",
    ),
    Mutation(
        module=commit_conflict,
        name="is_ambiguous",
        replacement=always(False),
        case="two live processes of one name and a row overwritten",
    ),
    Mutation(
        module=commit_conflict,
        name="resolve_in_doubt",
        replacement=resolve_nothing,
        case="submission again behind its own first sending",
    ),
    Mutation(
        module=commit_settle,
        name="resolve_in_doubt",
        replacement=resolve_nothing,
        case="submission again after its transaction was settled for others",
    ),
    Mutation(
        module=commit_accept,
        name="known_revision",
        replacement=always(0),
        case="submission again after its row was overwritten",
    ),
    Mutation(
        module=commit_accept,
        name="unsafe_reason",
        replacement=always(""),
        case="write without a condition is refused",
    ),
    Mutation(
        module=commit_accept,
        name="lane_of",
        replacement=always(Lane.BULK),
        case="claim does not wait behind tasks",
    ),
    Mutation(
        module=commit_batch,
        name="may_join_batch",
        replacement=always(True),
        case="same key twice is not merged",
    ),
    Mutation(
        module=commit_batch,
        name="max_rows",
        replacement=always(commit_batch.MAX_BATCH_ROWS),
        case="submission that the store does not take spares its batch",
    ),
    Mutation(
        module=commit_report,
        name="is_in_doubt",
        replacement=always(False),
        case="unsettled submission is not withdrawn when the store is down",
    ),
)


class CommitCaseTest(testtools.TestCase):
    def test_every_case(self) -> None:
        for case in read_cases(CASES).values():
            self.assertEqual([], run_case(case), case.name)

    def test_each_case_fails_without_its_safeguard(self) -> None:
        by_name = read_cases(CASES)
        for mutation in MUTATIONS:
            with mock.patch.object(
                mutation.module, mutation.name, mutation.replacement
            ):
                self.assertNotEqual([], run_case(by_name[mutation.case]), mutation.name)


def submissions(deletes: bool) -> st.SearchStrategy[Submission]:
    keys = st.integers(0, 4).map("k/{}".format)
    versions = st.sampled_from([0, 0, 0, 0, 1, 2, 3, 5])
    return st.builds(
        lambda by_key, needs, delete, within: Submission(
            submission_id="",
            conditions=tuple(
                Condition(key=key, version=version)
                for key, version in (needs | by_key).items()
            ),
            writes=tuple(
                Write(key=key, row=None if delete and deletes else ROW)
                for key in by_key
            ),
            give_up_after_s=within,
        ),
        st.dictionaries(keys, versions, min_size=1, max_size=2),
        st.dictionaries(keys, versions, max_size=1),
        st.booleans(),
        st.sampled_from([1.0, 3.0, 8.0, 20.0]),
    )


FATES = st.lists(
    st.sampled_from(
        [OK, REFUSED, NEVER_SENT, NEVER_SENT, LOST, LOST, late(2.5), late(6), late(15)]
    ),
    min_size=3,
    max_size=25,
)
TIMES = st.integers(0, 80).map(lambda tenths: tenths / 10)
DELAYS = st.integers(10, 200).map(lambda tenths: tenths / 10)
RANDOM_CASE_SETTINGS = settings(
    derandomize=True,
    max_examples=80,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)


def run_random_case(
    *,
    processes: tuple[str, ...],
    fates: list[Fate],
    timed_submissions: list[tuple[float, Submission]],
    resubmissions: list[tuple[int, float, str]],
    foreign_writes: list[tuple[float, int, bool]],
) -> list[str]:
    bench = Bench(fates=fates)
    named = [
        (when, replace(submission, submission_id=f"s{number}"))
        for number, (when, submission) in enumerate(timed_submissions)
    ]
    for when, submission in named:
        bench.submit(when, processes[int(when) % len(processes)], submission)
    for number, delay_s, process in resubmissions:
        when, submission = named[number % len(named)]
        event = SubmitAgain(process=process, submission=submission)
        bench.at(when + delay_s, event)
    for when, number, delete in foreign_writes:
        put = encode_put(f"k/{number}", None if delete else ROW, "outside")
        bench.at(when, ForeignWrite(put=put))
    bench.run_until(45.0)
    return mismatches_of(bench)


class RandomCommitTest(testtools.TestCase):
    @RANDOM_CASE_SETTINGS
    @given(
        fates=FATES,
        timed_submissions=st.lists(
            st.tuples(TIMES, submissions(True)), min_size=1, max_size=8
        ),
        resubmissions=st.lists(
            st.tuples(st.integers(0, 7), DELAYS, st.just("e1")), max_size=4
        ),
        foreign_writes=st.lists(
            st.tuples(TIMES, st.integers(0, 4), st.booleans()), max_size=4
        ),
    )
    def test_one_process(self, **random_case: Any) -> None:
        self.assertEqual([], run_random_case(processes=("e1",), **random_case))

    @RANDOM_CASE_SETTINGS
    @given(
        fates=FATES,
        timed_submissions=st.lists(
            st.tuples(TIMES, submissions(False)), min_size=1, max_size=8
        ),
        resubmissions=st.lists(
            st.tuples(st.integers(0, 7), DELAYS, st.sampled_from(["e1", "e1b", "e2"])),
            max_size=8,
        ),
        foreign_writes=st.lists(
            st.tuples(TIMES, st.integers(0, 4), st.just(False)), max_size=4
        ),
    )
    def test_two_processes(self, **random_case: Any) -> None:
        self.assertEqual([], run_random_case(processes=("e1", "e1b"), **random_case))


class PrefixReadTest(testtools.TestCase):
    def test_reads_are_shared_only_before_they_are_sent(self) -> None:
        bench = Bench()
        for number, when in enumerate((0.0, 0.001, 0.002, 0.01)):
            request = ReadRequested(origin="o", fetch_id=f"f{number}", prefix="k/")
            bench.at(when, Delivery(process="e1", event=request))
        bench.run_until(1.0)
        self.assertEqual(3, len(bench.reads))
        self.assertEqual(4, len(bench.fetched))
