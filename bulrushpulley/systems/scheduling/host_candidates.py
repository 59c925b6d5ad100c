"""Converts hosts to candidates for placements."""

from __future__ import annotations

from immutables import Map

from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables


def updated(tables: SchedulerTables) -> Map[str, Candidate]:
    """Return all hosts as candidates; only hosts that have changed are converted."""
    known = tables.candidate_by_host
    changed = {
        name: candidate_of(host)
        for name, host in tables.hosts.by_key.items()
        if name not in known or known[name].host is not host
    }
    return known.update(changed)


def candidate_of(host: Host) -> Candidate:
    """Return a host as a placement candidate, with the images of its tasks."""
    capacity = max(1, host.capacity.processors_m)
    images = host.images.items()
    return Candidate(
        host=host,
        free=host.free,
        filling_m=host.filling_m,
        lasting_m=host.lasting_m,
        target_by_image={
            image: held.target_ms for image, held in images if held.target_ms
        },
        units_by_image={
            image: 10 * held.processors_m / capacity
            for image, held in images
            if not held.target_ms
        },
    )
