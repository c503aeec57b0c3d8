"""Define the routing questions that operators send to proxies."""

from msgspec import Struct

from sedgeshunt.identifiers import GroupId, TrafficClass


class Question(Struct, frozen=True, omit_defaults=True):
    """Ask how a read of a traffic class would be routed now."""

    group: GroupId
    traffic_class: TrafficClass = TrafficClass('default')
    accepted_age_ms: int | None = None
    token: str | None = None
