"""Job specifications: a job has steps, and a step has a number of identical tasks.

A spec never changes once its job is accepted. Durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.numbers import are_amounts
from bulrushpulley.entities.resources import Resources

MAX_TASKS = 5_000
MAX_PAYLOAD_BYTES = 4_000
# A row of the store has 65,536 bytes. A job's row holds its spec as it is encoded, and
# the settings of its queue.
MAX_SPEC_BYTES = 60_000


@dataclass(frozen=True, kw_only=True, slots=True)
class StepSpec:
    """One step: `count` tasks that start once the steps in `after` are complete.

    A `gang` runs only while all of its tasks run. `near_rack` and `one_rack` are
    preferences; tasks run slower if they are not met. `needs_label` and
    `per_host_limit` (0: unlimited) are requirements. A `speculative` task may run
    twice. A `lasting` task runs until its job is cancelled; the scheduler may
    interrupt at most `disruption_budget` (0: unlimited) tasks of its step at a time.
    A task that `fills` uses processors that others leave idle, so its processors are
    not committed. `latency_target_ms` is the target of a task that serves requests.
    """

    count: int
    size: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    needs_label: str = ""
    near_rack: str = ""
    per_host_limit: int = 0
    checkpoints: bool = False
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    fills: bool = False
    disruption_budget: int = 0

    @property
    def committed(self) -> Resources:
        """The resources that a host commits to one task."""
        if not self.fills:
            return self.size
        return Resources(
            memory_mb=self.size.memory_mb, accelerators=self.size.accelerators
        )

    @property
    def serves(self) -> bool:
        """Whether a task serves requests with a latency target."""
        return self.latency_target_ms > 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """The specification of a job; `payload` is passed to every task unchanged.

    With `occurrences` above zero the steps run that many times. Occurrence K is due
    at `first_due_s` (since 1970) plus K times `interval_s`.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    @property
    def runs(self) -> int:
        """How many times the steps run."""
        return max(1, self.occurrences)

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due (since 1970); zero means immediately."""
        if not self.occurrences:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s


SPEC_WITHOUT_STEPS = JobSpec(payload="", steps=())


def spec_defect(spec: JobSpec) -> str:
    """Describe why a job cannot be scheduled; empty if it can."""
    if not spec.steps:
        return "must have a step"
    if not are_amounts(spec.occurrences, spec.first_due_s, spec.interval_s):
        return "a number of the job is out of range"
    for position, step in enumerate(spec.steps):
        defect = _step_defect(step, position)
        if defect:
            return f"step {position}: {defect}"
    if sum(step.count for step in spec.steps) * spec.runs > MAX_TASKS:
        return f"must have {MAX_TASKS} tasks at most"
    if len(spec.payload.encode(errors="replace")) > MAX_PAYLOAD_BYTES:
        return f"the payload must have {MAX_PAYLOAD_BYTES} bytes at most"
    return ""


def _step_defect(step: StepSpec, position: int) -> str:
    if step.count < 1:
        return "must have a task"
    if not all(0 <= earlier < position for earlier in step.after):
        return "must name earlier steps by their number"
    size = step.size
    are_valid = are_amounts(
        step.count,
        size.processors_m,
        size.memory_mb,
        size.accelerators,
        step.estimate_s,
        step.per_host_limit,
        step.latency_target_ms,
        step.disruption_budget,
    )
    return "" if are_valid else "a number is out of range"
