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
CustomerId = NewType('CustomerId', str)
# What is kept of a customer's key: enough to compare, of no use to call with.
KeyDigest = NewType('KeyDigest', str)

Term = NewType('Term', int)
Position = NewType('Position', int)
Revision = NewType('Revision', int)
# Counts how often a store has come back from an older copy of itself.
Era = NewType('Era', int)

# A reading of the event loop's monotonic clock, in seconds.
Monotonic = NewType('Monotonic', float)
# A span of time, in seconds.
Seconds = NewType('Seconds', float)

# The id that a caller gives a statement; nobody else uses it.
StatementId = NewType('StatementId', str)
TransactionId = NewType('TransactionId', str)
# One life of one proxy's process.
Incarnation = NewType('Incarnation', str)
# One life of a target, by the Unix time of its start in ms; 0: not told.
TargetLife = NewType('TargetLife', int)
# Grows with each change of a group's owner.
OwnerToken = NewType('OwnerToken', int)
# A reading of the clock that also counts while the instance is suspended.
Boottime = NewType('Boottime', float)
# Address at which one target after the other keeps a log.
CopyPlace = NewType('CopyPlace', str)
