"""The operators' configuration of queues and services, and their active orders."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.advice import AdviceTerms


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """A queue for jobs; callers address it by host name and path prefix.

    Priority 0 is the most urgent. A job is late when it takes longer than
    `latency_factor` times the length of its longest chain of steps, plus
    `target_latency_s`. It fails once one of its tasks, unless lasting, has failed
    `max_attempts` times; the failures of a gang's tasks are added up. A queue with
    `advice` terms runs a step only on servers that the platform's service allows.
    """

    name: str
    authority: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    latency_factor: float
    target_latency_s: float
    timeout_s: float
    advice: AdviceTerms | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSettings:
    """A pool of backend servers; pools on `standby` are turned off."""

    name: str
    guards_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One complete version of the configuration."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[ServiceSettings, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """An order to start no tasks in a failure domain while the order is active."""

    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveOrder:
    """An order for the upkeep of machines, at most `at_once` of them at a time.

    All of them should be finished within `within_s`.
    """

    number: int
    machine_ids: tuple[str, ...]
    within_s: float
    at_once: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorSettings:
    """The active configuration and orders, as of the store's version `revision`.

    `configuration` is None until one has been read. `evacuated` names the failure
    domains in which no task may start. `waves` are sorted by number.
    """

    revision: int = 0
    configuration: Configuration | None = None
    evacuated: frozenset[str] = frozenset()
    waves: tuple[WaveOrder, ...] = ()

    def queue(self, name: str) -> Queue | None:
        """Return a queue by its name."""
        if self.configuration is None:
            return None
        found = [queue for queue in self.configuration.queues if queue.name == name]
        return found[0] if found else None


NO_OPERATOR_SETTINGS = OperatorSettings()


def route(
    configuration: Configuration, authority: str, path: str
) -> tuple[Queue, str] | None:
    """Return the queue with the longest matching prefix, and the rest of the path.

    Example: with the prefix ``/push/``, ``/push/5c0e`` gives the rest ``5c0e``.
    """
    host = authority.rsplit(":", 1)[0].lower()
    fitting = [
        queue
        for queue in configuration.queues
        if queue.authority.lower() == host and path.startswith(queue.path_prefix)
    ]
    if not fitting:
        return None
    best = max(fitting, key=lambda queue: len(queue.path_prefix))
    return best, path[len(best.path_prefix) :]
