// What proxies send each other on one connection, many calls at once.

struct Place {
  1: i64 term
  2: i64 position
}

struct Prepared {
  1: bool writes
  2: string shape
}

struct Call {
  1: string group
  2: string access
  3: string kind
  4: string statement
  5: string text
  6: string traffic_class
  7: double time_left
  8: double aim_left
  9: i32 priority
  10: optional string transaction
  11: bool begins
  12: bool is_read_only
  13: map<string, string> session_values
  14: optional Prepared prepared
  15: string arguments
  16: optional Place after
  17: double max_age
  18: bool is_relayed
}

struct Reply {
  // done, not-run, unknown or rejected
  1: string outcome
  2: list<string> rows
  3: optional Place point
  4: string signature
  5: string served_by
  6: string cause
  7: string reason
  8: double retry_after
  // The end of the primary's log, if its owner has answered.
  9: optional Place tip
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

struct Beat {
  1: Instance sender
  // The sender won't claim a group of the receiver for a while.
  3: bool promises
  // The receiver's clock as it stood in its last reply.
  4: double echo
  // The newest configuration that the sender has.
  5: i64 revision
  6: i64 store_revision
}

struct BeatReply {
  1: double stamp
  2: list<Owned> owned
  3: i64 revision
  4: bool is_stopping
  // Sent when the asker's configuration is older.
  5: optional binary document
  // Groups whose owner the sender hears.
  6: list<Owned> relayed
  7: i64 store_revision
  8: bool reaches_store
}

struct Frame {
  1: i64 number
  2: optional Call call
  3: optional Reply reply
  4: optional Beat beat
  5: optional BeatReply beat_reply
  // The caller has left: give the call up.
  6: bool is_cancelled
  // The caller has given this transaction up.
  7: optional string undone
  // Does the receiver reach this target, and does it lead?
  8: optional Reach reach
  9: optional bool is_reached
}
