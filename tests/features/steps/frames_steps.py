"""Check the classes of frames, and the modules that a start loads."""

import subprocess  # a fresh interpreter shows what a start loads
import sys
from typing import Any

from behave import then, when

from tools.frames import CLASSES, write_classes

LOADING = 'import sys, sedgeshunt.node; print(*sys.modules)'


@when('the classes are generated from the schema again')
def generate_classes(context: Any) -> None:
    context.written = write_classes()


@then('they equal the classes in use')
def check_written(context: Any) -> None:
    assert CLASSES.read_text() == context.written


@when("a proxy's program is loaded")
def load_program(context: Any) -> None:
    done = subprocess.run(
        [sys.executable, '-S', '-c', _find_paths() + LOADING],
        capture_output=True,
        check=True,
        text=True,
    )
    context.loaded = {name.partition('.')[0] for name in done.stdout.split()}


@then('it has loaded none of "{names}"')
def check_loaded(context: Any, names: str) -> None:
    assert 'sedgeshunt' in context.loaded
    assert context.loaded.isdisjoint(names.split(', ')), context.loaded


def _find_paths() -> str:
    # The interpreter starts without the module site, as .pth files of packages
    # would load further modules; so the paths are set here.
    return f'import sys; sys.path[:] = {sys.path!r}; '
