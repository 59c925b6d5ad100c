"""Tests of the mutants that hunts have to find.

A change of the scheduler can leave a mutant without effect, because the text that it
replaces is gone or occurs twice. Hunts of it would then say nothing about the days.
"""

from __future__ import annotations

import ast
import pathlib
import shutil
import tempfile

import testtools

from scripts.mutant import Mutant, Replacement
from scripts.mutants import (
    MUTANT_BY_NAME,
    MUTANTS,
    MutantError,
    apply,
    find,
    main,
    mutated,
)

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = "bulrushpulley"
SAMPLE = Mutant(
    name="sample",
    fault="waits for longer",
    path="waiting.py",
    replacements=(
        Replacement(old="DELAY_S = 1.0\n", new="DELAY_S = 9.0\n"),
        Replacement(old="return True\n", new="return False\n"),
    ),
)
SOURCE = "DELAY_S = 1.0\n\n\ndef is_due() -> bool:\n    return True\n"


class MutantsTest(testtools.TestCase):
    def test_each_mutant_changes_its_file(self) -> None:
        for mutant in MUTANTS:
            text = (ROOT / mutant.path).read_text()
            after = mutated(mutant, text)
            self.assertNotEqual(ast.dump(ast.parse(text)), ast.dump(ast.parse(after)))

    def test_no_two_mutants_are_the_same(self) -> None:
        self.assertEqual(len(MUTANTS), len(MUTANT_BY_NAME))
        changes = {(mutant.path, mutant.replacements) for mutant in MUTANTS}
        self.assertEqual(len(MUTANTS), len(changes))

    def test_mutants_change_the_product_only(self) -> None:
        for mutant in MUTANTS:
            self.assertEqual(PACKAGE, pathlib.PurePath(mutant.path).parts[0])

    def test_the_page_names_each_mutant(self) -> None:
        page = (ROOT / "docs" / "HUNTS.md").read_text()
        missing = [name for name in MUTANT_BY_NAME if f"`{name}`" not in page]
        self.assertEqual([], missing)


class MutatedTest(testtools.TestCase):
    def test_all_replacements_are_made(self) -> None:
        self.assertEqual(
            "DELAY_S = 9.0\n\n\ndef is_due() -> bool:\n    return False\n",
            mutated(SAMPLE, SOURCE),
        )

    def test_a_text_that_is_gone_is_an_error(self) -> None:
        error = self.assertRaises(
            MutantError, mutated, SAMPLE, SOURCE.replace("1.0", "2.0")
        )
        self.assertIn("occurs 0 times", str(error))
        self.assertIn("waiting.py", str(error))

    def test_a_text_that_occurs_twice_is_an_error(self) -> None:
        error = self.assertRaises(MutantError, mutated, SAMPLE, SOURCE + SOURCE)
        self.assertIn("occurs 2 times", str(error))


class ApplyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.directory)

    def test_only_the_file_of_the_mutant_changes(self) -> None:
        for name in ("waiting.py", "other.py"):
            (self.directory / name).write_text(SOURCE)
        apply(SAMPLE, self.directory)
        self.assertEqual(
            mutated(SAMPLE, SOURCE), (self.directory / "waiting.py").read_text()
        )
        self.assertEqual(SOURCE, (self.directory / "other.py").read_text())

    def test_a_mutant_that_does_not_fit_changes_nothing(self) -> None:
        file = self.directory / "waiting.py"
        file.write_text(SOURCE.replace("True", "None"))
        self.assertRaises(MutantError, apply, SAMPLE, self.directory)
        self.assertEqual(SOURCE.replace("True", "None"), file.read_text())

    def test_a_folder_without_the_file_is_an_error(self) -> None:
        self.assertRaises(MutantError, apply, SAMPLE, self.directory)

    def test_an_unknown_name_is_an_error(self) -> None:
        self.assertRaises(MutantError, find, "none-such")

    def test_the_command_tells_by_its_status_whether_it_succeeded(self) -> None:
        mutant = MUTANTS[0]
        file = self.directory / mutant.path
        file.parent.mkdir(parents=True)
        text = (ROOT / mutant.path).read_text()
        file.write_text(text)
        arguments = ["mutants", "apply", mutant.name, str(self.directory)]
        self.assertEqual(0, main(arguments))
        self.assertEqual(mutated(mutant, text), file.read_text())
        file.write_text("")
        self.assertEqual(1, main(arguments))
        self.assertEqual(2, main(["mutants", "apply"]))
