"""Derive from single answers what a majority of a group has shown."""

from collections.abc import Sequence
from typing import NamedTuple

from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Observation
from sedgeshunt.identifiers import Monotonic, Term


class Watermark(NamedTuple):
    """Say that all writes acknowledged before `moment` are at or below."""

    moment: Monotonic
    point: Point


def count_majority(members: int) -> int:
    """Return the smallest number of members that any two majorities share."""
    return members // 2 + 1


def find_watermarks(
    observations: Sequence[Observation],
    majority: int,
) -> list[Watermark]:
    """Return the best watermark for each moment that a majority allows."""
    # A write acknowledged before a moment was held by some majority before
    # it, and no member drops such a write. Any majority that was asked after
    # the moment shares a member with it, so its highest log end is at or
    # above the write. `asked_at` bounds the moment: a long poll may have
    # been read at any time up to its answer.
    by_age = sorted(
        observations,
        key=lambda observation: observation.asked_at,
        reverse=True,
    )
    # Of the members asked after a moment, the majority with the lowest log
    # ends gives the lowest sound watermark, often without the primary's tip.
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
    """Return the highest point that a majority holds while in `term`."""
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
    """Return since when a majority's answers show `point` as kept."""
    # Term and log end count only together, out of one answer: a record that
    # reaches a member after it was fenced for a later term is dropped when
    # that term's primary lacks it, although the log end covered the point.
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
