"""Derive what a majority of a group holds from its members' answers."""

from collections.abc import Sequence
from typing import NamedTuple

from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Observation
from sedgeshunt.identifiers import Monotonic, Term


class Watermark(NamedTuple):
    """A point at or above all writes acknowledged before `moment`."""

    moment: Monotonic
    point: Point


def count_majority(members: int) -> int:
    """Return the smallest size at which any two sets of members overlap."""
    return members // 2 + 1


def find_watermarks(
    observations: Sequence[Observation],
    majority: int,
) -> list[Watermark]:
    """Return the lowest watermark for each moment with a majority after it."""
    # A write acknowledged before a moment is held by a majority, and no member
    # drops such a write. Any majority asked after the moment shares a member
    # with it, so the highest log end among its answers is at or above the
    # write. The moment is `asked_at`, as the status of a long poll may have
    # been read at any time between request and answer.
    by_age = sorted(
        observations,
        key=lambda observation: observation.asked_at,
        reverse=True,
    )
    # The majority with the lowest log ends gives the lowest valid watermark,
    # which often leaves out the primary's unreplicated records.
    return [
        Watermark(
            by_age[size - 1].asked_at,
            _sort_ends(by_age[:size])[majority - 1],
        )
        for size in range(majority, len(by_age) + 1)
    ]


def find_durable(
    observations: Sequence[Observation],
    majority: int,
    term: Term,
) -> Point | None:
    """Return the highest point held by a majority with fencing term `term`."""
    ends = _sort_ends(
        [
            observation
            for observation in observations
            if observation.status.fencing_term == term
        ],
    )
    if len(ends) < majority:
        return None
    return ends[-majority]


def find_confirmation_time(
    observations: Sequence[Observation],
    majority: int,
    point: Point,
) -> Monotonic | None:
    """Return the time after which a majority was asked that holds `point`."""
    # Term and log end must come from the same answer. A record that reaches a
    # member after its fence for a later term is dropped if the primary of that
    # term lacks it, although the log end covered the point.
    dates = sorted(
        observation.asked_at
        for observation in observations
        if observation.status.fencing_term == point.term
        and point.is_covered_by(observation.status.log_end)
    )
    if len(dates) < majority:
        return None
    return dates[-majority]


def _sort_ends(observations: Sequence[Observation]) -> list[Point]:
    return sorted(observation.status.log_end for observation in observations)
