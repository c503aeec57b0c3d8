"""Proxy databases with session consistency, steered by labels."""

from sedgeshunt.exceptions import ExitCode, SedgeshuntError
from sedgeshunt.identifiers import GroupId, TargetId, TrafficClass
from sedgeshunt.requests.outcome import Answer, NotRun, Rejected, Unknown
from sedgeshunt.requests.request import Request, StatementKind

# What is heavy to import stays in its module: sedgeshunt.proxy, .settings,
# .configuration.registry (see docs/API.md).
__all__ = (
    'Answer',
    'ExitCode',
    'GroupId',
    'NotRun',
    'Rejected',
    'Request',
    'SedgeshuntError',
    'StatementKind',
    'TargetId',
    'TrafficClass',
    'Unknown',
)
