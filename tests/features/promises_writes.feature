Feature: Only durable writes of the current primary are acknowledged
  Each scenario runs with all safeguards and once with one disabled.

  Scenario Outline: The primary is <lost> right after the answer, without <safeguard>
    All replicas lag. If the write were acknowledged while only the primary has
    it, it would be lost with the failover.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And all replicas lag 0.3 s
    When caller "ana" connects to "p2"
    And caller "ana" writes "song"
    And the primary is <lost>
    And a new primary is promoted
    Then caller "ana" gets the outcome "done"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | lost   | safeguard         | verdict |
      | killed | none              | kept    |
      | killed | majority evidence | broken  |
      | frozen | none              | kept    |
      | frozen | majority evidence | broken  |

  Scenario Outline: A primary cut off with its zone acknowledges nothing, without <safeguard>
    The isolated primary accepts the write, and meanwhile another target is
    promoted, which does not have the record.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p1"
    And caller "ana" writes "warm"
    And zone a is cut off from the other zones
    And caller "ana" starts to write "song" within 2 s
    And a new primary is promoted
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard         | outcome | verdict |
      | none              | unknown | kept    |
      | majority evidence | done    | broken  |

  Scenario Outline: The replica with the longest log is promoted, without <safeguard>
    One replica has confirmed the write and the other one lags. Both can be
    promoted, but only the first one has the write.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And the replica in zone b lags 5 s
    When caller "ana" connects to "p3"
    And caller "ana" writes "song"
    And the primary is killed
    And a new primary is promoted
    Then caller "ana" gets the outcome "done"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard   | verdict |
      | none        | kept    |
      | longest log | broken  |

  Scenario Outline: A write whose connection broke is not reported as not run, without <safeguard>
    The target commits, but its answer is lost. If that were reported as "not
    run", the caller would write the row a second time.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" writes "warm"
    And caller "ana" starts to write "song" within 2 s
    And the connections of "p2" break once "song" is committed
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "not run means not run" is <verdict>

    Examples:
      | safeguard       | outcome | verdict |
      | none            | unknown | kept    |
      | lost is unknown | not run | broken  |

  Scenario Outline: A payment whose answer was lost is not sent again, without <safeguard>
    The target commits, but its answer is lost. The request has no id and is
    not idempotent, so it must not be retried and its outcome stays unknown.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" writes "warm"
    And caller "ana" starts to write "pay" within 2 s
    And the connections of "p2" break once "pay" is committed
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "non-idempotent requests run at most once" is <verdict>

    Examples:
      | safeguard | outcome | verdict |
      | none      | unknown | kept    |
      | sent once | done    | broken  |

  Scenario Outline: Concurrent requests with the same id at two proxies run once, without <safeguard>
    A client retries through another proxy while the first request is still
    running. The unique key of the request id in the database lets one win.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ben" connects to "p3"
    And caller "ana" starts with id "k1" to write "pay"
    And caller "ben" asks with id "k1" to write "pay"
    Then caller "ana" gets the outcome "done"
    And caller "ben" gets the outcome "done"
    And the promise "non-idempotent requests run at most once" is <verdict>

    Examples:
      | safeguard  | verdict |
      | none       | kept    |
      | request id | broken  |

  Scenario Outline: A retry with the same id after a failover runs once, without <safeguard>
    The proxy fails before it answers, and the primary fails shortly after. The
    caller retries at another proxy. The new primary has the request id, as it
    is replicated in the same record as the write.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" starts with id "k1" to write "pay"
    And "p2" is killed once "pay" is committed
    And time advances by 0.1 s
    And the primary is killed
    And a new primary is promoted
    And caller "ana" reconnects to "p3" with the token
    And caller "ana" asks with id "k1" to write "pay"
    Then caller "ana" gets the outcome "done"
    And the promise "non-idempotent requests run at most once" is <verdict>

    Examples:
      | safeguard  | verdict |
      | none       | kept    |
      | request id | broken  |

  Scenario Outline: A primary is superseded while it runs a write, without <safeguard>
    The write takes a second. Meanwhile the primary is cut off with its zone and
    another target is promoted. The write is committed only to the log of the
    old primary, which is discarded.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p1"
    And caller "ana" writes "warm"
    And the primary takes 1000 times as long
    And caller "ana" starts to write "song" within 10 s
    And time advances by 0.1 s
    And zone a is cut off from the other zones
    And a new primary is promoted
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard         | outcome | verdict |
      | none              | unknown | kept    |
      | majority evidence | done    | broken  |
