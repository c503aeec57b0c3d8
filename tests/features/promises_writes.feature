Feature: Acknowledged writes last, and only the current primary's are
  Each scenario runs as the product is, and once without its safeguard.

  Scenario Outline: The primary is <lost> right after the answer, without <safeguard>
    Replicas copy late. An answer that went out with the record on the primary
    alone would be a lie by the time the next primary leads.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    And all replicas lag 0.3 s
    When caller "ana" comes to "p2"
    And caller "ana" writes "song"
    And the primary is <lost>
    And a new primary leads
    Then caller "ana" is told "done"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | lost   | safeguard         | verdict |
      | killed | none              | kept    |
      | killed | majority evidence | broken  |
      | frozen | none              | kept    |
      | frozen | majority evidence | broken  |

  Scenario Outline: A primary cut off with its zone acknowledges nothing, without <safeguard>
    The primary still believes that it leads and takes the write. Its group
    promotes another one meanwhile, which never saw the record.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p1"
    And caller "ana" writes "warm"
    And zone a is cut off from the other zones
    And caller "ana" starts to write "song" within 2 s
    And a new primary leads
    Then caller "ana" is told "<told>"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard         | told    | verdict |
      | none              | unknown | kept    |
      | majority evidence | done    | broken  |

  Scenario Outline: The replica with the longest log is promoted, without <safeguard>
    One replica let the write be acknowledged, the other is far behind. Both
    could lead; only the first has the write.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    And the replica in zone b lags 5 s
    When caller "ana" comes to "p3"
    And caller "ana" writes "song"
    And the primary is killed
    And a new primary leads
    Then caller "ana" is told "done"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard   | verdict |
      | none        | kept    |
      | longest log | broken  |

  Scenario Outline: A write whose connection broke is not called not run, without <safeguard>
    The target commits and its answer is lost on the way. To call that "not
    run" would let the caller write its entry a second time.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ana" writes "warm"
    And caller "ana" starts to write "song" within 2 s
    And the connections of "p2" break once "song" has run
    Then caller "ana" is told "<told>"
    And the promise "not run means not run" is <verdict>

    Examples:
      | safeguard       | told    | verdict |
      | none            | unknown | kept    |
      | lost is unknown | not run | broken  |

  Scenario Outline: A payment whose answer was lost is not sent again, without <safeguard>
    The target commits and its answer is lost. The request bears no id and no
    leave to repeat it, so its outcome stays unknown.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ana" writes "warm"
    And caller "ana" starts to write "pay" within 2 s
    And the connections of "p2" break once "pay" has run
    Then caller "ana" is told "<told>"
    And the promise "non-idempotent requests run at most once" is <verdict>

    Examples:
      | safeguard | told    | verdict |
      | none      | unknown | kept    |
      | sent once | done    | broken  |

  Scenario Outline: The same id at two proxies at once runs once, without <safeguard>
    An agent's client asks again through another proxy while the first one is
    still at it. The id's unique key in the group's own database decides.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ben" comes to "p3"
    And caller "ana" starts with id "k1" to write "pay"
    And caller "ben" asks with id "k1" to write "pay"
    Then caller "ana" is told "done"
    And caller "ben" is told "done"
    And the promise "non-idempotent requests run at most once" is <verdict>

    Examples:
      | safeguard  | verdict |
      | none       | kept    |
      | request id | broken  |

  Scenario Outline: The same id after a failover runs once, without <safeguard>
    The proxy dies before it can answer, and the primary dies a little later.
    The caller asks again elsewhere: the new primary knows the id, as it came
    with the write's own record.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ana" starts with id "k1" to write "pay"
    And "p2" is killed once "pay" has run
    And it goes on for 0.1 s
    And the primary is killed
    And a new primary leads
    And caller "ana" goes on to "p3" with the token
    And caller "ana" asks with id "k1" to write "pay"
    Then caller "ana" is told "done"
    And the promise "non-idempotent requests run at most once" is <verdict>

    Examples:
      | safeguard  | verdict |
      | none       | kept    |
      | request id | broken  |

  Scenario Outline: A primary is superseded while it works on a write, without <safeguard>
    The write takes a second. Meanwhile the primary is cut off with its zone,
    another one is promoted, and the write ends on the old one. Its record is in a log that will be dropped.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p1"
    And caller "ana" writes "warm"
    And the primary takes 1000 times as long
    And caller "ana" starts to write "song" within 10 s
    And it goes on for 0.1 s
    And zone a is cut off from the other zones
    And a new primary leads
    Then caller "ana" is told "<told>"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard         | told    | verdict |
      | none              | unknown | kept    |
      | majority evidence | done    | broken  |
