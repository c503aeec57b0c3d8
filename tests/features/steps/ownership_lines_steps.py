"""Check the lines that show by what a group is held."""

from collections.abc import Mapping, Sequence
from itertools import cycle, islice
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from sedgeshunt.adapters.text_metrics import TextMetrics
from sedgeshunt.decisions import Decision, DecisionKind, MemoryDecisionLog
from sedgeshunt.identifiers import (
    Boottime,
    Monotonic,
    OwnerToken,
    ProxyId,
    Seconds,
)
from sedgeshunt.lateness import LatenessLines
from sedgeshunt.membership.peer_lines import PeerLines
from sedgeshunt.ownership.evidence import Basis, HoldEvidence
from sedgeshunt.ownership.hold_lines import HoldLines, HoldTimes
from sedgeshunt.ports import Delete
from sedgeshunt.registry.keys import make_owner_key
from tests.features.node_bench import GROUP, NodeBench

HOLDING = (
    DecisionKind.GROUP_CLAIMED,
    DecisionKind.GROUP_HELD,
    DecisionKind.GROUP_NOT_HELD,
)
ORDERING = (
    DecisionKind.INTENT_RECORDED,
    DecisionKind.INTENT_FOUND,
    DecisionKind.INTENT_CLEARED,
    DecisionKind.PROMOTION_ORDERED,
    DecisionKind.PROMOTION_WITHHELD,
    DecisionKind.PROMOTION_NOT_SEEN,
    DecisionKind.PRIMARY_REPLACED,
)
FIELDS = ('token', 'claim', 'lease', 'age_ms', 'left_ms', 'renewed_by')
CLOCK = 'sedgeshunt.ownership.hold_lines.read_boottime'
PEER_CLOCK = 'sedgeshunt.membership.peer_lines.read_clock'
LOSS_INTERVAL = 0.05
LATENESS_CLOCK = 'sedgeshunt.lateness.read_clock'
LATENESS = Seconds(0.45)
# The second is left out, and so is the last.
LATE_AT = (10, 10.5, 11.1, 11.6, 12)
CHANGE_INTERVAL = 0.5
FIRST_CHANGE = 100
AFTER_WINDOW = 31


@when("the store loses the owner's key")
def lose_key(context: Any) -> None:
    bench: NodeBench = context.nodes
    key = make_owner_key(GROUP)
    bench.time.act(lambda: bench.store.store.commit((), (Delete(key),)))


@then('"{node}" wrote these lines of its group')
def check_lines(context: Any, node: str) -> None:
    context.lines = _list_lines(context.nodes, node, HOLDING)
    written = [
        (
            line.kind.value,
            line.reasons['evidence'],
            line.reasons.get('before', ''),
        )
        for line in context.lines
    ]
    rows = context.table
    assert written == [
        (row['line'], row['evidence'], row['before']) for row in rows
    ], written


@then('each of them names token, claim, lease and the age of the evidence')
def check_fields(context: Any) -> None:
    for line in context.lines:
        assert not set(FIELDS) - line.reasons.keys(), line
        assert 0 <= int(line.reasons['age_ms']), line
        assert int(line.reasons['left_ms']) > 0, line


@then(
    '"{node}" wrote that it held its group no more '
    + '{least:d} to {most:d} ms after the end',
)
def check_end(context: Any, node: str, least: int, most: int) -> None:
    line = _find_line(context.nodes, node, DecisionKind.GROUP_NOT_HELD)
    assert line['evidence'] == Basis.NONE.value, line
    assert least <= -int(line['left_ms']) <= most, line


@then('"{node}" wrote that it lost its group as "{why}"')
def check_loss(context: Any, node: str, why: str) -> None:
    line = _find_line(context.nodes, node, DecisionKind.GROUP_LOST)
    assert line['why'] == why, line


@then('the next owner wrote that it claimed as "{why}"')
def check_claim(context: Any, why: str) -> None:
    owner = context.nodes.find_owner()
    line = _find_line(context.nodes, owner, DecisionKind.GROUP_CLAIMED)
    assert line['why'] == why, line
    assert line['owner_before'] in {'east-1', ''}, line


@then('"{node}" wrote once that its key is gone')
def check_key_loss(context: Any, node: str) -> None:
    line = _find_line(context.nodes, node, DecisionKind.GROUP_KEY_LOST)
    assert line['evidence'] == Basis.LEASE.value, line


@then('"{node}" wrote no warning of a lost key')
def check_no_key_loss(context: Any, node: str) -> None:
    kinds = (DecisionKind.GROUP_KEY_LOST,)
    assert not _list_lines(context.nodes, node, kinds)


@then('"{node}" wrote that it claimed again as its key was gone')
def check_second_claim(context: Any, node: str) -> None:
    first = _find_line(context.nodes, node, DecisionKind.GROUP_CLAIMED)
    line = _find_line(context.nodes, node, DecisionKind.GROUP_CLAIMED_AGAIN)
    assert line['why'] == f'the key of the token {first["token"]} is gone'
    assert int(line['token']) > int(first['token']), line


@then(
    '"{node}" wrote a voided answer that was sent by a lease '
    + 'under term {term:d}'
)
def check_voided(context: Any, node: str, term: int) -> None:
    claim = _find_line(context.nodes, node, DecisionKind.GROUP_CLAIMED)
    line = _find_line(context.nodes, node, DecisionKind.ANSWER_VOIDED)
    assert line['outcome'] == 'voided', line
    assert line['token'] == claim['token'], line
    assert line['evidence'] == Basis.LEASE.value, line
    assert line['evidence_after'] == Basis.NONE.value, line
    assert int(line['left_ms']) > 0, line
    assert int(line['left_after_ms']) < 0, line
    assert line['term'] == str(term), line


@then('the page of "{node}" has {count:d} voided answers')
def check_count(context: Any, node: str, count: int) -> None:
    metrics = TextMetrics()
    service = context.nodes.nodes[node].service
    context.nodes.time.act(lambda: service.measure(metrics))
    page = metrics.write_page().decode()
    assert f'sedgeshunt_ownership_voided {count}' in page, page


@when('{count:d} statements of "{database}" at "{node}" write')
def write_often(context: Any, count: int, database: str, node: str) -> None:
    bench: NodeBench = context.nodes
    session = bench.open(node, database)

    async def write() -> None:
        for place in range(count):
            outcome = await bench.answer(session, f'WRITE turn {place}')
            assert outcome.is_ok(), outcome

    bench.run(write())


@then('"{node}" wrote {count:d} of them, with token, term and target')
def check_sample(context: Any, node: str, count: int) -> None:
    lines = _list_lines(context.nodes, node, (DecisionKind.PRIMARY_STATEMENT,))
    assert len(lines) == count, lines
    for line in lines:
        assert not {*FIELDS, 'statement'} - line.reasons.keys(), line
        assert line.reasons['outcome'] == 'done', line
        assert line.reasons['term'] == '1', line
        assert line.target == 'db-east', line


@then('"{node}" wrote these lines of its orders')
def check_orders(context: Any, node: str) -> None:
    context.lines = _list_lines(context.nodes, node, ORDERING)
    rows = list(context.table)
    assert [line.kind.value for line in context.lines] == [
        row['line'] for row in rows
    ], context.lines
    for line, row in zip(context.lines, rows, strict=True):
        assert line.target == 'db-west', line
        written = ' '.join(f'{key}={line.reasons[key]}' for key in line.reasons)
        assert row['reasons'] in written, line


@then('its order was seen in effect after {least:d} to {most:d} ms')
def check_effect(context: Any, least: int, most: int) -> None:
    for line in context.lines[2:]:
        assert least <= int(line.reasons['since_order_ms']) <= most, line


@then('the next owner wrote that it found the intent of the owner before')
def check_found(context: Any) -> None:
    owner = context.nodes.find_owner()
    before = _find_line(context.nodes, 'east-1', DecisionKind.INTENT_RECORDED)
    line = _find_line(context.nodes, owner, DecisionKind.INTENT_FOUND)
    assert line['intent_token'] == before['token'], line
    assert int(line['token']) > int(before['token']), line


@then('the next owner wrote that it cleared the intent as "{why}"')
def check_cleared(context: Any, why: str) -> None:
    owner = context.nodes.find_owner()
    line = _find_line(context.nodes, owner, DecisionKind.INTENT_CLEARED)
    assert line['why'] == why, line
    assert line['stored'] == 'True', line


@given('an ownership whose evidence changes {count:d} times within 20 s')
def change_evidence(context: Any, count: int) -> None:
    context.decisions = MemoryDecisionLog()
    context.lines = HoldLines(GROUP, context.decisions, HoldTimes())
    bases = islice(cycle((Basis.LEASE, Basis.PROMISES)), count)
    for place, basis in enumerate(bases):
        _change(context.lines, basis, FIRST_CHANGE + place * CHANGE_INTERVAL)


@then('{count:d} lines say that it is held')
def check_volume(context: Any, count: int) -> None:
    lines = context.decisions.list_decisions(DecisionKind.GROUP_HELD)
    assert len(lines) == count, lines


@then('the first line after 30 s says that {count:d} were left out')
def check_left_out(context: Any, count: int) -> None:
    _change(context.lines, Basis.LEASE, FIRST_CHANGE + AFTER_WINDOW)
    lines = context.decisions.list_decisions(DecisionKind.GROUP_HELD)
    assert lines[-1].reasons['dropped'] == str(count), lines[-1]


@then(
    '"{node}" wrote that it lost "{peer}" as "{why}" '
    + 'after {least:d} to {most:d} ms',
)
def check_peer_loss(
    context: Any, node: str, peer: str, why: str, least: int, most: int
) -> None:
    lines = _list_peer_lines(context, node, peer, DecisionKind.PEER_LOST)
    assert lines, peer
    assert lines[0]['why'] == why, lines
    assert least <= int(lines[0]['silent_ms']) <= most, lines


@then('"{node}" wrote once that "{peer}" refused a connection')
def check_refusal(context: Any, node: str, peer: str) -> None:
    lines = _list_peer_lines(context, node, peer, DecisionKind.PEER_REFUSED)
    assert len(lines) == 1, lines
    assert lines[0]['why'], lines


@when('a peer is lost {count:d} times within 5 s')
def lose_peer_often(context: Any, count: int) -> None:
    context.decisions = MemoryDecisionLog()
    context.lines = PeerLines(context.decisions)
    for place in range(count):
        _lose_peer(context.lines, FIRST_CHANGE + place * LOSS_INTERVAL)


@then(
    '{count:d} lines say so, and the first after 10 s counts {others:d} others'
)
def check_losses(context: Any, count: int, others: int) -> None:
    lines = context.decisions.list_decisions(DecisionKind.PEER_LOST)
    assert len(lines) == count, lines
    _lose_peer(context.lines, FIRST_CHANGE + AFTER_WINDOW)
    lines = context.decisions.list_decisions(DecisionKind.PEER_LOST)
    assert lines[-1].reasons['dropped'] == str(others), lines[-1]


@when('the timers of a process are late by 0.4 s, 5 times within 2.5 s')
def delay_timers(context: Any) -> None:
    context.decisions = MemoryDecisionLog()
    lines = LatenessLines(context.decisions)
    for moment in LATE_AT:
        with patch(LATENESS_CLOCK, return_value=Monotonic(moment)):
            lines.record(LATENESS)


@then('{count:d} lines say so, with more than {least:d} ms')
def check_lateness(context: Any, count: int, least: int) -> None:
    lines = context.decisions.list_decisions(DecisionKind.PAUSED)
    assert len(lines) == count, lines
    for line in lines:
        assert int(line.reasons['length_ms']) > least, line


@then('the last one counts {count:d} others')
def check_others(context: Any, count: int) -> None:
    lines = context.decisions.list_decisions(DecisionKind.PAUSED)
    assert lines[-1].reasons['others'] == str(count), lines


def _lose_peer(lines: PeerLines, moment: float) -> None:
    with patch(PEER_CLOCK, return_value=Monotonic(moment)):
        lines.record(DecisionKind.PEER_LOST, ProxyId('east-1'), {})


def _list_peer_lines(
    context: Any, node: str, peer: str, kind: DecisionKind
) -> list[Mapping[str, str]]:
    return [
        line.reasons
        for line in _list_lines(context.nodes, node, (kind,))
        if line.reasons['peer'] == peer
    ]


def _change(lines: HoldLines, basis: Basis, moment: float) -> None:
    evidence = HoldEvidence(
        OwnerToken(1),
        claim=1,
        lease=1,
        basis=basis,
        age=Seconds(0),
        left=Seconds(1),
    )
    with patch(CLOCK, return_value=Boottime(moment)):
        lines.record(evidence, Basis.NONE)


def _find_line(
    bench: NodeBench,
    node: str | None,
    kind: DecisionKind,
) -> Mapping[str, str]:
    assert node is not None
    lines = _list_lines(bench, node, (kind,))
    assert len(lines) == 1, lines
    return lines[0].reasons


def _list_lines(
    bench: NodeBench,
    node: str,
    kinds: Sequence[DecisionKind],
) -> list[Decision]:
    written = bench.nodes[node].decisions.list_decisions()
    return [line for line in written if line.kind in kinds]
