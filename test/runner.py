"""Runs the test modules and prints how many tests passed and failed.

The last line is 'N passed, N failed, N skipped'. Tests listed in KNOWN-RED.txt
still run; their failures are printed and counted as skipped, but do not fail the
run. Their successes count as passed.
"""

from __future__ import annotations

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOW_TEST_S = 5.0


def known_failures() -> set[str]:
    """Read the ids of the tests that may fail."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


class Result(unittest.TextTestResult):
    """Counts successes and reports slow tests."""

    passed = 0
    started_at = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        self.started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        duration_s = time.monotonic() - self.started_at
        if duration_s > SLOW_TEST_S:
            print(f"slow: {test.id()} {duration_s:.1f} s", file=sys.stderr)
        super().stopTest(test)

    def addSuccess(self, test: unittest.TestCase) -> None:
        self.passed += 1
        super().addSuccess(test)


def select_tests(
    suite: unittest.TestSuite, substrings: list[str]
) -> unittest.TestSuite:
    """Return the tests whose id contains one of `substrings`; all if none are given."""
    chosen = unittest.TestSuite()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            chosen.addTests(select_tests(item, substrings))
        elif not substrings or any(substring in item.id() for substring in substrings):
            chosen.addTest(item)
    return chosen


def main() -> int:
    """Run the selected tests and return the exit code.

    A run in which no test passes fails, so that a wrong selection is noticed.
    """
    found = unittest.TestLoader().discover(str(ROOT / "test"), top_level_dir=str(ROOT))
    suite = select_tests(found, sys.argv[1:])
    runner = unittest.TextTestRunner(resultclass=Result, verbosity=1)  # type: ignore[arg-type]
    result = runner.run(suite)
    assert isinstance(result, Result)
    known_ids = known_failures()
    not_passed = [test.id() for test, _ in result.failures + result.errors]
    known_failed = sorted(name for name in not_passed if name in known_ids)
    failed = sorted(name for name in not_passed if name not in known_ids)
    for name in known_failed:
        print(f"known red: {name}")
    print(f"{result.passed} passed, {len(failed)} failed, {len(known_failed)} skipped")
    return 1 if failed or not result.passed else 0


if __name__ == "__main__":
    sys.exit(main())
