Feature: Callers are served or refused promptly during failures
  Each scenario runs with all safeguards and once with one disabled.

  Scenario Outline: A statement is in flight on a primary that freezes, without <safeguard>
    The frozen primary keeps its connections open. The outcome must become
    unknown once the primary is suspected, not only at the deadline.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And each answer is due within 3 s
    When caller "ana" connects to "p2"
    And caller "ana" writes "warm"
    And caller "ana" starts to write "song" within 10 s
    And the primary is frozen
    Then caller "ana" gets the outcome "unknown"
    And the promise "nobody waits past the deadline" is <verdict>

    Examples:
      | safeguard   | verdict |
      | none        | kept    |
      | ended waits | broken  |

  Scenario Outline: A read is in flight on a replica that freezes, without <safeguard>
    Once the replica is suspected, the read runs on another target.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And each answer is due within 3 s
    When caller "ana" connects to "p2"
    And caller "ana" writes "song"
    And time advances by 1 s
    And caller "ana" reads "song"
    And caller "ana" starts to read "song" within 10 s
    And database 2 is frozen
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "nobody waits past the deadline" is <verdict>

    Examples:
      | safeguard   | outcome | verdict |
      | none        | done    | kept    |
      | ended waits | unknown | broken  |

  Scenario Outline: A connection is being opened to a primary that freezes, without <safeguard>
    Nothing was sent yet, and the write waits for a connection that is never
    established. Once the primary is suspected, the write runs on the next
    one, as a write that arrives a little later does.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And each answer is due within 3 s
    When caller "ana" connects to "p2"
    And caller "ana" starts to write "song" within 10 s
    And the primary is frozen
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "nobody waits past the deadline" is <verdict>

    Examples:
      | safeguard   | outcome | verdict |
      | none        | done    | kept    |
      | ended waits | not run | broken  |

  Scenario Outline: In an isolated zone, reads within a provable age are served, without <safeguard>
    Zone b is cut off from all others. The maximum age of its replica is still
    known, so the replica continues to serve reads that accept this age.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" writes "song"
    And zone b is cut off from the other zones
    And zone b is cut off from the platform
    And time advances by 2 s
    And caller "ana" reads "song" accepting 10 s
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "reads keep their stated age" is kept

    Examples:
      | safeguard | outcome |
      | none      | done    |
      | age kept  | not run |

  Scenario Outline: In an isolated zone, reads beyond the accepted age are refused, without <safeguard>
    Zone b is cut off, then a write is acknowledged in another zone. A read that
    accepts an age of 1 s must include the write 2 s later or be refused.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ben" connects to "p2"
    And zone b is cut off from the other zones
    And time advances by 1 s
    And caller "ana" connects to "p3"
    And caller "ana" writes "song"
    And time advances by 2 s
    And caller "ben" reads "song" accepting 1 s
    Then caller "ben" gets the outcome "<outcome>"
    And the promise "reads keep their stated age" is <verdict>

    Examples:
      | safeguard | outcome | verdict |
      | none      | not run | kept    |
      | age limit | done    | broken  |

  Scenario Outline: In an isolated zone, reads with a covered token are served, without <safeguard>
    The replica there covers the points of the token, so no majority is needed
    to serve the read.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" writes "song"
    And time advances by 1 s
    And zone b is cut off from the other zones
    And zone b is cut off from the platform
    And time advances by 2 s
    And caller "ana" reads "song"
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "read-your-writes" is kept

    Examples:
      | safeguard                | outcome |
      | none                     | done    |
      | token instead of barrier | not run |

  Scenario Outline: In an isolated zone, writes are refused at once, without <safeguard>
    No majority answers, so no write can be acknowledged. The caller is refused
    at once and can use another proxy instead of waiting for its deadline.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And each answer is due within 0.1 s
    When caller "ana" connects to "p2"
    And zone b is cut off from the other zones
    And time advances by 2 s
    And caller "ana" starts to write "song" within 2 s
    Then caller "ana" gets the outcome "not run"
    And the promise "nobody waits past the deadline" is <verdict>

    Examples:
      | safeguard         | verdict |
      | none              | kept    |
      | majority in reach | broken  |

  Scenario Outline: A graceful stop finishes what is in flight, without <safeguard>
    The proxy stops while a write is in flight and a transaction is open. Both
    finish normally, and only new requests are refused.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ben" connects to "p2"
    And caller "eva" connects to "p2"
    And caller "ana" begins a transaction and writes "first" in it
    And caller "ben" starts to write "song" within 2 s
    And "p2" starts a graceful stop
    And caller "eva" writes "late"
    And caller "ana" writes "second" in it
    And caller "ana" commits "first,second"
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "a graceful stop cuts no request" is <verdict>

    Examples:
      | safeguard | outcome | verdict |
      | none      | done    | kept    |
      | grace     | cut off | broken  |

  Scenario Outline: Connections stay within the limit as proxies start and fail, without <safeguard>
    Six proxies hold the seats, one fails and nine more start. Only holders of a
    seat may open a full share, so that all proxies together stay within 20.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And databases without a connection limit
    When many callers start to work at all proxies for 1 s
    And proxies "p1" are killed
    And proxies "p7 p8 p9 p10 p11 p12 p13 p14 p15" start
    And time advances by 3 s
    And many callers start to work at all proxies for 1 s
    Then the promise "connections stay within the limit" is <verdict>

    Examples:
      | safeguard | verdict |
      | none      | kept    |
      | seats     | broken  |

  Scenario Outline: An overload is refused at once, without <safeguard>
    Far more requests arrive than can be answered in time. Surplus requests are
    refused at once, with a retry time, and nothing of it ran.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And refusals must come within 0.05 s with a retry time
    When the primary takes 20 times as long
    And 300 callers at "p1" write within 0.5 s
    Then the promise "nobody waits past the deadline" is <verdict>

    Examples:
      | safeguard           | verdict |
      | none                | kept    |
      | early refusal       | broken  |
