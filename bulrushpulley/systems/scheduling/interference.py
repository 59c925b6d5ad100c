"""Learns which images slow which serving images, over all hosts of the shard.

The estimates are written periodically with the owner's other rows. A new owner starts
from them, with a higher variance. Agents keep the former owner's verdicts until the new
owner sends its own.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.items import HarmVerdicts, Measures, ServingMeasure
from bulrushpulley.entities.jobs.rows import HarmEstimate, HarmsRow
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.store import StoredRow
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import interference_step
from bulrushpulley.systems.fitting import fitting
from bulrushpulley.systems.scheduling import edits, ordering

# Stands for no image: the estimate is the latency of a serving task without neighbours.
SERVICE_ALONE = ""
# A serving task without neighbours has about this fraction of its target latency.
INITIAL_SERVING_LATENCY_RATIO = 0.4
# Latencies are capped at this multiple of the target, because higher ones show nothing
# more than that the latency is too high.
MAX_LATENCY_RATIO = 2.0
# An image is harmful if one unit of it adds at least the first fraction of the target,
# because a few such units take a serving task past its target. It is no longer harmful
# below the second fraction.
HARMFUL_FRACTION = 0.12
HARMLESS_FRACTION = 0.07
# Only an estimate with less variance than this (initially 1.0) makes an image harmless.
MAX_HARMLESS_VARIANCE = 0.15
VERDICT_INTERVAL_S = 1.0
# Most estimates settle within a few seconds, so more frequent writes are not needed.
HARMS_SAVE_INTERVAL_S = 2.0
# Estimates without a measurement for this long belong to images that no longer run.
HARM_RETENTION_S = 60.0
# Variance added to a restored estimate, as the load may have changed meanwhile.
RESTORED_VARIANCE = 0.05
# The store accepts rows of 65,536 bytes. The sizes are those before compression.
MAX_ESTIMATES_BYTES = 48_000
MAX_TARGETS_BYTES = 12_000
# The names and numbers of an estimate or a target, and the framing of its texts.
ESTIMATE_OVERHEAD_BYTES = 70
TARGET_OVERHEAD_BYTES = 20

ImagePair = tuple[str, str]


def handle_measures(
    event: Measures, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Update the estimates with the measurements of one host."""
    units = {SERVICE_ALONE: 1.0}
    for filling in event.filling:
        units[filling.image] = units.get(filling.image, 0.0) + filling.units
    targets = tables.target_by_image
    for serving in event.serving:
        targets = targets.set(serving.image, serving.target_ms)
        tables = _update_estimates(tables, serving, units, now)
    tables = replace(tables, target_by_image=targets)
    return Step(tables=tables)


def _update_estimates(
    tables: SchedulerTables,
    serving: ServingMeasure,
    units: dict[str, float],
    now: float,
) -> SchedulerTables:
    sample_ms = min(serving.latency_ms, MAX_LATENCY_RATIO * serving.target_ms)
    harms = [_known_or_initial_estimate(tables, serving, image, now) for image in units]
    table = tables.harms
    for harm in interference_step.correct_estimates(harms, units, sample_ms, now):
        table = table.put(harm_key(service=harm.service, job=harm.job), harm)
    return replace(tables, harms=table)


def _known_or_initial_estimate(
    tables: SchedulerTables, serving: ServingMeasure, image: str, now: float
) -> Harm:
    known = tables.harms.get(harm_key(service=serving.image, job=image))
    initial_ms = 0.0 if image else INITIAL_SERVING_LATENCY_RATIO * serving.target_ms
    return known or Harm(
        service=serving.image, job=image, estimate_ms=initial_ms, variance=1.0, at=now
    )


def harm_fraction(
    tables: SchedulerTables, serving: str, image: str, target_ms: float
) -> float:
    """Return the latency that a unit of an image adds, as a fraction of the target."""
    known = tables.harms.get(harm_key(service=serving, job=image))
    return known.estimate_ms / max(1.0, target_ms) if known else 0.0


def row_to_save(tables: SchedulerTables, now: float) -> HarmsRow | None:
    """Return the row of estimates if it is due to be written, else None.

    If not all estimates fit, the latest and most certain ones are written.
    """
    if now - tables.harms_saved_at < HARMS_SAVE_INTERVAL_S or not len(tables.harms):
        return None
    harms = [harm for harm in tables.harms.rows() if now - harm.at < HARM_RETENTION_S]
    harms.sort(key=lambda harm: (-harm.at, harm.variance))
    estimates = tuple(
        HarmEstimate(
            serving=harm.service,
            filling=harm.job,
            estimate_ms=round(harm.estimate_ms, 2),
            variance=round(harm.variance, 4),
        )
        for harm in fitting(harms, _estimate_bytes, MAX_ESTIMATES_BYTES)
    )
    targets = sorted(tables.target_by_image.items())
    return HarmsRow(
        estimates=estimates,
        target_by_image=fitting(targets, _target_bytes, MAX_TARGETS_BYTES),
    )


def _estimate_bytes(harm: Harm) -> int:
    return ESTIMATE_OVERHEAD_BYTES + len(f"{harm.service}{harm.job}".encode())


def _target_bytes(target: tuple[str, float]) -> int:
    image, _ = target
    return TARGET_OVERHEAD_BYTES + len(image.encode())


def restore_estimates(
    rows: tuple[StoredRow, ...], tables: SchedulerTables, now: float
) -> SchedulerTables:
    """Restore the estimates that a former owner wrote."""
    for stored in rows:
        if not isinstance(stored.row, HarmsRow):
            continue
        harms = tables.harms
        for known in stored.row.estimates:
            harm = Harm(
                service=known.serving,
                job=known.filling,
                estimate_ms=known.estimate_ms,
                variance=min(1.0, known.variance + RESTORED_VARIANCE),
                at=now,
            )
            harms = harms.put(harm_key(service=harm.service, job=harm.job), harm)
        targets = tables.target_by_image.update(dict(stored.row.target_by_image))
        tables = replace(tables, harms=harms, target_by_image=targets)
    return tables


def send_verdicts(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Send each agent the verdicts on the images on its host, if they changed.

    They are sent again if a later contact shows that they have not arrived.
    """
    if (
        not edits.is_loaded(tables)
        or now - tables.verdicts_sent_at < VERDICT_INTERVAL_S
    ):
        return Step(tables=tables)
    harmful, harmless = _verdicts(tables)
    commands: list[Command] = []
    if harmful != tables.harmful:
        text = " ".join(f"{serving}<{image}" for serving, image in sorted(harmful))
        line = edits.log(tables, "harm.learn", f"{len(harmful)} pairs", "", text)
        commands.append(line)
    tables = replace(tables, verdicts_sent_at=now, harmful=harmful)
    for host in tables.hosts.rows():
        if not host.synced or not host.peer:
            continue
        images = {step.image for step in _steps_on(tables, host) if step.image}
        item = HarmVerdicts(
            epoch=tables.epoch,
            harmful=_pairs_among(harmful, images),
            harmless=_pairs_among(harmless, images),
        )
        if item != host.sent_verdicts:
            tables = edits.put_host(tables, replace(host, sent_verdicts=item))
            books = ordering.books_of(tables, host.name)
            books = replace(books, verdicts=books.verdicts + 1, verdicts_sent_at=now)
            tables = ordering.put_books(tables, books)
            numbered = replace(item, number=books.verdicts)
            commands.append(Send(peer=host.peer, item=numbered))
    return Step(tables=tables, commands=tuple(commands))


def _steps_on(tables: SchedulerTables, host: Host) -> list[StepSpec]:
    tasks = tables.tasks.rows_where("host", host.name)
    return [edits.step_of(tables, task) for task in tasks]


def _pairs_among(
    pairs: frozenset[ImagePair], images: set[str]
) -> tuple[ImagePair, ...]:
    return tuple(sorted(pair for pair in pairs if set(pair) <= images))


def _verdicts(
    tables: SchedulerTables,
) -> tuple[frozenset[ImagePair], frozenset[ImagePair]]:
    harmful: set[ImagePair] = set()
    harmless: set[ImagePair] = set()
    for harm in tables.harms.rows():
        target_ms = tables.target_by_image.get(harm.service, 0.0)
        if harm.job == SERVICE_ALONE or not target_ms:
            continue
        pair = (harm.service, harm.job)
        fraction = harm.estimate_ms / target_ms
        min_fraction = HARMLESS_FRACTION if pair in tables.harmful else HARMFUL_FRACTION
        if fraction >= min_fraction:
            harmful.add(pair)
        elif harm.variance < MAX_HARMLESS_VARIANCE:
            harmless.add(pair)
    return frozenset(harmful), frozenset(harmless)
