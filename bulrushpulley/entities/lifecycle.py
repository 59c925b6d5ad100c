"""The event that tells a role that its process is stopping."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Leave(Event):
    """The process must shut down: accept no new work and finish what is running."""
