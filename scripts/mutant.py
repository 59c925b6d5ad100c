"""A known fault that is put into a copy of the repository."""

from __future__ import annotations

from dataclasses import dataclass

SCHEDULING = "bulrushpulley/systems/scheduling"
JOB_AGENT = "bulrushpulley/systems/job_agent"


@dataclass(frozen=True, kw_only=True, slots=True)
class Replacement:
    """A text that occurs once in a file, and what is put in its place."""

    old: str
    new: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutant:
    """A fault, as replacements in one file, whose path is relative to the root."""

    name: str
    fault: str
    path: str
    replacements: tuple[Replacement, ...]
