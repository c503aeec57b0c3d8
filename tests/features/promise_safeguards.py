"""Disable single safeguards to check that the promise then breaks."""

from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from result import Ok

from sedgeshunt.configuration.active import ActiveConfiguration
from sedgeshunt.configuration.committer import Committer
from sedgeshunt.configuration.feed import ConfigurationFeed
from sedgeshunt.configuration.objects import Target
from sedgeshunt.configuration.store import read_listing
from sedgeshunt.connections.pool import AcquiredConnection, TargetPool
from sedgeshunt.connections.seats import SeatHolder
from sedgeshunt.groups import promoter
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.view import GroupView
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.requests import target_service, writes
from sedgeshunt.requests.confirmation import Confirmation
from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.requests.request_ids import RequestIds
from sedgeshunt.requests.target_service import TargetService
from sedgeshunt.requests.transaction import Transaction, TransactionState
from sedgeshunt.sessions.session import SessionState
from tests.deployment import Deployment
from tests.standins.platform import MemoryKeyValue

Patch = tuple[Any, str, Any]
TAKE_RELEASED = TargetPool.take_released
COMMIT = MemoryKeyValue.commit
STOP_PROXY = Deployment.stop_proxy
MEASURE_AGE = GroupView.measure_age


def _return_false(*_: object, **_named: object) -> bool:
    return False


def _return_true(*_: object, **_named: object) -> bool:
    return True


def _do_nothing(*_: object) -> None:
    """Do nothing."""


async def _return_at_once(*_: object) -> None:
    """Return at once."""


async def _return_last(*given: Any) -> Any:
    return Ok(given[-1])


async def _keep_dirty(pool: TargetPool, connection: Any, **_: object) -> None:
    await TAKE_RELEASED(pool, connection, is_clean=True)


async def _reset_transaction(transaction: Transaction) -> None:
    transaction.state = TransactionState.DECLARED


async def _commit_unconditionally(
    service: MemoryKeyValue,
    _compares: object,
    changes: Any,
) -> Any:
    return await COMMIT(service, (), changes)


async def _stop_at_once(deployment: Deployment, name: str) -> None:
    await STOP_PROXY(deployment, name, grace=0)


def _compare_positions(point: Point, other: Point) -> bool:
    return point.position <= other.position


def _choose_shortest(fenced: Any, *_: object) -> Any:
    return Ok(min(fenced, key=lambda status: status.log_end))


def _report_not_run(loss: Any) -> NotRun:
    # With another cause, the request would be sent again.
    return NotRun(Cause.DEADLINE, str(loss))


def _measure_with_majority(view: GroupView, target: Any, now: Any) -> Any:
    if not view.reaches_majority():
        return None
    return MEASURE_AGE(view, target, now)


def _return_zero_age(*_: object) -> float:
    return 0


def _accept_listing(active: ActiveConfiguration, listing: Any) -> bool:
    active._activate(read_listing(listing).snapshot, 'listing')
    active._read_up_to = listing.revision
    return True


async def _return_refusal(_: object, _sent: object, refused: Any) -> Any:
    return refused


_NO_PEERS: Patch = (ConfigurationFeed, '_ask_peer', _return_at_once)
SAFEGUARDS: dict[str, tuple[Patch, ...]] = {
    'none': (),
    'covered point': ((GroupView, 'covers', _return_true),),
    'term order': ((Point, 'is_covered_by', _compare_positions),),
    'barrier': ((SessionState, 'needs_barrier', _return_false),),
    'barrier after unknown': (
        (SessionState, 'note_unknown_write', _do_nothing),
    ),
    'majority evidence': ((Confirmation, 'confirm', _return_last),),
    'longest log': ((promoter, 'choose_candidate', _choose_shortest),),
    'majority in reach': ((GroupView, 'reaches_majority', _return_true),),
    'closed connection': ((AcquiredConnection, 'invalidate', _do_nothing),),
    'discarded answer': ((TargetPool, 'take_released', _keep_dirty),),
    'lost state': ((Transaction, '_mark_lost', _reset_transaction),),
    'lost is unknown': ((target_service, '_describe_loss', _report_not_run),),
    'sent once': ((writes, 'is_repeatable', _return_true),),
    'request id': ((RequestIds, 'record', _return_last),),
    'leaving label': ((Target, 'is_leaving', _return_false),),
    'leaving evidence': ((InstanceWatch, 'is_leaving', _return_false),),
    'grace': ((Deployment, 'stop_proxy', _stop_at_once),),
    'peers': (_NO_PEERS,),
    'new listing': (
        _NO_PEERS,
        (ConfigurationFeed, '_resync', _return_last),
    ),
    'no downgrade': (
        _NO_PEERS,
        (ActiveConfiguration, 'apply_listing', _accept_listing),
    ),
    'reading back': ((Committer, '_look_up_outcome', _return_refusal),),
    'compare-and-swap': ((MemoryKeyValue, 'commit', _commit_unconditionally),),
    'age limit': ((GroupView, 'measure_age', _return_zero_age),),
    'age kept': ((GroupView, 'measure_age', _measure_with_majority),),
    'token instead of barrier': (
        (SessionState, 'needs_barrier', _return_true),
    ),
    'ended waits': ((TargetService, 'mark_unreachable', _do_nothing),),
    'early refusal': ((TargetAdmission, '_is_too_long', _return_false),),
    'seats': ((SeatHolder, 'is_seated', _return_true),),
}


def disable_safeguard(name: str) -> ExitStack:
    """Disable the safeguard until the returned stack is closed."""
    owned = ExitStack()
    for changed, attribute, replacement in SAFEGUARDS[name]:
        owned.enter_context(patch.object(changed, attribute, replacement))
    return owned
