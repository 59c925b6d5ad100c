"""Tests the linker in virtual time: seeds, the entries' list and retries."""

from __future__ import annotations

import itertools

import testtools

from bulrushpulley.entities.link import Entries, EntryAddress
from bulrushpulley.entities.linker_tables import (
    DialEnded,
    DialEntry,
    DialLinked,
    LinkerTables,
)
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.roles import linker
from bulrushpulley.systems.linker_events import MAX_DIAL_RETRY_DELAY_S, retry_delay_s

SEED = "127.0.0.1:1"
LISTED = "127.0.0.1:2"


def dialled(step: Step[LinkerTables]) -> list[str]:
    return [c.address for c in step.commands if isinstance(c, DialEntry)]


def entries(*addresses: str) -> Entries:
    return Entries(
        peer="e",
        entries=tuple(
            EntryAddress(
                name="e",
                incarnation="e",
                host=address.partition(":")[0],
                port=int(address.partition(":")[2]),
                region="r",
            )
            for address in addresses
        ),
    )


class LinkerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.role = linker.build(incarnation="a/1", seeds=(SEED,))
        self.tables = self.role.tables

    def tick(self, now: float, *events: Event) -> list[str]:
        step = self.role.tick(self.tables, events, now)
        self.tables = step.tables
        return dialled(step)

    def test_a_listed_entry_is_dialled_once_while_linked(self) -> None:
        self.assertEqual([SEED], self.tick(0.0))
        events = (DialLinked(address=SEED), entries(SEED, LISTED))
        self.assertEqual([LISTED], self.tick(0.1, *events))
        self.assertEqual([], self.tick(99.0, DialLinked(address=LISTED)))

    def test_a_failed_dial_is_retried_after_a_growing_delay(self) -> None:
        self.tick(0.0)
        attempts_at, now, dialling = [], 0.0, True
        for _ in range(400):
            now += 0.1
            dialling = bool(
                self.tick(now, *([DialEnded(address=SEED)] if dialling else []))
            )
            attempts_at += [now] if dialling else []
        delays = [later - earlier for earlier, later in itertools.pairwise(attempts_at)]
        self.assertTrue(len(attempts_at) < 20, attempts_at)
        self.assertTrue(max(delays) <= MAX_DIAL_RETRY_DELAY_S + 0.2, delays)

    def test_an_address_out_of_the_list_is_kept_until_its_link_ends(self) -> None:
        self.tick(0.0, entries(LISTED))
        self.tick(0.1, DialLinked(address=LISTED), entries())
        self.assertIn(LISTED, self.tables.dials)
        self.tick(0.2, DialEnded(address=LISTED))
        self.tick(0.3)
        self.assertNotIn(LISTED, self.tables.dials)

    def test_retry_delays_differ_between_agents(self) -> None:
        delays = {
            retry_delay_s(incarnation=name, address=SEED, failures=3)
            for name in ("a", "b", "c")
        }
        self.assertEqual(3, len(delays))
