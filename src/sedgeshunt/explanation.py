"""Answer operators' questions about one proxy."""

from collections.abc import Mapping

from msgspec import Struct
from msgspec.json import encode
from result import Err

from sedgeshunt.clocks import read_clock
from sedgeshunt.decoding import Undecodable, decode_document
from sedgeshunt.group_runtime import GroupRuntime
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, ProxyId, Seconds
from sedgeshunt.membership.questions import Question
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.reads import MILLISECONDS
from sedgeshunt.routing.choice import ReadNeed
from sedgeshunt.sessions.token import TokenKeys


class TargetLine(Struct, frozen=True, omit_defaults=True):
    """Tell whether one target could serve the read, and why not."""

    target: str
    eligible: bool
    rule: str = ''
    detail: str = ''
    running: int = 0
    queued: int = 0


class Routing(Struct, frozen=True):
    """Tell how a read would be routed."""

    proxy: str
    group: str
    route: str
    accepted_age_ms: int
    needed_point: str
    primary: str
    newest_term: int
    takes_writes: bool
    chosen: str
    targets: list[TargetLine]


class Refused(Struct, frozen=True):
    """Say why a question has no answer."""

    proxy: str
    refused: str


class Explainer:
    """Answer from what the proxy knows at this moment."""

    def __init__(
        self,
        proxy: ProxyId,
        runtimes: Mapping[GroupId, GroupRuntime],
        keys: TokenKeys,
    ) -> None:
        """Read from the groups that the proxy runs."""
        self._proxy = proxy
        self._runtimes = runtimes
        self._keys = keys

    def answer(self, question: bytes) -> bytes:
        """Answer a JSON document with one."""
        try:
            asked = decode_document(question, Question)
        except Undecodable as error:
            return self._refuse(f'{error.reason}; ask with the same version')
        runtime = self._runtimes.get(asked.group)
        if runtime is None:
            return self._refuse(f'group {asked.group} is not served here')
        point = self._read_point(asked)
        if isinstance(point, str):
            return self._refuse(point)
        return encode(self._explain(runtime.service, asked, point))

    def _read_point(self, asked: Question) -> Point | None | str:
        if asked.token is None:
            return None
        verified = self._keys.verify(asked.token)
        if isinstance(verified, Err):
            return verified.err_value.reason
        return verified.ok_value.get(asked.group)

    def _refuse(self, reason: str) -> bytes:
        return encode(Refused(str(self._proxy), reason))

    def _explain(
        self,
        service: GroupService,
        asked: Question,
        point: Point | None,
    ) -> Routing:
        route = service.routes.find(asked.traffic_class)
        age = route.accepted_age_ms
        if asked.accepted_age_ms is not None:
            age = asked.accepted_age_ms
        need = ReadNeed(point, Seconds(age / MILLISECONDS) if age else None)
        ranking = service.rank(
            route,
            need,
            read_clock(),
            may_probe=False,
        )
        primary = service.view.get_primary()
        return Routing(
            proxy=str(self._proxy),
            group=str(service.name),
            route=route.name,
            accepted_age_ms=age,
            needed_point='none' if point is None else f'{point}',
            primary=primary or 'none',
            newest_term=service.view.newest_term,
            takes_writes=primary is not None
            and service.view.reaches_majority(),
            chosen=next(iter(ranking.eligible), 'none'),
            targets=[
                TargetLine(
                    target=str(each.target),
                    eligible=each.rule is None,
                    rule='' if each.rule is None else each.rule.value,
                    detail=each.detail,
                    running=service.services[each.target].admission.running,
                    queued=service.services[each.target].admission.queued,
                )
                for each in ranking.assessments
            ],
        )
