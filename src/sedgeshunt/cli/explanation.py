"""Ask proxies how they would route a request, and why."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Annotated, Any

from cyclopts import Parameter
from msgspec import Raw, Struct
from msgspec.json import decode, encode

from sedgeshunt.cli.console import Console
from sedgeshunt.cli.context import Context
from sedgeshunt.cli.fleet import Fleet, ProxyAnswer
from sedgeshunt.configuration.errors import ObjectNotFound
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ObjectKind, Proxy
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.configuration.store import read_store
from sedgeshunt.exceptions import ExitCode
from sedgeshunt.identifiers import GroupId, TrafficClass
from sedgeshunt.membership.questions import Question
from sedgeshunt.ports import PeerConnection

_INDENT = '  '


class Explanation(Struct, frozen=True):
    """Hold one proxy's answer as it gave it."""

    proxy: str
    zone: str
    answer: Raw | None
    failure: str


async def explain(
    group: str,
    /,
    *,
    traffic_class: str,
    age: Annotated[
        int | None,
        Parameter(help='Accepted age of the data, in milliseconds.'),
    ] = None,
    token: Annotated[
        str | None,
        Parameter(help='Session token that the request brings along.'),
    ] = None,
    proxy: Annotated[
        str | None,
        Parameter(help='Ask this proxy; without it, one in each zone.'),
    ] = None,
    context: Context,
) -> ExitCode:
    """Show how a request would be routed, and why."""
    async with context.open_platform() as platform:
        snapshot = (await read_store(platform)).snapshot
    if GroupId(group) not in snapshot.groups:
        raise ObjectNotFound(ObjectKey(ObjectKind.GROUP, group))
    asked = _choose_proxies(snapshot, proxy)
    question = Question(
        GroupId(group),
        TrafficClass(traffic_class),
        age,
        token,
    )

    async def ask(connection: PeerConnection) -> bytes:
        return await connection.explain(encode(question))

    answers = await Fleet(context.backends.make_connector()).ask_all(asked, ask)
    _show(context.console, answers)
    if any(answer.answer is None for answer in answers):
        return ExitCode.PROXY_UNREACHABLE
    return ExitCode.DONE


def _choose_proxies(snapshot: Snapshot, name: str | None) -> list[Proxy]:
    if name is not None:
        proxy = snapshot.proxies.get(name)
        if proxy is None:
            raise ObjectNotFound(ObjectKey(ObjectKind.PROXY, name))
        return [proxy]
    chosen: dict[str, Proxy] = {}
    for _, candidate in sorted(snapshot.proxies.items()):
        chosen.setdefault(candidate.zone, candidate)
    return list(chosen.values())


def _show(console: Console, answers: Iterable[ProxyAnswer[bytes]]) -> None:
    explanations = [
        Explanation(
            given.proxy.name,
            given.proxy.zone,
            None if given.answer is None else Raw(given.answer),
            given.failure,
        )
        for given in answers
    ]
    lines: list[str] = []
    for explanation in explanations:
        lines.append(f'proxy {explanation.proxy} in {explanation.zone}')
        if explanation.answer is None:
            lines.append(f'{_INDENT}{explanation.failure}')
        else:
            document = decode(explanation.answer)
            lines.extend(_list_lines(document, _INDENT))
    console.show_text('\n'.join(lines), explanations)


def _list_lines(document: Any, indent: str) -> Iterator[str]:
    if isinstance(document, Mapping):
        for name, content in document.items():
            yield from _list_item(f'{name}:', content, indent)
    elif isinstance(document, list):
        for content in document:
            yield from _list_item('-', content, indent)
    else:
        yield f'{indent}{document}'


def _list_item(lead: str, content: Any, indent: str) -> Iterator[str]:
    if isinstance(content, Mapping | list):
        yield f'{indent}{lead}'
        yield from _list_lines(content, indent + _INDENT)
    else:
        yield f'{indent}{lead} {content}'
