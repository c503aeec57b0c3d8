Feature: A session reads its own writes on any proxy
  Each scenario runs with all safeguards and once with one disabled, to check
  that the promise depends on this safeguard.

  Scenario Outline: A token keeps reads from a lagging replica, without <safeguard>
    The caller writes at one proxy and reconnects to another, whose nearest
    replica lags by 3 s and does not have the row yet. The point in the token
    excludes that replica.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And the replica in zone b lags 3 s
    When caller "ana" connects to "p1"
    And caller "ana" writes "song"
    And caller "ana" reconnects to "p2" with the token
    And caller "ana" reads "song"
    Then caller "ana" gets the outcome "done"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard     | verdict |
      | none          | kept    |
      | covered point | broken  |

  Scenario Outline: A caller that lost its token reads past a lagging replica, without <safeguard>
    The caller reconnects without its token right after its write. The proxy
    waits for the first watermark after the session was opened, which covers
    everything that was acknowledged before.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And the replica in zone b lags 3 s
    When caller "ana" connects to "p1"
    And caller "ana" writes "song"
    And caller "ana" reconnects to "p2" without the token
    And caller "ana" reads "song"
    Then caller "ana" gets the outcome "done"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard | verdict |
      | none      | kept    |
      | barrier   | broken  |

  Scenario Outline: A write survives a failover into the next read, without <safeguard>
    The primary fails right after the acknowledgement. The caller reads in
    another zone, whose replica lags. The promoted target is the replica that
    confirmed the write.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And the replica in zone b lags 3 s
    When caller "ana" connects to "p1"
    And caller "ana" writes "song"
    And the primary is killed
    And a new primary is promoted
    And caller "ana" reconnects to "p2" with the token
    And caller "ana" reads "song"
    Then caller "ana" gets the outcome "done"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard     | verdict |
      | none          | kept    |
      | covered point | broken  |

  Scenario Outline: A superseded primary's longer log hides no write, without <safeguard>
    The old primary is cut off with its zone and holds unconfirmed writes, so
    its log is longer. The caller wrote on the new primary and reconnects in
    the isolated zone, where the old log must not count as newer.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ben" connects to "p1"
    And caller "cem" connects to "p4"
    And caller "dan" connects to "p4"
    And caller "eva" connects to "p1"
    And zone a is cut off from the other zones
    And caller "ben" starts to write "ben-1" within 0.5 s
    And caller "cem" starts to write "cem-1" within 0.5 s
    And caller "dan" starts to write "dan-1" within 0.5 s
    And caller "eva" starts to write "eva-1" within 0.5 s
    And a new primary is promoted
    And caller "ana" connects to "p2"
    And caller "ana" writes "song"
    And caller "ana" reconnects to "p1" with the token
    And caller "ana" reads "song"
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard  | outcome | verdict |
      | none       | not run | kept    |
      | term order | done    | broken  |

  Scenario Outline: In an isolated zone a caller without a token gets no stale data, without <safeguard>
    The caller wrote on the new primary and reconnects in the old primary's
    zone without a token. No majority is reachable there, so no watermark can
    be established, and the read is refused instead of returning stale data.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When zone a is cut off from the other zones
    And a new primary is promoted
    And caller "ana" connects to "p2"
    And caller "ana" writes "song"
    And caller "ana" reconnects to "p1" without the token
    And caller "ana" reads "song"
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard | outcome | verdict |
      | none      | not run | kept    |
      | barrier   | done    | broken  |

  Scenario Outline: A read after an unknown outcome includes the write, without <safeguard>
    The write ran, its answer was lost, and the caller checks with a read. A
    lagging replica would return the state before the write, and the caller
    would write again.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And the replica in zone b lags 3 s
    When caller "ana" connects to "p2"
    And caller "ana" writes "warm"
    And time advances by 4 s
    And caller "ana" starts to write "song" within 2 s
    And the connections of "p2" break once "song" is committed
    Then caller "ana" gets the outcome "unknown"
    When caller "ana" reads "song"
    Then the promise "read-your-writes" is <verdict>

    Examples:
      | safeguard             | verdict |
      | none                  | kept    |
      | barrier after unknown | broken  |
