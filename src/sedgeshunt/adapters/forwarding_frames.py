"""Hold the messages of the schema; written by `make frames`."""

# The schema is parsed when it changes, not at each start of a proxy: callers
# find no connection until a proxy has started.

from typing import Any

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType


class WirePlace(TBase):
    """Hold a message of the kind Place."""

    __slots__ = (
        'term',
        'position',
    )

    def __init__(
        self,
        term: Any = None,
        position: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.term = term
        self.position = position


WirePlace.thrift_spec = (
    None,
    (1, TType.I64, 'term', None, None),
    (2, TType.I64, 'position', None, None),
)


class WirePrepared(TBase):
    """Hold a message of the kind Prepared."""

    __slots__ = (
        'writes',
        'shape',
    )

    def __init__(
        self,
        writes: Any = None,
        shape: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.writes = writes
        self.shape = shape


WirePrepared.thrift_spec = (
    None,
    (1, TType.BOOL, 'writes', None, None),
    (2, TType.STRING, 'shape', 'UTF8', None),
)


class WireCall(TBase):
    """Hold a message of the kind Call."""

    __slots__ = (
        'group',
        'access',
        'kind',
        'statement',
        'text',
        'traffic_class',
        'time_left_ms',
        'aim_left_ms',
        'priority',
        'transaction',
        'begins',
        'is_read_only',
        'session_values',
        'prepared',
        'arguments',
        'after',
        'max_age_ms',
        'is_relayed',
        'customer',
        'key_digest',
        'version',
        'is_prompt',
    )

    def __init__(
        self,
        group: Any = None,
        access: Any = None,
        kind: Any = None,
        statement: Any = None,
        text: Any = None,
        traffic_class: Any = None,
        time_left_ms: Any = None,
        aim_left_ms: Any = None,
        priority: Any = None,
        transaction: Any = None,
        begins: Any = None,
        is_read_only: Any = None,
        session_values: Any = None,
        prepared: Any = None,
        arguments: Any = None,
        after: Any = None,
        max_age_ms: Any = None,
        is_relayed: Any = None,
        customer: Any = None,
        key_digest: Any = None,
        version: Any = None,
        is_prompt: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.group = group
        self.access = access
        self.kind = kind
        self.statement = statement
        self.text = text
        self.traffic_class = traffic_class
        self.time_left_ms = time_left_ms
        self.aim_left_ms = aim_left_ms
        self.priority = priority
        self.transaction = transaction
        self.begins = begins
        self.is_read_only = is_read_only
        self.session_values = session_values
        self.prepared = prepared
        self.arguments = arguments
        self.after = after
        self.max_age_ms = max_age_ms
        self.is_relayed = is_relayed
        self.customer = customer
        self.key_digest = key_digest
        self.version = version
        self.is_prompt = is_prompt


WireCall.thrift_spec = (
    None,
    (1, TType.STRING, 'group', 'UTF8', None),
    (2, TType.BYTE, 'access', None, None),
    (3, TType.BYTE, 'kind', None, None),
    (4, TType.STRING, 'statement', 'UTF8', None),
    (5, TType.STRING, 'text', 'UTF8', None),
    (6, TType.STRING, 'traffic_class', 'UTF8', None),
    (7, TType.I32, 'time_left_ms', None, None),
    (8, TType.I32, 'aim_left_ms', None, None),
    (9, TType.BYTE, 'priority', None, None),
    (10, TType.STRING, 'transaction', 'UTF8', None),
    (11, TType.BOOL, 'begins', None, None),
    (12, TType.BOOL, 'is_read_only', None, None),
    (
        13,
        TType.MAP,
        'session_values',
        (TType.STRING, 'UTF8', TType.STRING, 'UTF8', False),
        None,
    ),
    (
        14,
        TType.STRUCT,
        'prepared',
        [WirePrepared, WirePrepared.thrift_spec],
        None,
    ),
    (15, TType.STRING, 'arguments', 'UTF8', None),
    (16, TType.STRUCT, 'after', [WirePlace, WirePlace.thrift_spec], None),
    (17, TType.I32, 'max_age_ms', None, None),
    (18, TType.BOOL, 'is_relayed', None, None),
    (19, TType.STRING, 'customer', 'UTF8', None),
    (20, TType.STRING, 'key_digest', 'UTF8', None),
    (21, TType.I64, 'version', None, None),
    (22, TType.BOOL, 'is_prompt', None, None),
)


class WireReply(TBase):
    """Hold a message of the kind Reply."""

    __slots__ = (
        'outcome',
        'rows',
        'point',
        'signature',
        'served_by',
        'cause',
        'reason',
        'retry_after_ms',
        'tip',
        'is_tip',
        'waits',
    )

    def __init__(
        self,
        outcome: Any = None,
        rows: Any = None,
        point: Any = None,
        signature: Any = None,
        served_by: Any = None,
        cause: Any = None,
        reason: Any = None,
        retry_after_ms: Any = None,
        tip: Any = None,
        is_tip: Any = None,
        waits: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.outcome = outcome
        self.rows = rows
        self.point = point
        self.signature = signature
        self.served_by = served_by
        self.cause = cause
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.tip = tip
        self.is_tip = is_tip
        self.waits = waits


WireReply.thrift_spec = (
    None,
    (1, TType.BYTE, 'outcome', None, None),
    (2, TType.LIST, 'rows', (TType.STRING, 'UTF8', False), None),
    (3, TType.STRUCT, 'point', [WirePlace, WirePlace.thrift_spec], None),
    (4, TType.STRING, 'signature', 'UTF8', None),
    (5, TType.STRING, 'served_by', 'UTF8', None),
    (6, TType.STRING, 'cause', 'UTF8', None),
    (7, TType.STRING, 'reason', 'UTF8', None),
    (8, TType.I32, 'retry_after_ms', None, None),
    (9, TType.STRUCT, 'tip', [WirePlace, WirePlace.thrift_spec], None),
    (10, TType.BOOL, 'is_tip', None, None),
    (11, TType.MAP, 'waits', (TType.BYTE, None, TType.I32, None, False), None),
)


class WireOwned(TBase):
    """Hold a message of the kind Owned."""

    __slots__ = (
        'group',
        'token',
        'tip',
    )

    def __init__(
        self,
        group: Any = None,
        token: Any = None,
        tip: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.group = group
        self.token = token
        self.tip = tip


WireOwned.thrift_spec = (
    None,
    (1, TType.STRING, 'group', 'UTF8', None),
    (2, TType.I64, 'token', None, None),
    (3, TType.STRUCT, 'tip', [WirePlace, WirePlace.thrift_spec], None),
)


class WireInstance(TBase):
    """Hold a message of the kind Instance."""

    __slots__ = (
        'name',
        'incarnation',
        'zone',
        'host',
        'port',
        'capacity',
    )

    def __init__(
        self,
        name: Any = None,
        incarnation: Any = None,
        zone: Any = None,
        host: Any = None,
        port: Any = None,
        capacity: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.host = host
        self.port = port
        self.capacity = capacity


WireInstance.thrift_spec = (
    None,
    (1, TType.STRING, 'name', 'UTF8', None),
    (2, TType.STRING, 'incarnation', 'UTF8', None),
    (3, TType.STRING, 'zone', 'UTF8', None),
    (4, TType.STRING, 'host', 'UTF8', None),
    (5, TType.I32, 'port', None, None),
    (6, TType.DOUBLE, 'capacity', None, None),
)


class WireReach(TBase):
    """Hold a message of the kind Reach."""

    __slots__ = (
        'group',
        'target',
    )

    def __init__(
        self,
        group: Any = None,
        target: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.group = group
        self.target = target


WireReach.thrift_spec = (
    None,
    (1, TType.STRING, 'group', 'UTF8', None),
    (2, TType.STRING, 'target', 'UTF8', None),
)


class WireLease(TBase):
    """Hold a message of the kind Lease."""

    __slots__ = (
        'id',
        'era',
    )

    def __init__(
        self,
        id: Any = None,
        era: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.id = id
        self.era = era


WireLease.thrift_spec = (
    None,
    (1, TType.I64, 'id', None, None),
    (2, TType.I64, 'era', None, None),
)


class WireBeat(TBase):
    """Hold a message of the kind Beat."""

    __slots__ = (
        'sender',
        'promised_ms',
        'echo',
        'store_revision',
        'gives_part',
        'version',
        'keeps_unchanged',
    )

    def __init__(
        self,
        sender: Any = None,
        promised_ms: Any = None,
        echo: Any = None,
        store_revision: Any = None,
        gives_part: Any = None,
        version: Any = None,
        keeps_unchanged: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.sender = sender
        self.promised_ms = promised_ms
        self.echo = echo
        self.store_revision = store_revision
        self.gives_part = gives_part
        self.version = version
        self.keeps_unchanged = keeps_unchanged


WireBeat.thrift_spec = (
    None,
    (1, TType.STRUCT, 'sender', [WireInstance, WireInstance.thrift_spec], None),
    None,
    (3, TType.I32, 'promised_ms', None, None),
    (4, TType.DOUBLE, 'echo', None, None),
    None,
    (6, TType.I64, 'store_revision', None, None),
    (7, TType.BOOL, 'gives_part', None, None),
    (8, TType.I64, 'version', None, None),
    (9, TType.BOOL, 'keeps_unchanged', None, None),
)


class WireBeatReply(TBase):
    """Hold a message of the kind BeatReply."""

    __slots__ = (
        'stamp',
        'owned',
        'is_stopping',
        'document',
        'relayed',
        'store_revision',
        'reaches_store',
        'released',
        'is_packed',
        'keeps_unchanged',
    )

    def __init__(
        self,
        stamp: Any = None,
        owned: Any = None,
        is_stopping: Any = None,
        document: Any = None,
        relayed: Any = None,
        store_revision: Any = None,
        reaches_store: Any = None,
        released: Any = None,
        is_packed: Any = None,
        keeps_unchanged: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.stamp = stamp
        self.owned = owned
        self.is_stopping = is_stopping
        self.document = document
        self.relayed = relayed
        self.store_revision = store_revision
        self.reaches_store = reaches_store
        self.released = released
        self.is_packed = is_packed
        self.keeps_unchanged = keeps_unchanged


WireBeatReply.thrift_spec = (
    None,
    (1, TType.DOUBLE, 'stamp', None, None),
    (
        2,
        TType.LIST,
        'owned',
        (TType.STRUCT, [WireOwned, WireOwned.thrift_spec], False),
        None,
    ),
    None,
    (4, TType.BOOL, 'is_stopping', None, None),
    (5, TType.STRING, 'document', 'BINARY', None),
    (
        6,
        TType.LIST,
        'relayed',
        (TType.STRUCT, [WireOwned, WireOwned.thrift_spec], False),
        None,
    ),
    (7, TType.I64, 'store_revision', None, None),
    (8, TType.BOOL, 'reaches_store', None, None),
    (
        9,
        TType.MAP,
        'released',
        (TType.STRING, 'UTF8', TType.I64, None, False),
        None,
    ),
    (10, TType.BOOL, 'is_packed', None, None),
    (11, TType.BOOL, 'keeps_unchanged', None, None),
)


class WireChange(TBase):
    """Hold a message of the kind Change."""

    __slots__ = (
        'key',
        'document',
        'revision',
        'created',
        'is_packed',
    )

    def __init__(
        self,
        key: Any = None,
        document: Any = None,
        revision: Any = None,
        created: Any = None,
        is_packed: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.key = key
        self.document = document
        self.revision = revision
        self.created = created
        self.is_packed = is_packed


WireChange.thrift_spec = (
    None,
    (1, TType.STRING, 'key', 'UTF8', None),
    (2, TType.STRING, 'document', 'BINARY', None),
    (3, TType.I64, 'revision', None, None),
    (4, TType.I64, 'created', None, None),
    (5, TType.BOOL, 'is_packed', None, None),
)


class WireChanges(TBase):
    """Hold a message of the kind Changes."""

    __slots__ = (
        'after',
        'revision',
        'changes',
        'is_whole',
    )

    def __init__(
        self,
        after: Any = None,
        revision: Any = None,
        changes: Any = None,
        is_whole: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.after = after
        self.revision = revision
        self.changes = changes
        self.is_whole = is_whole


WireChanges.thrift_spec = (
    None,
    (1, TType.I64, 'after', None, None),
    (2, TType.I64, 'revision', None, None),
    (
        3,
        TType.LIST,
        'changes',
        (TType.STRUCT, [WireChange, WireChange.thrift_spec], False),
        None,
    ),
    (4, TType.BOOL, 'is_whole', None, None),
)


class WireSpend(TBase):
    """Hold a message of the kind Spend."""

    __slots__ = (
        'customer',
        'wanted',
        'is_borrowed',
    )

    def __init__(
        self,
        customer: Any = None,
        wanted: Any = None,
        is_borrowed: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.customer = customer
        self.wanted = wanted
        self.is_borrowed = is_borrowed


WireSpend.thrift_spec = (
    None,
    (1, TType.STRING, 'customer', 'UTF8', None),
    (2, TType.I32, 'wanted', None, None),
    (3, TType.BOOL, 'is_borrowed', None, None),
)


class WireSpent(TBase):
    """Hold a message of the kind Spent."""

    __slots__ = (
        'granted',
        'wait_ms',
        'is_elsewhere',
    )

    def __init__(
        self,
        granted: Any = None,
        wait_ms: Any = None,
        is_elsewhere: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.granted = granted
        self.wait_ms = wait_ms
        self.is_elsewhere = is_elsewhere


WireSpent.thrift_spec = (
    None,
    (1, TType.I32, 'granted', None, None),
    (2, TType.I32, 'wait_ms', None, None),
    (3, TType.BOOL, 'is_elsewhere', None, None),
)


class WireFrame(TBase):
    """Hold a message of the kind Frame."""

    __slots__ = (
        'number',
        'call',
        'reply',
        'beat',
        'beat_reply',
        'is_cancelled',
        'undone',
        'reach',
        'is_reached',
        'followed_from',
        'changes',
        'spend',
        'spent',
        'kept_lease',
        'is_final',
    )

    def __init__(
        self,
        number: Any = None,
        call: Any = None,
        reply: Any = None,
        beat: Any = None,
        beat_reply: Any = None,
        is_cancelled: Any = None,
        undone: Any = None,
        reach: Any = None,
        is_reached: Any = None,
        followed_from: Any = None,
        changes: Any = None,
        spend: Any = None,
        spent: Any = None,
        kept_lease: Any = None,
        is_final: Any = None,
    ) -> None:
        """Leave out what is not given."""
        self.number = number
        self.call = call
        self.reply = reply
        self.beat = beat
        self.beat_reply = beat_reply
        self.is_cancelled = is_cancelled
        self.undone = undone
        self.reach = reach
        self.is_reached = is_reached
        self.followed_from = followed_from
        self.changes = changes
        self.spend = spend
        self.spent = spent
        self.kept_lease = kept_lease
        self.is_final = is_final


WireFrame.thrift_spec = (
    None,
    (1, TType.I64, 'number', None, None),
    (2, TType.STRUCT, 'call', [WireCall, WireCall.thrift_spec], None),
    (3, TType.STRUCT, 'reply', [WireReply, WireReply.thrift_spec], None),
    (4, TType.STRUCT, 'beat', [WireBeat, WireBeat.thrift_spec], None),
    (
        5,
        TType.STRUCT,
        'beat_reply',
        [WireBeatReply, WireBeatReply.thrift_spec],
        None,
    ),
    (6, TType.BOOL, 'is_cancelled', None, None),
    (7, TType.STRING, 'undone', 'UTF8', None),
    (8, TType.STRUCT, 'reach', [WireReach, WireReach.thrift_spec], None),
    None,
    (10, TType.BOOL, 'is_reached', None, None),
    (11, TType.I64, 'followed_from', None, None),
    (12, TType.STRUCT, 'changes', [WireChanges, WireChanges.thrift_spec], None),
    (13, TType.STRUCT, 'spend', [WireSpend, WireSpend.thrift_spec], None),
    (14, TType.STRUCT, 'spent', [WireSpent, WireSpent.thrift_spec], None),
    (15, TType.STRUCT, 'kept_lease', [WireLease, WireLease.thrift_spec], None),
    (16, TType.BOOL, 'is_final', None, None),
)
