"""Tests of the immutable table and of the tick that runs systems over tables."""

from __future__ import annotations

from dataclasses import dataclass

import testtools

from bulrushpulley.entities.step import Command, Event, Step, tick
from bulrushpulley.entities.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    name: str
    colour: str


def by_colour(item: Item) -> tuple[str, ...]:
    return (item.colour,)


@dataclass(frozen=True, kw_only=True, slots=True)
class Painted(Event):
    item: Item


@dataclass(frozen=True, kw_only=True, slots=True)
class Count(Command):
    red: int


def put_painted(event: Painted, items: Table[Item], now: float) -> Step[Table[Item]]:
    return Step(tables=items.put(event.item.name, event.item))


def count_red(items: Table[Item], now: float) -> Step[Table[Item]]:
    count = Count(red=items.count_where("colour", "red"))
    return Step(tables=items, commands=(count,))


class TableTest(testtools.TestCase):
    def test_put_moves_a_row_between_index_values(self) -> None:
        items: Table[Item] = Table.empty(indexes={"colour": by_colour})
        red = items.put("a", Item(name="a", colour="red"))
        blue = red.put("a", Item(name="a", colour="blue"))
        self.assertEqual(["a"], list(red.keys_where("colour", "red")))
        self.assertEqual([], list(blue.keys_where("colour", "red")))
        self.assertEqual(0, len(blue.drop("a").by_index["colour"]))

    def test_an_index_value_that_is_returned_twice_counts_once(self) -> None:
        items: Table[Item] = Table.empty(
            indexes={"words": lambda item: tuple(item.colour.split())}
        )
        items = items.put("a", Item(name="a", colour="red red"))
        self.assertEqual(1, items.count_where("words", "red"))
        self.assertEqual(0, len(items.drop("a")))

    def test_tick_applies_events_before_systems(self) -> None:
        items: Table[Item] = Table.empty(indexes={"colour": by_colour})
        step = tick(
            tables=items,
            events=[Painted(item=Item(name=n, colour="red")) for n in "ab"],
            now=0.0,
            apply=put_painted,
            systems=(count_red,),
        )
        self.assertEqual((Count(red=2),), step.commands)
