// What proxies send each other on one connection, many calls at once.

struct Place {
  1: i64 term
  2: i64 position
}

struct Prepared {
  1: bool writes
  2: string shape
}

// What is empty or false is left out.
struct Call {
  1: string group
  // 0 for the primary, 1 for a replica.
  2: i8 access
  // 0 read, 1 write, 2 commit, 3 rollback.
  3: i8 kind
  4: string statement
  5: optional string text
  6: string traffic_class
  7: i32 time_left_ms
  8: i32 aim_left_ms
  9: i8 priority
  10: optional string transaction
  11: optional bool begins
  12: optional bool is_read_only
  13: optional map<string, string> session_values
  14: optional Prepared prepared
  15: optional string arguments
  16: optional Place after
  17: optional i32 max_age_ms
  18: optional bool is_relayed
  // In whose name it is made, by a digest of which key, and which version of
  // the configuration says so.
  19: optional string customer
  20: optional string key_digest
  21: optional i64 version
  22: optional bool is_prompt
}

struct Reply {
  // 0 done, 1 not run, 2 unknown, 3 rejected.
  1: i8 outcome
  2: optional list<string> rows
  3: optional Place point
  4: optional string signature
  5: optional string served_by
  6: optional string cause
  7: optional string reason
  8: optional i32 retry_after_ms
  // The end of the primary's log, if its owner has answered.
  9: optional Place tip
  // That end is the point above.
  10: optional bool is_tip
  // Milliseconds that the call waited at the sender, by the number of the
  // cause: 0 owner, 1 connection, 2 queue, 3 target, 4 peer.
  11: optional map<byte, i32> waits
}

// A group that the sender owns, and the end of its primary's log.
struct Owned {
  1: string group
  2: i64 token
  3: optional Place tip
}

// How an instance is reached.
struct Instance {
  1: string name
  2: string incarnation
  3: string zone
  4: string host
  5: i32 port
  6: double capacity
}

struct Reach {
  1: string group
  2: string target
}

// A lease of an era of the store.
struct Lease {
  1: i64 id
  2: i64 era
}

struct Beat {
  // Left out after a connection's first.
  1: optional Instance sender
  // For so long the sender won't claim a group of the receiver; 0: it may.
  3: i32 promised_ms
  // The receiver's clock as it stood in its last reply; left out unless there
  // is a promise or a part to date by it.
  4: double echo
  // How far the sender has followed the store: its era, then its count; left
  // out while unchanged, as is the version.
  6: i64 store_revision
  // The receiver counts the sender's part of customers' limits.
  7: optional bool gives_part
  // The operator's version of the configuration that the sender has.
  8: i64 version
  // In a connection's first: the sender reads replies without unchanged fields.
  9: optional bool keeps_unchanged
}

struct BeatReply {
  1: double stamp
  // Left out while unchanged, if the asker keeps what is unchanged.
  2: list<Owned> owned
  4: bool is_stopping
  // Sent when the asker's configuration is older.
  5: optional binary document
  // Groups whose owner the sender hears; left out while unchanged.
  6: optional list<Owned> relayed
  // Left out while unchanged, if the asker keeps what is unchanged.
  7: i64 store_revision
  8: bool reaches_store
  // Groups that the sender owned by a claim, and does not own any more.
  9: optional map<string, i64> released
  10: optional bool is_packed
  // In a connection's first: the sender reads beats without unchanged fields.
  11: optional bool keeps_unchanged
}

// A change of one of the store's items; one without a document was removed.
struct Change {
  1: string key
  2: optional binary document
  3: i64 revision
  4: i64 created
  // The document is compressed.
  5: optional bool is_packed
}

struct Changes {
  // Who is not as far as this has missed something.
  1: i64 after
  2: i64 revision
  3: list<Change> changes
  // The changes are all items that there are.
  4: optional bool is_whole
}

// Operations that a customer wants to begin.
struct Spend {
  1: string customer
  2: i32 wanted
  // Another counter asks, for its own part of the limit.
  3: optional bool is_borrowed
}

struct Spent {
  1: i32 granted
  // Until there is room for one more.
  2: i32 wait_ms
  // The answering proxy does not count for this customer.
  3: optional bool is_elsewhere
}

struct Frame {
  1: i64 number
  2: optional Call call
  3: optional Reply reply
  4: optional Beat beat
  5: optional BeatReply beat_reply
  // The caller has left: give the call up. Or no more changes will come.
  6: optional bool is_cancelled
  // The caller has given this transaction up.
  7: optional string undone
  // Does the receiver reach this target, and does it lead?
  8: optional Reach reach
  // The answer to both.
  10: optional bool is_reached
  // Hand on what the store changes after this revision.
  11: optional i64 followed_from
  12: optional Changes changes
  13: optional Spend spend
  14: optional Spent spent
  // Have the receiver renew this lease in the store.
  15: optional Lease kept_lease
  // The sender runs no more calls on this connection: those without an answer
  // have not run.
  16: optional bool is_final
}
