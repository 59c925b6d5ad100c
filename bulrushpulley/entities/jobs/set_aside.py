"""Jobs that a system failed to handle, and reports that failed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SetAsideJob:
    """A job that systems leave out until `until`, after so many `failures` in a row."""

    job_id: str
    until: float
    failures: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedReport:
    """A system that only reports, and is left out until `until`."""

    name: str
    until: float
