"""Name the identifiers and quantities that every part shares."""

from typing import NewType

GroupId = NewType('GroupId', str)
TargetId = NewType('TargetId', str)
ProxyId = NewType('ProxyId', str)
ZoneId = NewType('ZoneId', str)
TrafficClass = NewType('TrafficClass', str)
RequestId = NewType('RequestId', str)
TraceId = NewType('TraceId', str)
ChangeId = NewType('ChangeId', str)

Term = NewType('Term', int)
Position = NewType('Position', int)
Revision = NewType('Revision', int)

# A reading of the event loop's monotonic clock, in seconds.
Monotonic = NewType('Monotonic', float)
# A span of time, in seconds.
Seconds = NewType('Seconds', float)
