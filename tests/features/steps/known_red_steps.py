"""Check which failed tests the list of known faults passes over."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given, then

from tests.main import is_known, read_known_red


@given('a list of known faults with the line "{line}"')
def write_list(context: Any, line: str) -> None:
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.listed = Path(folder.name) / 'list.txt'
    context.listed.write_text(f'writes.feature:1 A write, seen\n\n{line}\n')


@then('the failed test "{name}" is {verdict}')
def check_verdict(context: Any, name: str, verdict: str) -> None:
    assert _judge(context.listed, name) == verdict


def _judge(listed: Path, name: str) -> str:
    try:
        known = read_known_red(listed)
    except ValueError:
        return 'an error'
    return 'known' if is_known(name, known) else 'a failure'
