"""Take single safeguards out, to see the promise break without each."""

from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from result import Ok

from sedgeshunt.configuration.active import ActiveConfiguration
from sedgeshunt.configuration.feed import ConfigurationFeed
from sedgeshunt.configuration.objects import Target
from sedgeshunt.configuration.settling import Settler
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

Change = tuple[Any, str, Any]
TAKE_RELEASED = TargetPool.take_released
COMMIT = MemoryKeyValue.commit
STOP_PROXY = Deployment.stop_proxy
MEASURE_AGE = GroupView.measure_age


def _say_no(*_: object, **_named: object) -> bool:
    return False


def _say_yes(*_: object, **_named: object) -> bool:
    return True


def _do_nothing(*_: object) -> None:
    """Leave everything as it is."""


async def _wait_for_nothing(*_: object) -> None:
    """Return at once."""


async def _pass_answer(*given: Any) -> Any:
    return Ok(given[-1])


async def _keep_dirty(pool: TargetPool, connection: Any, **_: object) -> None:
    await TAKE_RELEASED(pool, connection, is_clean=True)


async def _begin_anew(transaction: Transaction) -> None:
    transaction.state = TransactionState.DECLARED


async def _commit_blindly(
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


def _call_lost_not_run(loss: Any) -> NotRun:
    # Any other cause would have it sent again.
    return NotRun(Cause.DEADLINE, str(loss))


def _measure_with_majority(view: GroupView, target: Any, now: Any) -> Any:
    if not view.reaches_majority():
        return None
    return MEASURE_AGE(view, target, now)


def _measure_no_age(*_: object) -> float:
    return 0


def _believe_listing(active: ActiveConfiguration, listing: Any) -> bool:
    active._put_in_force(read_listing(listing).snapshot, 'listing')
    active._read_up_to = listing.revision
    return True


async def _believe_refusal(_: object, _sent: object, refused: Any) -> Any:
    return refused


_NO_PEERS: Change = (ConfigurationFeed, '_ask_peer', _wait_for_nothing)
SAFEGUARDS: dict[str, tuple[Change, ...]] = {
    'none': (),
    'covered point': ((GroupView, 'covers', _say_yes),),
    'term order': ((Point, 'is_covered_by', _compare_positions),),
    'barrier': ((SessionState, 'needs_barrier', _say_no),),
    'barrier after unknown': (
        (SessionState, 'note_unknown_write', _do_nothing),
    ),
    'majority evidence': ((Confirmation, 'confirm', _pass_answer),),
    'longest log': ((promoter, 'choose_candidate', _choose_shortest),),
    'majority in reach': ((GroupView, 'reaches_majority', _say_yes),),
    'closed connection': ((AcquiredConnection, 'invalidate', _do_nothing),),
    'discarded answer': ((TargetPool, 'take_released', _keep_dirty),),
    'lost state': ((Transaction, '_mark_lost', _begin_anew),),
    'lost is unknown': (
        (target_service, '_describe_loss', _call_lost_not_run),
    ),
    'sent once': ((writes, 'is_repeatable', _say_yes),),
    'request id': ((RequestIds, 'record', _pass_answer),),
    'leaving label': ((Target, 'is_leaving', _say_no),),
    'leaving evidence': ((InstanceWatch, 'is_leaving', _say_no),),
    'grace': ((Deployment, 'stop_proxy', _stop_at_once),),
    'peers': (_NO_PEERS,),
    'new listing': (
        _NO_PEERS,
        (ConfigurationFeed, '_close_gap', _pass_answer),
    ),
    'upwards only': (
        _NO_PEERS,
        (ActiveConfiguration, 'take_listing', _believe_listing),
    ),
    'reading back': ((Settler, '_read_back', _believe_refusal),),
    'compare-and-swap': ((MemoryKeyValue, 'commit', _commit_blindly),),
    'age limit': ((GroupView, 'measure_age', _measure_no_age),),
    'age kept': ((GroupView, 'measure_age', _measure_with_majority),),
    'token instead of barrier': ((SessionState, 'needs_barrier', _say_yes),),
    'ended waits': ((TargetService, 'mark_unreachable', _do_nothing),),
    'refusal at the door': ((TargetAdmission, '_is_too_long', _say_no),),
    'seats': ((SeatHolder, 'is_seated', _say_yes),),
}


def take_out(name: str) -> ExitStack:
    """Take the safeguard out until the returned stack is closed."""
    owned = ExitStack()
    for changed, attribute, replacement in SAFEGUARDS[name]:
        owned.enter_context(patch.object(changed, attribute, replacement))
    return owned
