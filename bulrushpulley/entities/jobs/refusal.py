"""Hosts that returned a run of a task without having run it to its end."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The latest refusal of a task by one incarnation of a host's backend server.

    `count` is the number of its refusals of the task, each soon after the one before.
    """

    host: str
    life: str
    at: float
    count: int = 1
