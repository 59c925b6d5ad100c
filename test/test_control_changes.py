"""Changes of records under races, outages and lost answers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import testtools

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.link import Configured, LinkUp
from bulrushpulley.entities.records import DomainState, FailureDomainRecord
from bulrushpulley.entities.rows import RecordRow, RevisionRow
from bulrushpulley.entities.step import Tell
from bulrushpulley.errors import Code
from bulrushpulley.systems.control import changes as control_changes
from bulrushpulley.systems.control import records as control_records
from test.control_bench import (
    Bench,
    announce,
    cell,
    domain,
    job,
    submit_record,
    summary,
    with_cells,
)


def change(state: DomainState, author: str, expected: int = 0) -> ops.ChangeDomain:
    return ops.ChangeDomain(
        call_id=f"{author}-{state.value}-{expected}",
        author=author,
        failure_domain="izmir",
        state=state,
        expected_revision=expected,
    )


def code_of(answer: Any) -> Code:
    assert isinstance(answer, ops.Reject), answer
    return answer.problem.code


class ChangesTest(testtools.TestCase):
    def test_the_conflict_of_racing_operators_names_the_author_in_force(self) -> None:
        bench = Bench(entries=("a", "b"))
        accepted = bench.call("a", submit_record(domain("izmir")))
        bench.run(1.0)
        expected = accepted.row.revision
        bench.tell("a", change(DomainState.DRAINED, "amina", expected))
        bench.tell("b", change(DomainState.DRAINED, "baraka", expected))
        restore = change(DomainState.IN_SERVICE, "chidi", expected)
        bench.run(2.0)
        self.assertEqual(2, len(bench.commands_of(ops.Accepted)) - 1)
        late_answer = bench.call("b", restore)
        self.assertEqual(Code.CONFLICT, code_of(late_answer))
        self.assertIn("amina", late_answer.problem.detail)
        self.assertIn(f"revision {expected + 1}", late_answer.problem.detail)

    def test_racing_changes_of_other_records_are_all_accepted_in_turn(self) -> None:
        bench = Bench(entries=("a", "b"))
        for name in ("a", "b"):
            for number in range(10):
                bench.tell(name, submit_record(domain(f"{name}{number}")))
        bench.run(4.0)
        self.assertEqual(20, len(bench.commands_of(ops.Accepted)))
        self.assertEqual(RevisionRow(revision=20), bench.rows("revision")["revision"])
        rows = list(bench.rows("record/").values())
        revisions = {row.revision for row in rows if isinstance(row, RecordRow)}
        self.assertEqual(set(range(1, 21)), revisions)

    def test_a_lost_answer_is_settled_by_submitting_again(self) -> None:
        bench = Bench()
        bench.mode = "lose_answers"
        bench.tell("a", submit_record(domain("izmir")))
        bench.run(2.0)
        self.assertEqual([], bench.commands_of(ops.Accepted))
        bench.mode = "up"
        bench.run(2.0)
        self.assertEqual(1, len(bench.commands_of(ops.Accepted)))
        self.assertEqual(RevisionRow(revision=1), bench.rows("revision")["revision"])

    def test_without_any_answer_the_outcome_is_unknown(self) -> None:
        bench = Bench()
        bench.mode = "lose_answers"
        answer = bench.call("a", submit_record(job("bread")))
        self.assertEqual(Code.OUTCOME_UNKNOWN, code_of(answer))

    def test_an_unsettled_change_that_was_replaced_has_an_unknown_outcome(
        self,
    ) -> None:
        bench = Bench()
        bench.mode = "lose_answers"
        bench.tell("a", submit_record(domain("izmir")))
        bench.step()
        drained = FailureDomainRecord(
            name="izmir", region="ege", state=DomainState.DRAINED
        )
        row = RecordRow(
            kind="failure_domain",
            schema_version=1,
            record=drained,
            author="baraka",
            revision=2,
        )
        bench.write("record/failure_domain/izmir", row)
        bench.write("revision", RevisionRow(revision=2))
        bench.mode = "up"
        bench.run(2.0)
        rejected = bench.commands_of(ops.Reject)[0]
        self.assertEqual(Code.OUTCOME_UNKNOWN, rejected.problem.code)
        self.assertIn("baraka", rejected.problem.detail)

    def test_a_change_during_an_outage_is_rejected_without_effect(self) -> None:
        bench = Bench()
        bench.mode = "down"
        answer = bench.call("a", submit_record(domain("izmir")))
        self.assertEqual(Code.UNAVAILABLE, code_of(answer))
        bench.mode = "up"
        bench.run(12.0)
        self.assertEqual({}, bench.rows("record/"))

    def test_an_answer_comes_before_the_operator_gives_up(self) -> None:
        bench = Bench()
        bench.mode = "lose_answers"
        call = replace(submit_record(domain("izmir")), within_s=3.0)
        started_at = bench.now
        answer = bench.call("a", call)
        self.assertEqual(Code.OUTCOME_UNKNOWN, code_of(answer))
        self.assertLess(bench.now - started_at, 3.0)

    def test_the_same_record_again_is_accepted_and_another_is_not(self) -> None:
        bench = Bench(entries=("a", "b"))
        first = bench.call("a", submit_record(job("bread", 3), "1"))
        repeated = bench.call("b", submit_record(job("bread", 3), "2"))
        self.assertEqual(first.row, repeated.row)
        other = bench.call("b", submit_record(job("bread", 4), "3"))
        self.assertEqual(Code.CONFLICT, code_of(other))
        self.assertEqual(1, len(bench.rows("backlog/")))

    def drain_through_a_stale_entry(self) -> DomainState:
        bench = Bench(entries=("a", "b"))
        bench.call("a", submit_record(domain("izmir")))
        bench.call("a", change(DomainState.DRAINED, "amina"))
        bench.run(1.0)
        bench.paused.add("b")
        bench.call("a", change(DomainState.IN_SERVICE, "amina"))
        bench.paused.discard("b")
        bench.inbox["b"].clear()
        answer = bench.call("b", change(DomainState.DRAINED, "baraka", 0))
        self.assertIsInstance(answer, ops.Accepted)
        row = bench.rows("record/failure_domain/izmir")
        stored_row = row["record/failure_domain/izmir"]
        assert isinstance(stored_row, RecordRow)
        assert isinstance(stored_row.record, FailureDomainRecord)
        return stored_row.record.state

    def test_a_drain_accepted_by_a_stale_entry_takes_effect(self) -> None:
        self.assertEqual(DomainState.DRAINED, self.drain_through_a_stale_entry())

    def test_without_verification_a_stale_entry_would_accept_a_drain_without_effect(
        self,
    ) -> None:
        self.patch(control_changes, "must_verify", lambda change: False)
        self.assertEqual(DomainState.IN_SERVICE, self.drain_through_a_stale_entry())

    def test_a_size_that_fits_no_worker_is_invalid(self) -> None:
        bench = Bench()
        with_cells(bench, {"r1": "izmir"}, summary)
        size = cell("x", "y").workers[0].capacity
        answer = bench.call("a", submit_record(job("huge", size=size.plus(size))))
        self.assertEqual(Code.INVALID, code_of(answer))
        self.assertEqual("size", answer.problem.field)
        self.assertEqual({}, bench.rows("record/job/"))


class DistributionTest(testtools.TestCase):
    def test_a_change_is_in_force_at_every_entry_and_agent_within_3_s(self) -> None:
        bench = Bench(entries=("a", "b"))
        bench.run(2.0)
        bench.tell_all(LinkUp(peer="agent-1", region="ege"), announce("agent-1"))
        bench.run(1.0)
        accepted = bench.call("a", submit_record(domain("izmir")))
        started_at = bench.now
        revision = accepted.row.revision
        bench.run(0.2)
        ask = ops.AskInForce(call_id="early", author="amina", revision=revision)
        early = bench.call("a", ask)
        self.assertFalse(early.everywhere)
        self.assertIn("agent-1", early.missing)
        bench.tell_all(announce("agent-1", applied=revision))
        for number in range(30):
            ask = ops.AskInForce(call_id=f"q{number}", author="x", revision=revision)
            if bench.call("a", ask).everywhere:
                break
        self.assertLess(bench.now - started_at, 3.0)
        for name in ("a", "b"):
            self.assertEqual(revision, bench.tables[name].revision)

    def test_links_get_the_full_configuration_and_then_the_changes(self) -> None:
        bench = Bench()
        bench.call("a", submit_record(domain("izmir")))
        bench.tell("a", LinkUp(peer="agent-1", region="ege"))
        bench.run(0.5)
        bench.call("a", submit_record(domain("manisa")))
        bench.call("a", submit_record(job("bread")))
        bench.run(1.0)
        found = [(one.base, len(one.rows)) for one in bench.sent_items(Configured)]
        self.assertEqual([(0, 1), (1, 1)], found)
        router_events = [
            one.event for one in bench.commands_of(Tell) if one.role == "router"
        ]
        self.assertEqual(
            [1, 2],
            [one.revision for one in router_events if isinstance(one, Configured)],
        )

    def test_an_agent_that_does_not_confirm_gets_the_full_configuration_again(
        self,
    ) -> None:
        bench = Bench()
        bench.call("a", submit_record(domain("izmir")))
        bench.tell("a", LinkUp(peer="agent-1", region="ege"))
        bench.run(2.5)
        bench.tell("a", announce("agent-1", applied=0))
        bench.run(0.2)
        self.assertEqual([0, 0], [one.base for one in bench.sent_items(Configured)])

    def state_after_an_older_row(self) -> DomainState:
        bench = Bench()
        bench.call("a", submit_record(domain("izmir")))
        bench.call("a", change(DomainState.DRAINED, "amina"))
        tables = bench.tables["a"]
        current_row = tables.records.by_key["record/failure_domain/izmir"]
        assert isinstance(current_row.row, RecordRow)
        old_record_row = RecordRow(
            kind="failure_domain",
            schema_version=1,
            record=domain("izmir"),
            author="amina",
            revision=1,
        )
        old_row = type(current_row)(
            key=current_row.key, version=current_row.version - 1, row=old_record_row
        )
        tables = control_records.update_records(tables, [old_row])
        in_service = control_records.in_service(tables, "izmir")
        return DomainState.IN_SERVICE if in_service else DomainState.DRAINED

    def test_an_older_row_is_ignored(self) -> None:
        self.assertEqual(DomainState.DRAINED, self.state_after_an_older_row())

    def test_without_the_check_an_older_row_would_revert_the_configuration(
        self,
    ) -> None:
        self.patch(control_records, "is_newer", lambda row, known: True)
        self.assertEqual(DomainState.IN_SERVICE, self.state_after_an_older_row())
