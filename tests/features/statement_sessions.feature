Feature: Statement sessions on shared connections
  Callers' sessions share the connections to targets; none sees another's
  values, statements, transactions or answers.

  Scenario: Each statement finds its own session's values
    Two callers set the same value differently and take turns on the same few
    connections.
    Given proxies "east-1"
    When 20 callers of "settle" set "lang" to their number and write 3 times
    Then each write found the values of its own caller

  Scenario: Prepared names collide
    Two callers prepare different statements under one name.
    Given proxies "east-1"
    When two callers of "settle" prepare "p" as a write and as a read
    Then each runs its own

  Scenario: A transaction keeps its connection to itself
    While a transaction is open, other callers' statements run elsewhere.
    Given proxies "east-1"
    When a caller of "settle" has a transaction open while 30 others write
    Then nothing else ran on the transaction's connection meanwhile

  Scenario: A caller leaves while its transaction's statement waits for a slot
    The caller is gone, its statement never ran, but its transaction is open on
    the connection. Lent again, the next caller's write would be part of it.
    Given proxies "east-1"
    When a caller of "settle" leaves while its transaction waits for a slot
    And a caller of "settle" writes with no values set
    Then every statement ran outside a transaction but those of the first caller

  Scenario: A read at a lagging replica shows the session's own write
    Replicas lag by a second. The session's own write is demanded from the
    replica, which refuses; the primary answers.
    Given proxies "north-1, east-1, west-1"
    And replicas lag by 1 s
    When a caller of "admin" at "west-1" runs "WRITE turn 1"
    And the same caller runs "READ turn"
    Then it is done with "1"

  Scenario: Reads of a stated age stay within it
    Replicas lag by five seconds, then catch up. No read is older than its
    route allows; those that no replica can serve go to the primary.
    Given proxies "north-1, east-1, west-1"
    And replicas lag by 5 s
    When a caller of "browse" at "west-1" reads while another writes for 4 s
    Then no read missed a write that was acknowledged 1.5 s before

  Scenario: Reads go to replicas once these have what is demanded
    Given proxies "north-1, east-1, west-1"
    When a caller of "browse" at "west-1" reads while another writes for 2 s
    Then at least 95 % of the reads ran on replicas

  Scenario: Replicas that refuse quickly do not slow reads down for good
    For two seconds replicas lack what is demanded and refuse within a
    millisecond. Taken for the usual answer, that would make every later one
    look slow and reduce the reads at once to one.
    Given proxies "north-1, east-1, west-1"
    And replicas lag by 30 s
    When 10 callers of "browse" at "west-1" read for 2 s
    And replicas lag by 0.02 s
    And 3 s go by
    And 10 callers of "browse" at "west-1" read for 2 s
    Then at least 900 reads were done since

  Scenario: A read whose answer is lost is asked elsewhere
    Both replicas ran it and say nothing. After half of the objective another
    target is asked, and then another one.
    Given proxies "north-1, east-1, west-1"
    When the next answer of each replica is lost
    And a caller of "admin" at "west-1" runs "READ turn"
    Then it is done within 330 ms

  Scenario: A write whose answer is lost is never sent again
    The primary ran it and says nothing. Nobody can tell; the caller learns that
    much when its route's time is over.
    Given proxies "north-1, east-1, west-1"
    When the next answer of the primary is lost
    And a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then its outcome is unknown
    And no write ran twice

  Scenario: A lost answer holds up nobody else
    Four answers are lost, as many statements as the primary gets at once. Long
    before those are given up, their places go to others.
    Given proxies "east-1"
    When the next 4 answers of the primary are lost
    And 4 callers of "settle" write and are not answered
    And 0.3 s go by
    And a caller of "settle" at "east-1" runs "WRITE turn 9"
    Then it is done within 100 ms

  Scenario: A transaction that its caller has forgotten is undone
    A caller stops in the middle of a transaction and stays connected. Its
    connection to the primary is one of few; after the operator's limit it is
    needed for others, and the caller's next statement is told so.
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" begins and runs "WRITE forgotten 1"
    And 4 s go by
    Then the primary has no transaction open
    When the same caller runs "WRITE forgotten 2"
    Then its transaction is said to be undone
    And the primary has no "forgotten"

  Scenario: A transaction that its proxy loses is undone
    Its COMMIT was never sent: nothing of it is kept, and that is said.
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" begins and runs "WRITE turn 1"
    And "east-1" is killed
    And the same caller runs "WRITE turn 2"
    Then its transaction is said to be undone
    And the primary has no "turn"

  Scenario: The way to the owner is cut, and a peer has one
    The proxy hears the owner no more; a peer that does passes its calls on.
    Given proxies "north-1, east-1, west-1"
    When "west-1" is cut off from "east-1"
    And 1 s goes by
    And a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is done

  Scenario: A proxy that is cut off says so, and refuses at once
    It reaches neither the store nor another zone. Callers are sent elsewhere by
    its readiness; who comes nevertheless is told at once that nothing ran.
    Given proxies "north-1, east-1, west-1"
    When "west-1" is cut off from proxies and store
    And 1.5 s go by
    Then "west-1" is not ready
    And "north-1" is ready
    When a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is refused as not run within 0 ms
    When all cuts heal
    And 1 s goes by
    Then "west-1" is ready

  Scenario: A part of the network without store and owner sends callers away
    The network splits. In the part without the store the owner stops, and two
    zones hear each other but no owner. Their callers are served in the other
    part, so both say that they are not ready.
    Given proxies "north-1, east-1, west-1"
    When "north-1" and "west-1" are cut off from "east-1", "db-east" and the store
    And 1.5 s go by
    Then "west-1" is not ready
    And "north-1" is not ready
    And "east-1" is ready

  Scenario: An outage of the store alone sends nobody away
    Given proxies "north-1, east-1, west-1"
    When the store is down for 3 s
    Then "west-1" is ready
    And "east-1" is ready
