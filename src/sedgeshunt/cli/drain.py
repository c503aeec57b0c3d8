"""Take a target out of service by its label."""

from typing import Annotated

from cyclopts import Parameter

from sedgeshunt.cli.changes import describe_edits, show_change
from sedgeshunt.cli.context import Context
from sedgeshunt.cli.objects import Author, Message
from sedgeshunt.cli.rollout import Wait, follow_rollout
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import LEAVING, STATE_LABEL, ObjectKind
from sedgeshunt.exceptions import ExitCode


async def drain(
    target: str,
    /,
    *,
    undo: Annotated[
        bool,
        Parameter(help='Give the target work again.', negative=''),
    ] = False,
    wait: Wait = 0,
    message: Message = '',
    author: Author = None,
    context: Context,
) -> ExitCode:
    """Give a target no new work, or work again."""
    labels = {STATE_LABEL: None if undo else LEAVING}
    async with context.open_registry(author) as registry:
        applied = await registry.set_labels(
            ObjectKey(ObjectKind.TARGET, target),
            labels,
            message,
        )
        snapshot = (await registry.read()).snapshot
    if not wait:
        show_change(context.console, applied)
        return ExitCode.DONE
    context.console.tell(describe_edits(applied.edits))
    return await follow_rollout(context, snapshot, applied.revision, wait)
