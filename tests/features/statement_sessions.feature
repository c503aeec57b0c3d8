Feature: Statement sessions on shared connections
  Callers' sessions share connections to targets. No session may see another's
  values, prepared statements, transactions or answers.

  Scenario: Each statement runs with its own session's values
    Callers set the same session value differently and share a few connections.
    Given proxies "east-1"
    When 20 callers of "settle" set "lang" to their number and write 3 times
    Then each write ran with the values of its own caller

  Scenario: Names of prepared statements collide
    Two callers prepare different statements under one name.
    Given proxies "east-1"
    When two callers of "settle" prepare "p" as a write and as a read
    Then each executes its own statement

  Scenario: A transaction has exclusive use of its connection
    While a transaction is open, other callers' statements use other
    connections.
    Given proxies "east-1"
    When a caller of "settle" has a transaction open while 30 others write
    Then nothing else ran on the transaction's connection meanwhile

  Scenario: A caller disconnects while its transaction's statement waits for a slot
    The statement never ran, but the transaction is open on the connection. If
    the connection were acquired again, the next caller's write would become
    part of the transaction.
    Given proxies "east-1"
    When a caller of "settle" leaves while its transaction waits for a slot
    And a caller of "settle" writes with no values set
    Then every statement ran outside a transaction but those of the first caller

  Scenario: A read at a lagging replica shows the session's own write
    Replicas lag by one second. The read requires the session's own write, so
    the replica refuses it and the primary answers.
    Given proxies "north-1, east-1, west-1"
    And replicas lag by 1 s
    When a caller of "admin" at "west-1" runs "WRITE turn 1"
    And the same caller runs "READ turn"
    Then it is done with "1"

  Scenario: Reads stay within the staleness bound of their route
    Replicas lag by five seconds, then catch up. Reads that no replica can serve
    within the bound go to the primary.
    Given proxies "north-1, east-1, west-1"
    And replicas lag by 5 s
    When a caller of "browse" at "west-1" reads while another writes for 4 s
    Then no read missed a write that was acknowledged 1.5 s before

  Scenario: Reads go to replicas that are fresh enough
    Given proxies "north-1, east-1, west-1"
    When a caller of "browse" at "west-1" reads while another writes for 2 s
    Then at least 95 % of the reads ran on replicas

  Scenario: Quick refusals of replicas do not slow down later reads
    For two seconds replicas lag too far and refuse within a millisecond. If the
    refusals counted as latency samples, every later read would seem slow, which
    would reduce the concurrency limit to one.
    Given proxies "north-1, east-1, west-1"
    And replicas lag by 30 s
    When 10 callers of "browse" at "west-1" read for 2 s
    And replicas lag by 0.02 s
    And 3 s go by
    And 10 callers of "browse" at "west-1" read for 2 s
    Then at least 900 reads were done since

  Scenario: A read whose answer is lost is retried elsewhere
    Both replicas run the read but their answers are lost. After half of the
    objective the read is retried at another target, then at a third.
    Given proxies "north-1, east-1, west-1"
    When the next answer of each replica is lost
    And a caller of "admin" at "west-1" runs "READ turn"
    Then it is done within 330 ms

  Scenario: A write whose answer is lost is never sent again
    The primary ran the write but its answer is lost. The outcome is unknown, and
    the caller is told so at the route's deadline.
    Given proxies "north-1, east-1, west-1"
    When the next answer of the primary is lost
    And a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then its outcome is unknown
    And no write ran twice

  Scenario: Lost answers do not block other statements
    Four answers are lost, which is as many statements as the primary is sent at
    once. Their slots are passed on long before their deadlines.
    Given proxies "east-1"
    When the next 4 answers of the primary are lost
    And 4 callers of "settle" write and are not answered
    And 0.3 s go by
    And a caller of "settle" at "east-1" runs "WRITE turn 9"
    Then it is done within 100 ms

  Scenario: An idle transaction is rolled back
    A caller opens a transaction, sends nothing more and stays connected. After
    the operator's idle limit its connection to the primary is freed for others,
    which the caller learns from its next statement.
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" begins and runs "WRITE forgotten 1"
    And 4 s go by
    Then the primary has no transaction open
    When the same caller runs "WRITE forgotten 2"
    Then its transaction is reported as rolled back
    And the primary has no "forgotten"

  Scenario: A transaction is rolled back when its owner crashes
    COMMIT was never sent, so nothing of the transaction is kept, and the caller
    is told so.
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" begins and runs "WRITE turn 1"
    And "east-1" is killed
    And the same caller runs "WRITE turn 2"
    Then its transaction is reported as rolled back
    And the primary has no "turn"

  Scenario: A peer relays calls to an unreachable owner
    The proxy cannot reach the owner, but a peer can and relays its calls.
    Given proxies "north-1, east-1, west-1"
    When "west-1" is cut off from "east-1"
    And 1 s goes by
    And a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is done

  Scenario: An isolated proxy is not ready and refuses at once
    The proxy reaches neither the store nor another zone. Its readiness check
    directs callers elsewhere; calls that still arrive are refused at once as not
    run.
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

  Scenario: Proxies partitioned from the store and the owner are not ready
    Two zones reach each other, but neither the store nor the owner. Callers are
    served on the other side of the partition, so both proxies report that they
    are not ready.
    Given proxies "north-1, east-1, west-1"
    When "north-1" and "west-1" are cut off from "east-1", "db-east" and the store
    And 1.5 s go by
    Then "west-1" is not ready
    And "north-1" is not ready
    And "east-1" is ready

  Scenario: Proxies stay ready in an outage of the store alone
    Given proxies "north-1, east-1, west-1"
    When the store is down for 3 s
    Then "west-1" is ready
    And "east-1" is ready
