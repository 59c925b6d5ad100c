"""How long lasting tasks do not run, and the bounds of the rule for it (LOST).

The rule asks for each task that lasts, from 6 s after its last run, and allows 3 s more
if nothing disturbs. The bounds leave 1 s of that to the clocks and the network.
"""

from __future__ import annotations

from test.jobs_world import JobsWorld

# From the last run of a task to the next one, beside one trouble.
MAX_ALONE_S = 8.0
# The same, with the owner lost, frozen or cut off up to 3 s earlier or later.
MAX_WITH_OWNER_S = 9.5
OWNER_TROUBLE_WITHIN_S = 3.0
CHECK_INTERVAL_S = 0.05
# How long backend servers may take to end runs, as the sites state it. Owners wait for
# it before they give up runs without contact, so a shorter one would hide a late start.
KILL_S = 0.9


class RestartWatch:
    """Notes how long each lasting task of a world has not run since its last run.

    Runs are looked at each `CHECK_INTERVAL_S`, so a gap may look that much longer. A
    run that goes on where no owner can see it has not ended.
    """

    def __init__(self, world: JobsWorld) -> None:
        self._world = world
        self._last_run_at_by_task: dict[str, float] = {}
        self.longest_gap_by_task: dict[str, float] = {}
        self._check()

    def _check(self) -> None:
        world = self._world
        for task_id in running_tasks(world):
            if world.is_lasting(task_id):
                self._note_gap(task_id)
                self._last_run_at_by_task[task_id] = world.now
        for task_id in self._last_run_at_by_task:
            self._note_gap(task_id)
        world.at(CHECK_INTERVAL_S, self._check)

    def _note_gap(self, task_id: str) -> None:
        now = self._world.now
        gap_s = now - self._last_run_at_by_task.get(task_id, now)
        known_s = self.longest_gap_by_task.get(task_id, 0.0)
        self.longest_gap_by_task[task_id] = max(known_s, gap_s)

    def longest_gap_s(self) -> float:
        """Return the longest time for which a task that had run did not run."""
        return max(self.longest_gap_by_task.values(), default=0.0)


def running_tasks(world: JobsWorld) -> list[str]:
    """Return the ids of the tasks that run, one for each run."""
    return [
        run.order.task_id
        for executor in world.executor_by_host.values()
        for run in executor.run_by_key.values()
        if executor.up
    ]
