"""Applies mutants of the scheduler, each of which makes tasks stand still.

``scripts/mutants list`` prints the mutants, ``scripts/mutants apply NAME DIR`` changes
the copy of the repository in a directory. A hunt that plays such a copy should find a
broken rule; docs/HUNTS.md says which days find which mutant.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from types import MappingProxyType

from absl import app

from scripts.message_mutants import MESSAGE_MUTANTS
from scripts.mutant import SCHEDULING, Mutant, Replacement
from scripts.takeover_mutants import TAKEOVER_MUTANTS

USAGE = "usage: scripts/mutants list | apply NAME DIR"


class MutantError(Exception):
    """A mutant that is not known, or does not fit the sources."""


MUTANTS = (
    Mutant(
        name="large-tasks-unplaced",
        fault="tasks that commit over 0.5 processors fit nowhere, unless they last",
        path=f"{SCHEDULING}/choosing.py",
        replacements=(
            Replacement(
                old="""\
    if not fits(step, candidate, leaves_reserve=leaves_reserve):
""",
                new="""\
    if step.committed.processors_m > 500 and not step.lasting:
        return NO_ROOM
    if not fits(step, candidate, leaves_reserve=leaves_reserve):
""",
            ),
        ),
    ),
    Mutant(
        name="filling-tasks-unplaced",
        fault="filling tasks of over 3 processors fit nowhere",
        path=f"{SCHEDULING}/choosing.py",
        replacements=(
            Replacement(
                old="""\
    if not fits(step, candidate, leaves_reserve=leaves_reserve):
""",
                new="""\
    if step.fills and step.size.processors_m > 3000:
        return NO_ROOM
    if not fits(step, candidate, leaves_reserve=leaves_reserve):
""",
            ),
        ),
    ),
    Mutant(
        name="step-not-unblocked",
        fault="one job in ten never goes on to its second step",
        path=f"{SCHEDULING}/unblocking.py",
        replacements=(
            Replacement(
                old="""\
    if wall_s < job.row.spec.due_s(occurrence):
""",
                new="""\
    if number == 1 and sum(job.job_id.encode()) % 10 == 0:
        return False
    if wall_s < job.row.spec.due_s(occurrence):
""",
            ),
        ),
    ),
    Mutant(
        name="task-forgotten",
        fault="the first task of a step of four or more is never placed",
        path=f"{SCHEDULING}/placing.py",
        replacements=(
            Replacement(
                old="""\
        avoids_hosts = choosing.avoids_hosts(task)
""",
                new="""\
        if task.index == 0 and step.count >= 4:
            continue
        avoids_hosts = choosing.avoids_hosts(task)
""",
            ),
        ),
    ),
    Mutant(
        name="lasting-task-forgotten",
        fault="the first task of a lasting step is not placed again",
        path=f"{SCHEDULING}/placing.py",
        replacements=(
            Replacement(
                old="""\
        avoids_hosts = choosing.avoids_hosts(task)
""",
                new="""\
        if task.index == 0 and step.lasting and task.run:
            continue
        avoids_hosts = choosing.avoids_hosts(task)
""",
            ),
        ),
    ),
    Mutant(
        name="quarantine-endless",
        fault="a host on which a run fails takes no more tasks; one host stays open",
        path=f"{SCHEDULING}/quarantine.py",
        replacements=(
            Replacement(
                old="MIN_FAILURES_TO_QUARANTINE = 2\n",
                new="MIN_FAILURES_TO_QUARANTINE = 1\n",
            ),
            Replacement(
                old="QUARANTINE_DURATION_S = 4.0\n",
                new="QUARANTINE_DURATION_S = 4000.0\n",
            ),
            Replacement(
                old="    return 2 * len(closed | {host.name}) <= len(ready)\n",
                new="    return len(closed | {host.name}) < len(ready)\n",
            ),
        ),
    ),
    Mutant(
        name="harm-endless",
        fault="a filling task waits for a host without harm, however long that takes",
        path=f"{SCHEDULING}/ranking.py",
        replacements=(
            Replacement(
                old="    if idle_s >= MAX_FILLING_DEFERRAL_S:\n",
                new="    if idle_s < 0.0:\n",
            ),
        ),
    ),
    Mutant(
        name="adoption-loses-run",
        fault="an adopted agent is not told to start a run that it does not list",
        path=f"{SCHEDULING}/agents.py",
        replacements=(
            Replacement(
                old="if task.state in KEPT_STATES\n",
                new="if task.state is TaskState.RUNNING\n",
            ),
        ),
    ),
    Mutant(
        name="placement-late",
        fault="each task waits for 3.5 s before a placement, unless it lasts",
        path=f"{SCHEDULING}/placing.py",
        replacements=(
            Replacement(
                old="""\
        avoids_hosts = choosing.avoids_hosts(task)
""",
                new="""\
        if now - task.since < 3.5 and not step.lasting:
            continue
        avoids_hosts = choosing.avoids_hosts(task)
""",
            ),
        ),
    ),
    Mutant(
        name="retry-late",
        fault="a transaction without answer is not sent again for 8 s",
        path=f"{SCHEDULING}/committing.py",
        replacements=(
            Replacement(
                old="    retry_delay_s = max(0.0, commit.sent_at + interval_s - now)\n",
                new="    retry_delay_s = 8.0 + 0.0 * interval_s\n",
            ),
        ),
    ),
    Mutant(
        name="retry-without-effects",
        fault="what waits for a transaction is dropped when it is sent again",
        path=f"{SCHEDULING}/committing.py",
        replacements=(
            Replacement(
                old="in_flight=True, sent_at=now, attempts=attempt\n",
                new="""\
in_flight=True, sent_at=now, attempts=attempt,
        batches=tuple(
            replace(batch, effects_by_job=Map()) for batch in commit.batches
        ),
""",
            ),
        ),
    ),
    Mutant(
        name="takeover-late",
        fault="a new owner waits for silent agents for 6 s before it places",
        path=f"{SCHEDULING}/placing.py",
        replacements=(
            Replacement(
                old="AGENT_SYNC_TIMEOUT_S = 0.6\n",
                new="AGENT_SYNC_TIMEOUT_S = 6.0\n",
            ),
        ),
    ),
    Mutant(
        name="lost-host-late",
        fault="the runs of a lost host end only 20 s after its last contact",
        path=f"{SCHEDULING}/endings.py",
        replacements=(
            Replacement(
                old="""\
    commands: list[Command] = []
    lost_runs: list[str] = []
""",
                new="""\
    known = tables.hosts.get(host)
    is_silent = "silent" in reason or "no longer listed" in reason
    if is_silent and known is not None and now - known.last_contact_at < 20.0:
        return Step(tables=tables)
    commands: list[Command] = []
    lost_runs: list[str] = []
""",
            ),
        ),
    ),
    Mutant(
        name="room-leaked",
        fault="the end of a run in a step of seven or more tasks frees no room",
        path=f"{SCHEDULING}/edits.py",
        replacements=(
            Replacement(
                old="    if before is not None and held and (moved or not holds):\n",
                new="    if held and before and not holds and spec.count < 7:\n",
            ),
        ),
    ),
    *MESSAGE_MUTANTS,
    *TAKEOVER_MUTANTS,
)
MUTANT_BY_NAME = MappingProxyType({mutant.name: mutant for mutant in MUTANTS})


def mutated(mutant: Mutant, text: str) -> str:
    """Return the text of the mutant's file with its replacements."""
    for replacement in mutant.replacements:
        count = text.count(replacement.old)
        if count != 1:
            raise MutantError(
                f"{mutant.name}: a text occurs {count} times, not once, in"
                f" {mutant.path}:\n{replacement.old}"
            )
        text = text.replace(replacement.old, replacement.new)
    return text


def find(name: str) -> Mutant:
    """Return a mutant by its name."""
    if name not in MUTANT_BY_NAME:
        raise MutantError(f"no mutant is named {name!r}; `list` prints the names")
    return MUTANT_BY_NAME[name]


def apply(mutant: Mutant, directory: Path) -> None:
    """Change the mutant's file in a copy of the repository."""
    file = directory / mutant.path
    if not file.is_file():
        raise MutantError(f"{directory} is no copy of the repository: no {mutant.path}")
    file.write_text(mutated(mutant, file.read_text()))


def describe(mutant: Mutant) -> str:
    """Return the line that `list` prints of a mutant."""
    return f"{mutant.name:24}{mutant.fault} ({mutant.path})"


def main(argv: Sequence[str]) -> int:
    """Run one verb."""
    match argv[1:]:
        case ["list"]:
            print("\n".join(describe(mutant) for mutant in MUTANTS))
        case ["apply", name, directory]:
            try:
                apply(find(name), Path(directory))
            except MutantError as error:
                print(error, file=sys.stderr)
                return 1
        case _:
            print(USAGE, file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    app.run(main)
