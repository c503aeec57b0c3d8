Feature: A session reads its own writes on any proxy
  Each scenario runs as the product is, and once without the safeguard that
  keeps the promise, to see that it is this one that keeps it.

  Scenario Outline: The token leads past a lagging replica, without <safeguard>
    The caller writes at one proxy and comes back through another, whose
    nearest replica is 3 s behind. Read there, the entry would be missing;
    the token's point keeps the read from that replica.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    And the replica in zone b lags 3 s
    When caller "ana" comes to "p1"
    And caller "ana" writes "song"
    And caller "ana" goes on to "p2" with the token
    And caller "ana" reads "song"
    Then caller "ana" is told "done"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard     | verdict |
      | none          | kept    |
      | covered point | broken  |

  Scenario Outline: A caller that lost its token reads past a lagging replica, without <safeguard>
    The phone reconnects with no token right after its write. The proxy waits
    for the first watermark after the session opened, which is at or above
    everything that was acknowledged before.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    And the replica in zone b lags 3 s
    When caller "ana" comes to "p1"
    And caller "ana" writes "song"
    And caller "ana" goes on to "p2" without the token
    And caller "ana" reads "song"
    Then caller "ana" is told "done"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard | verdict |
      | none      | kept    |
      | barrier   | broken  |

  Scenario Outline: A write survives a failover into the next read, without <safeguard>
    The primary dies right after the acknowledgement. The caller reads through
    another zone whose replica lagged; the promoted target is the one that
    the write was acknowledged on.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    And the replica in zone b lags 3 s
    When caller "ana" comes to "p1"
    And caller "ana" writes "song"
    And the primary is killed
    And a new primary leads
    And caller "ana" goes on to "p2" with the token
    And caller "ana" reads "song"
    Then caller "ana" is told "done"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard     | verdict |
      | none          | kept    |
      | covered point | broken  |

  Scenario Outline: A superseded primary's longer log hides no write, without <safeguard>
    The old primary is cut off with its zone and keeps unconfirmed writes, so
    its log is the longer one. The caller wrote on the new primary and comes
    back into the cut zone: the old log must not pass for a newer one.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ben" comes to "p1"
    And caller "cem" comes to "p4"
    And caller "dan" comes to "p4"
    And caller "eva" comes to "p1"
    And zone a is cut off from the other zones
    And caller "ben" starts to write "ben-1" within 0.5 s
    And caller "cem" starts to write "cem-1" within 0.5 s
    And caller "dan" starts to write "dan-1" within 0.5 s
    And caller "eva" starts to write "eva-1" within 0.5 s
    And a new primary leads
    And caller "ana" comes to "p2"
    And caller "ana" writes "song"
    And caller "ana" goes on to "p1" with the token
    And caller "ana" reads "song"
    Then caller "ana" is told "<told>"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard  | told    | verdict |
      | none       | not run | kept    |
      | term order | done    | broken  |

  Scenario Outline: In a cut zone a caller without a token sees no old state, without <safeguard>
    The caller wrote on the new primary and comes back into the old one's zone
    with no token. No majority is in reach there, so no watermark can tell
    what was acknowledged: the read is refused, not answered from old data.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When zone a is cut off from the other zones
    And a new primary leads
    And caller "ana" comes to "p2"
    And caller "ana" writes "song"
    And caller "ana" goes on to "p1" without the token
    And caller "ana" reads "song"
    Then caller "ana" is told "<told>"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard | told    | verdict |
      | none      | not run | kept    |
      | barrier   | done    | broken  |

  Scenario Outline: A read after an unknown outcome shows what became of it, without <safeguard>
    The write ran, its answer was lost, and the caller is told to look with a
    read. A replica that lags would show it the state before its write, and
    the caller would write again.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    And the replica in zone b lags 3 s
    When caller "ana" comes to "p2"
    And caller "ana" writes "warm"
    And it goes on for 4 s
    And caller "ana" starts to write "song" within 2 s
    And the connections of "p2" break once "song" has run
    Then caller "ana" is told "unknown"
    When caller "ana" reads "song"
    Then the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard             | verdict |
      | none                  | kept    |
      | barrier after unknown | broken  |
