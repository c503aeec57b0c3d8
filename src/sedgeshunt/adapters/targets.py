"""Open connections to targets that speak the MySQL protocol."""

from asyncio import timeout

from sedgeshunt.adapters.controls import MysqlControl
from sedgeshunt.adapters.target_errors import (
    explain_answer,
    explain_connecting,
)
from sedgeshunt.adapters.target_link import SeveralResults, TargetLink
from sedgeshunt.exceptions import (
    TargetBusy,
    TargetGone,
    TargetLost,
    TargetRejected,
    TargetUnreachable,
)
from sedgeshunt.identifiers import GroupId, Seconds, TargetId, ZoneId
from sedgeshunt.ports import (
    Address,
    ControlConnection,
    TargetConnection,
    TargetConnector,
)
from sedgeshunt.requests.outcome import Answer

CONNECT_TIMEOUT = Seconds(2)
# Targets count statements' connections and the control connections of
# proxies apart, by the user.
STATEMENT_USER = 'sedgeshunt'
CONTROL_USER = 'control'


class MysqlConnection(TargetConnection):
    """Run statements on one connection, broken by the first doubt."""

    def __init__(self, link: TargetLink, target: TargetId) -> None:
        """Own an open `link`."""
        self._link = link
        self._target = target

    async def execute(self, sql: str) -> Answer:
        """Run `sql`; raise TargetRejected, TargetReadOnly or TargetLost."""
        if not self._link.is_usable:
            raise TargetGone(self._target, 'it was idle')
        is_whole = False
        try:
            answer = await self._link.run(sql)
            is_whole = True
        except SeveralResults as failure:
            reason = 'it answered with several sets of rows'
            raise TargetLost(self._target, reason) from failure
        except Exception as failure:
            explained = explain_answer(self._target, failure)
            is_whole = isinstance(explained, TargetRejected)
            raise explained from failure
        finally:
            # Left open, a connection would hand this call's late answer to
            # whoever calls next; this also holds when the wait is cancelled.
            if not is_whole:
                self._link.abort()
        return answer

    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""
        self._link.close()


class MysqlConnector(TargetConnector):
    """Log in to targets under the name of this proxy's zone."""

    def __init__(self, zone: ZoneId, password: str) -> None:
        """Use one password for all targets."""
        self._zone = zone
        self._password = password

    async def connect(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
    ) -> TargetConnection:
        """Open a connection; raise TargetUnreachable or TargetBusy."""
        try:
            link = await self._open(target, address, group, STATEMENT_USER)
        except TargetBusy:
            raise
        except TargetRejected as refusal:
            raise TargetUnreachable(target, refusal.reason) from refusal
        return MysqlConnection(link, target)

    async def connect_control(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
    ) -> ControlConnection:
        """Open a control connection; raise TargetUnreachable or Rejected."""
        # A target that answers, be it with a refusal, is not gone: taken for
        # unreachable, it would be replaced because of a wrong password.
        link = await self._open(target, address, group, CONTROL_USER)
        return MysqlControl(MysqlConnection(link, target), target)

    async def _open(
        self,
        target: TargetId,
        address: Address,
        group: GroupId,
        name: str,
    ) -> TargetLink:
        user = f'{name}@{self._zone}'
        link = TargetLink(address, group, user, self._password)
        try:
            # A frozen target lets its kernel accept and never says a word.
            async with timeout(CONNECT_TIMEOUT):
                await link.connect()
        except Exception as failure:
            link.abort()
            raise explain_connecting(target, failure) from failure
        return link
