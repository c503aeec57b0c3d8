"""Check how settings are read and refused."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given, then, when

from sedgeshunt.exceptions import SettingsInvalid
from sedgeshunt.settings import read_settings


@given('a settings file')
def write_settings(context: Any) -> None:
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / 'proxy.toml'
    context.path.write_text(context.text)


@when('the settings file is read')
def read_file(context: Any) -> None:
    try:
        context.settings = read_settings(context.path)
    except SettingsInvalid as invalid:
        context.settings = invalid


@then('it names proxy "{name}" in "{zone}" with {grace:d} seconds of grace')
def check_settings(context: Any, name: str, zone: str, grace: int) -> None:
    settings = context.settings
    assert settings.proxy == name, settings
    assert settings.zone_id == zone
    assert settings.grace == grace
    assert settings.platform.endpoints[0].get_address().host == '::1'


@then('it is refused with exit code {code:d} and these problems')
def check_problems(context: Any, code: int) -> None:
    invalid = context.settings
    assert isinstance(invalid, SettingsInvalid), invalid
    assert invalid.exit_code == code
    assert len(invalid.problems) == len(context.table.rows), invalid
    for row in context.table:
        named = [
            problem
            for problem in invalid.problems
            if problem.startswith(row['setting']) and row['remedy'] in problem
        ]
        assert len(named) == 1, (row, invalid.problems)
