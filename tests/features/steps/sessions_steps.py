"""Check session tokens and the points that reads must include."""

from typing import Any

from behave import given, then, when

from sedgeshunt.exceptions import SettingsInvalid
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Monotonic, Position, Term
from sedgeshunt.requests.outcome import Cause
from sedgeshunt.sessions.session import SessionState
from sedgeshunt.sessions.token import MAX_GROUPS, SigningKey, TokenKeys

SECRETS = {'new': b'n' * 100, 'old': b'o' * 16, 'forged': b'f' * 16}
FAR_AHEAD = 10**15


def make_keys(*names: str) -> TokenKeys:
    return TokenKeys([SigningKey(name, SECRETS[name]) for name in names])


def read_point(text: str) -> Point:
    term, position = text.split(':')
    return Point(Term(int(term)), Position(int(position)))


def list_group_names(count: int) -> list[GroupId]:
    return [GroupId(f'group-{number}') for number in range(count)]


def forge(context: Any) -> list[str]:
    points = {GroupId('songbook'): Point(Term(9), Position(FAR_AHEAD))}
    signed = TokenKeys([SigningKey('new', SECRETS['forged'])])
    return [signed.sign(points)]


def damage(context: Any) -> list[str]:
    # The last character is skipped, as some of its bits may be unused.
    valid = context.valid
    return [
        valid[:index] + replace_letter(letter) + valid[index + 1 :]
        for index, letter in enumerate(valid[:-1])
    ]


def replace_letter(letter: str) -> str:
    return 'Q' if letter == 'A' else 'A'


@given('a proxy that signs tokens with key "new" and knows key "old"')
def make_proxy(context: Any) -> None:
    context.keys = make_keys('new', 'old')
    context.session = SessionState(Monotonic(0))
    points = {GroupId('songbook'): Point(Term(3), Position(41))}
    context.valid = context.keys.sign(points)


@given('a session opened at {moment:f}')
def open_session(context: Any, moment: float) -> None:
    context.session = SessionState(Monotonic(moment))


@when('a session writes to "{group}" at {point}')
def write(context: Any, group: str, point: str) -> None:
    context.session.note_write(GroupId(group), read_point(point))


@when('its token reaches another proxy that signs with "old" and knows "new"')
def resume_session(context: Any) -> None:
    token = context.keys.sign(context.session.points)
    context.session = SessionState(Monotonic(100))
    points = make_keys('old', 'new').verify(token).unwrap()
    context.session.merge_points(points)


@when('these tokens are presented')
def present_tokens(context: Any) -> None:
    malformed = {
        'valid, truncated by one': [context.valid[:-1]],
        'valid, each byte changed': damage(context),
        'a position far ahead': forge(context),
        '5000 characters': ['A' * 5000],
    }
    context.tokens = [
        token
        for row in context.table
        for token in malformed.get(row['token'], [row['token']])
    ]


@then('each is refused with cause "token" and advice to open a new session')
def check_refused(context: Any) -> None:
    assert len(context.tokens) > len(context.valid)
    for token in context.tokens:
        refusal = context.keys.verify(token).unwrap_err()
        assert refusal.cause is Cause.TOKEN
        assert 'open a new session without it' in refusal.reason


@when('a token is signed with key "old"')
def sign_old(context: Any) -> None:
    points = {GroupId('songbook'): Point(Term(3), Position(41))}
    context.token = make_keys('old').sign(points)


@then('the proxy verifies it')
def check_verified(context: Any) -> None:
    points = context.keys.verify(context.token).unwrap()
    assert points == {GroupId('songbook'): (3, 41)}


@then('a proxy that knows only "new" refuses it')
def check_withdrawn(context: Any) -> None:
    refusal = make_keys('new').verify(context.token).unwrap_err()
    assert 'withdrawn' in refusal.reason


@then('a proxy without any key cannot start')
def check_no_key(context: Any) -> None:
    try:
        TokenKeys([])
    except SettingsInvalid as error:
        assert 'give one key' in error.format_message()
    else:
        raise AssertionError('it started')


@when('the barrier of "{group}" completes at {point}')
def complete_barrier(context: Any, group: str, point: str) -> None:
    context.session.complete_barrier(GroupId(group), read_point(point))


@when('a write to "{group}" has an unknown outcome at {moment:f}')
def record_unknown_write(context: Any, group: str, moment: float) -> None:
    context.session.note_unknown_write(GroupId(group), Monotonic(moment))


@when('a session writes to {count:d} groups and then again to the first')
def write_many(context: Any, count: int) -> None:
    names = list_group_names(count)
    names.append(names[0])
    for name in names:
        context.session.note_write(name, Point(Term(1), Position(1)))


@then('its token names {count:d} groups, the first among them')
def check_bound(context: Any, count: int) -> None:
    token = context.keys.sign(context.session.points)
    context.points = context.keys.verify(token).unwrap()
    assert len(context.points) == count == MAX_GROUPS
    assert list_group_names(1)[0] in context.points


@then('a proxy that gets the token needs a barrier for the second group')
def check_left_out(context: Any) -> None:
    session = SessionState(Monotonic(1))
    session.merge_points(context.points)
    first, second = list_group_names(2)
    assert not session.needs_barrier(first)
    assert session.needs_barrier(second)


@then('its reads of "{group}" need {point:S}')
def check_need(context: Any, group: str, point: str) -> None:
    assert context.session.get_required_point(GroupId(group)) == read_point(
        point
    )


@then('its reads of "{group}" need no barrier')
def check_no_barrier(context: Any, group: str) -> None:
    assert not context.session.needs_barrier(GroupId(group))


@then('its reads of "{group}" need a barrier since {moment:f}')
def check_barrier(context: Any, group: str, moment: float) -> None:
    assert context.session.needs_barrier(GroupId(group))
    assert context.session.get_barrier_start(GroupId(group)) == moment
